"""Agreement of hosts on what the platform's store last said.

Handles a store that falls silent while calls wait for its changes: such a call is never
answered, even after the store is back, and its host would go on with old rows beside
hosts that know better. Each host tells those of its region the newest row version that
it has read of each table; a host that hears of a newer one reads again at once. A store
that was restored from a copy gives versions out again, so they count with its era. One
host of the fleet, the monitor, waits for short times only, so that it notices a silence
of the whole store; when the store answers it again, it tells all hosts, which then
renew their calls.
"""

from __future__ import annotations

from attrs import evolve, frozen

from almondgap_core.gateway.effects import ReadTable, SendStoreView
from almondgap_core.gateway.events import (
    GatewayEvent,
    StoreRestored,
    StoreTable,
    StoreViewReceived,
    TableRead,
    Ticked,
)
from almondgap_core.gateway.fleet import list_live_peers
from almondgap_core.gateway.heartbeats import StoreView
from almondgap_core.gateway.peer import Peer
from almondgap_core.gateway.ranking import compute_rank
from almondgap_core.gateway.reports import ClaimRefuted, StoreChanged, TableBehind
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.store_knowledge import Claimant, RowVersion
from almondgap_core.units import MICROS_PER_MILLI, millis, seconds

#: Interval at which a host tells the hosts of its region what it has read.
SEND_INTERVAL_US = seconds(1)

#: Time for which a host waits before it acts on a claim: usually its own call brings
#: the same change within that time.
CLAIM_GRACE_US = millis(300)

#: Interval between reads of a table because of claims.
READ_INTERVAL_US = millis(900)

#: Time for which the claims of a host are ignored after one was refuted; it doubles
#: with each further one, up to the maximum.
MIN_DISTRUST_US = seconds(1)
MAX_DISTRUST_US = seconds(60)

#: Duration of a call that waits for changes: of the monitor's calls for the operators'
#: rows, and of all others. The platform allows 30 s.
MONITOR_WAIT_US = seconds(2)
USUAL_WAIT_US = seconds(28)

#: Time-out beyond the wait of a call: of the monitor's, so that it notices within a
#: second that the store is back, and of all others. A slow store takes 0.3 s; if it is
#: slower still, the hosts with the usual time-out read what the monitor does not.
MONITOR_TIMEOUT_US = millis(700)
USUAL_TIMEOUT_US = millis(1_500)

#: Calls in a row after which a monitor without peers uses the usual time-out once.
MAX_SHORT_TIMEOUTS = 11

#: Time after its start from which a host may be the monitor, since it has heard of the
#: others by then.
MONITOR_SETTLING_US = seconds(3)

#: Key under which hosts are ranked to find the monitor.
MONITOR_RANK_KEY = "store monitor"

#: Maximum pause after a call that failed: the monitor's, and that of all others, which
#: bounds the calls during an outage.
MONITOR_PAUSE_US = millis(250)
USUAL_PAUSE_US = millis(700)


@frozen
class CallPlan:
    """Times of a call for the changes of a table, in microseconds.

    :ivar wait: how long the store waits for a change.
    :ivar timeout: time-out beyond that.
    :ivar max_pause: maximum pause if the call fails.
    """

    wait: int
    timeout: int
    max_pause: int


def plan_call(state: GatewayState, table: StoreTable, failures: int) -> CallPlan:
    """Return how long a call for the changes of a table is to take.

    :param failures: number of calls for it that failed in a row.
    """
    knowledge = state.store_knowledge
    if not knowledge.is_monitor:
        return CallPlan(USUAL_WAIT_US, USUAL_TIMEOUT_US, USUAL_PAUSE_US)
    wait = MONITOR_WAIT_US if table is StoreTable.OPERATORS else USUAL_WAIT_US
    if knowledge.claimants:
        is_slow = table in knowledge.behind_since
    else:
        is_slow = failures % (MAX_SHORT_TIMEOUTS + 1) == MAX_SHORT_TIMEOUTS
    timeout = USUAL_TIMEOUT_US if is_slow else MONITOR_TIMEOUT_US
    return CallPlan(wait, timeout, MONITOR_PAUSE_US)


def find_monitor(state: GatewayState, now: int) -> str:
    """Return the name of the host that watches for silences of the store."""
    hosts = [
        peer.location.host
        for peer in list_live_peers(state, now)
        if peer.heartbeat.ready
    ]
    if not state.stopping:
        hosts.append(state.location.host)
    if not hosts:
        return state.location.host
    return max(hosts, key=lambda host: compute_rank(MONITOR_RANK_KEY, host))


def handle_table_read(state: GatewayState, event: TableRead) -> None:
    """Record what was read, and refute claims beyond it."""
    knowledge = state.store_knowledge
    table = event.table
    is_new_era = event.era != knowledge.eras.get(table, event.era)
    if is_new_era or event.read_up_to < knowledge.read_up_to.get(table, 0):
        # The store counts its versions anew.
        knowledge.newest_rows.pop(table, None)
    knowledge.eras[table] = event.era
    knowledge.read_up_to[table] = event.read_up_to
    if event.newest_row > knowledge.newest_rows.get(table, 0):
        knowledge.newest_rows[table] = event.newest_row
        if knowledge.is_monitor:
            knowledge.announce_to_regions = True
            knowledge.next_send_at = event.now
    for claimant in knowledge.claimants.values():
        claim = _get_claim(claimant.view, table)
        is_older = claimant.claimed_at.get(table, event.now) < event.asked_at
        is_false = claim > (event.era, event.read_up_to) and is_older
        if is_false and claim != claimant.refuted.get(table):
            _distrust(state, claimant, table, claim, event.now)


def handle_store_view_received(state: GatewayState, event: StoreViewReceived) -> None:
    """Record what a peer has read, and renew the calls after an outage."""
    view = event.view
    if view.host not in state.peers:
        return
    knowledge = state.store_knowledge
    claimant = knowledge.claimants.get(view.host)
    if claimant is None:
        claimant = knowledge.claimants[view.host] = Claimant(evolve(view, outages=0))
    previous, claimant.view = claimant.view, view
    for table in StoreTable:
        claim = _get_claim(view, table)
        if claim != _get_claim(previous, table) or table not in claimant.claimed_at:
            claimant.claimed_at[table] = event.now
    outages_before = previous.outages if previous.incarnation == view.incarnation else 0
    is_monitor = find_monitor(state, event.now) == view.host
    if view.outages > outages_before and is_monitor:
        for table in StoreTable:
            _read_again(state, table, event.now)


def handle_store_restored(state: GatewayState, event: StoreRestored) -> None:
    """Read all tables anew; calls that wait for changes may never be answered."""
    state.report(StoreChanged("restored", f"from a copy, era {event.era}"))
    for table in StoreTable:
        _read_again(state, table, event.now)


def handle_tick(state: GatewayState, event: Ticked) -> None:
    """Act on claims that still stand, and send the own view when it is due."""
    knowledge = state.store_knowledge
    was_monitor = knowledge.is_monitor
    has_settled = event.now - state.started_at >= MONITOR_SETTLING_US
    is_first = find_monitor(state, event.now) == state.location.host
    knowledge.is_monitor = has_settled and is_first
    is_reading = StoreTable.OPERATORS not in knowledge.read_up_to
    if knowledge.is_monitor and not was_monitor and not is_reading:
        # The call in flight may wait for longer than a monitor's.
        _read_again(state, StoreTable.OPERATORS, event.now)
    for table in StoreTable:
        _check_claims(state, table, event.now)
    if event.now >= knowledge.next_send_at:
        _send_view(state, event.now)


def record_outage_end(state: GatewayState, now: int) -> None:
    """Renew the calls after an outage; the monitor tells all hosts to do the same."""
    knowledge = state.store_knowledge
    knowledge.outages += 1
    for table in StoreTable:
        _read_again(state, table, now)
    if knowledge.is_monitor:
        knowledge.announce_to_all = True
        _send_view(state, now)


def _check_claims(state: GatewayState, table: StoreTable, now: int) -> None:
    knowledge = state.store_knowledge
    if table not in knowledge.read_up_to:
        # The first read of the table is under way.
        return
    own = knowledge.get_known(table)
    claims = [
        _get_claim(claimant.view, table)
        for claimant in knowledge.claimants.values()
        if now >= claimant.ignored_until
        and _get_claim(claimant.view, table) != claimant.refuted.get(table)
    ]
    claim = max(claims, default=(0, 0))
    if claim <= own:
        knowledge.behind_since.pop(table, None)
        return
    since = knowledge.behind_since.setdefault(table, now)
    if now - since < CLAIM_GRACE_US or now < knowledge.next_read_at.get(table, 0):
        return
    behind_ms = (now - since) // MICROS_PER_MILLI
    state.report(TableBehind(table.value, own[1], claim[1], behind_ms))
    _read_again(state, table, now)


def _read_again(state: GatewayState, table: StoreTable, now: int) -> None:
    state.store_knowledge.next_read_at[table] = now + READ_INTERVAL_US
    state.perform(ReadTable(table))


def _distrust(
    state: GatewayState,
    claimant: Claimant,
    table: StoreTable,
    claim: RowVersion,
    now: int,
) -> None:
    claimant.refuted[table] = claim
    distrust = min(MIN_DISTRUST_US << min(claimant.misses, 10), MAX_DISTRUST_US)
    claimant.misses += 1
    claimant.ignored_until = now + distrust
    state.report(ClaimRefuted(claimant.view.host, table.value, claim[1]))


def _send_view(state: GatewayState, now: int) -> None:
    knowledge = state.store_knowledge
    knowledge.next_send_at = now + SEND_INTERVAL_US
    if not knowledge.read_up_to:
        return
    peers = [peer for peer in state.peers.values() if not peer.departed]
    if not knowledge.announce_to_all:
        region = state.location.region
        nearby = [peer for peer in peers if peer.location.region == region]
        if knowledge.announce_to_regions:
            nearby += _pick_one_per_region(peers, region)
        peers = nearby
    knowledge.announce_to_all = knowledge.announce_to_regions = False
    if not peers:
        return
    era = knowledge.era
    versions = tuple(
        knowledge.newest_rows.get(table, 0) if knowledge.eras.get(table) == era else 0
        for table in StoreTable
    )
    view = StoreView(
        state.location.host, state.incarnation, versions, knowledge.outages, era
    )
    addresses = tuple(peer.location.peer_address for peer in peers)
    state.perform(SendStoreView(view, addresses))


def _pick_one_per_region(peers: list[Peer], own_region: str) -> list[Peer]:
    """Return a responsive host of each other region, which tells the others there."""
    picked = {}
    for peer in peers:
        region = peer.location.region
        if region != own_region and peer.heartbeat is not None:
            if region not in picked or picked[region].unresponsive:
                picked[region] = peer
    return list(picked.values())


def _get_claim(view: StoreView, table: StoreTable) -> RowVersion:
    position = list(StoreTable).index(table)
    version = view.versions[position] if position < len(view.versions) else 0
    return view.era, version


EVENT_HANDLERS: dict[type[GatewayEvent], object] = {
    StoreRestored: handle_store_restored,
    TableRead: handle_table_read,
    StoreViewReceived: handle_store_view_received,
    Ticked: handle_tick,
}

"""Other hosts: who is there, what callers ask of them, and whom callers may use."""

from __future__ import annotations

from almondgap_core.gateway.allotments import NOTABLE
from almondgap_core.gateway.beats import Beat, HostPlace
from almondgap_core.gateway.effects import SendBeat
from almondgap_core.gateway.events import (
    BeatHeard,
    GatewayEvent,
    StopRequested,
    Ticked,
)
from almondgap_core.gateway.reports import HostChanged, LimitChanged, StopBegun
from almondgap_core.gateway.state import GatewayState, Peer
from almondgap_core.units import MICROS_PER_MILLI, millis, seconds

#: Time between two beats.
BEAT_US = seconds(1)

#: Time between beats to a host that is silent.
SILENT_BEAT_US = seconds(3)

#: Silence after which callers are not sent to a host: two lost beats and a late one.
SILENT_US = millis(2_600)

#: Time after which what a silent host asked for no longer counts: longer than hosts
#: are usually cut off.
FORGOTTEN_US = seconds(15)

#: Least demand for an account or service that is told, in requests per second.
LEAST_TOLD = 0.05

#: Most hosts that are named to a caller.
MOST_NAMED = 64


def meet_host(state: GatewayState, place: HostPlace) -> None:
    """Note a host that the store lists; whether it runs will be heard."""
    if place.host != state.place.host:
        peer = state.peers.get(place.host)
        if peer is None:
            state.peers[place.host] = Peer(place)
        elif peer.heard is None:
            peer.place = place


def handle_beat_heard(state: GatewayState, event: BeatHeard) -> None:
    """Believe what a host tells of itself, unless a newer beat is known.

    A host that was silent and comes back with an older number was started again while
    its clock was set back.
    """
    beat = event.beat
    if beat.place.host == state.place.host:
        return
    peer = state.peers.get(beat.place.host)
    if peer is None:
        peer = state.peers[beat.place.host] = Peer(beat.place)
    known = peer.beat
    if known is not None:
        age = (known.incarnation, known.sequence)
        if (beat.incarnation, beat.sequence) <= age and not peer.lost:
            return
    silent = event.now - peer.heard if peer.heard is not None else 0
    if known is None or peer.lost or known.ready != beat.ready:
        now_is = "ready" if beat.ready else "not ready"
        state.report(HostChanged(beat.place.host, now_is, silent // MICROS_PER_MILLI))
    if known is None or known.incarnation != beat.incarnation:
        # A host that has just started hears of this one at once.
        state.next_beat = event.now
    peer.lost = False
    peer.place = beat.place
    peer.beat = beat
    peer.heard = event.now


def handle_tick(state: GatewayState, event: Ticked) -> None:
    """Send a beat when it is time, and note hosts that fell silent."""
    for peer in state.peers.values():
        silent = peer.heard is not None and event.now - peer.heard > SILENT_US
        if silent and not peer.lost:
            peer.lost = True
            age = (event.now - peer.heard) // MICROS_PER_MILLI
            state.report(HostChanged(peer.place.host, "silent", age))
    if event.now >= state.next_beat:
        _send_beat(state, event.now)
        _share_limits(state, event.now)


def handle_stop_requested(state: GatewayState, event: StopRequested) -> None:
    """Tell other hosts at once that callers are to go elsewhere."""
    if state.stopping:
        return
    state.stopping = True
    state.report(StopBegun(len(state.calls)))
    _send_beat(state, event.now)


def list_heard(state: GatewayState, now: int) -> list[Peer]:
    """Return the other hosts that run, as far as is known."""
    return [
        peer
        for peer in state.peers.values()
        if peer.heard is not None and now - peer.heard <= SILENT_US
    ]


def list_addresses(
    state: GatewayState, failure_domain: str, region: str, now: int
) -> list[str]:
    """Return where a caller may connect: hosts that run, near it if there are any.

    A caller whose failure domain has a single host is told of its region's, so that it
    has another one when that one fails.
    """
    ready = [peer.place for peer in list_heard(state, now) if peer.beat.ready]
    if state.ready:
        ready.append(state.place)
    near = [place for place in ready if place.failure_domain == failure_domain]
    if len(near) < 2:
        near = [place for place in ready if place.region == region] or ready
    return sorted(place.callers for place in near)[:MOST_NAMED]


def count_hosts(state: GatewayState) -> int:
    """Return the number of hosts that may be running, this one included."""
    return max(len(state.peers) + 1, len(state.regions))


def sum_demand(state: GatewayState, service: str, now: int) -> dict[str, float]:
    """Return what callers ask of a service, by the region of their host."""
    here = state.demand.get(service)
    demand = {state.place.region: here.read(now) if here else 0.0}
    for peer in list_heard(state, now):
        region = peer.place.region
        asked = peer.beat.demand.get(service, 0.0)
        demand[region] = demand.get(region, 0.0) + asked
    return demand


def _send_beat(state: GatewayState, now: int) -> None:
    state.next_beat = now + BEAT_US
    state.beat_sequence += 1
    asked = {
        name: round(allotment.asked.read(now), 2)
        for name, allotment in state.allotments.items()
    }
    demand = {name: round(meter.read(now), 2) for name, meter in state.demand.items()}
    beat = Beat(
        state.place,
        state.incarnation,
        state.beat_sequence,
        state.ready,
        state.version,
        {name: rate for name, rate in asked.items() if rate >= LEAST_TOLD},
        {name: rate for name, rate in demand.items() if rate >= LEAST_TOLD},
    )
    addresses = []
    for peer in state.peers.values():
        silent = peer.heard is None or now - peer.heard > SILENT_US
        if not silent or now - peer.told >= SILENT_BEAT_US:
            peer.told = now
            addresses.append(peer.place.peers)
    if addresses:
        state.perform(SendBeat(beat, tuple(addresses)))


def share_limit(state: GatewayState, account: str, now: int) -> None:
    """Work out which part of an account's limit this host may use."""
    allotment = state.allotments[account]
    elsewhere = 0.0
    for peer in state.peers.values():
        if peer.heard is not None and now - peer.heard < FORGOTTEN_US:
            elsewhere += peer.beat.asked.get(account, 0.0)
    allotment.elsewhere = elsewhere
    allotment.others = count_hosts(state) - 1
    allotment.set_share(now)
    if abs(allotment.share - allotment.reported) >= NOTABLE:
        allotment.reported = allotment.share
        limit = state.configuration.accounts.get(account) if state.version else None
        state.report(
            LimitChanged(
                account,
                round(allotment.share, 3),
                limit.rate if limit else 0.0,
                round(allotment.asked.read(now), 2),
                round(elsewhere, 2),
            )
        )


def _share_limits(state: GatewayState, now: int) -> None:
    for account in state.allotments:
        share_limit(state, account, now)


EVENT_HANDLERS: dict[type[GatewayEvent], object] = {
    BeatHeard: handle_beat_heard,
    StopRequested: handle_stop_requested,
    Ticked: handle_tick,
}

"""Membership of the fleet: which hosts are alive, and which ones callers may use.

Hosts of the same region exchange heartbeats every second, so that callers are not
directed to a dead host. Heartbeats between regions are rarer: hosts there donate
tokens, and callers are directed to them only if their own region has no host left.
"""

from __future__ import annotations

from almondgap_core.gateway.effects import SendHeartbeat
from almondgap_core.gateway.events import (
    GatewayEvent,
    HeartbeatReceived,
    StopRequested,
    Ticked,
)
from almondgap_core.gateway.heartbeats import Heartbeat, HostLocation
from almondgap_core.gateway.limit_shares import update_membership
from almondgap_core.gateway.peer import Peer
from almondgap_core.gateway.planned_stop import begin_stop
from almondgap_core.gateway.reports import HostChanged, StopBegun
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.suspect_exchange import send_all_suspects, send_suspects
from almondgap_core.gateway.target_limits import send_all_limits, send_limits
from almondgap_core.units import MICROS_PER_MILLI, millis, seconds

#: Heartbeat intervals to hosts of the same region, to hosts of other regions, and to
#: hosts that are silent.
HEARTBEAT_INTERVAL_US = seconds(1)
REMOTE_HEARTBEAT_INTERVAL_US = seconds(4)
SILENT_HEARTBEAT_INTERVAL_US = seconds(3)

#: Silence after which callers are not directed to a host: two lost heartbeats and a
#: delayed one.
SILENCE_TIMEOUT_US = millis(2_600)

#: Silence after which a host of another region is unresponsive (two lost heartbeats and
#: a delayed one), and after which callers are not directed to it (one lost and a
#: delayed one).
REMOTE_SILENCE_TIMEOUT_US = millis(8_600)
REMOTE_ADVERTISE_TIMEOUT_US = millis(4_600)

#: Maximum number of addresses in an answer to a caller.
MAX_ADVERTISED_HOSTS = 64


def register_peers(
    state: GatewayState, locations: list[HostLocation], now: int
) -> None:
    """Add the hosts that the store lists, and send them a heartbeat soon."""
    for location in locations:
        if location.host == state.location.host:
            continue
        peer = state.peers.get(location.host)
        if peer is None:
            state.peers[location.host] = Peer(location, discovered_at=now)
            state.membership_epoch += 1
        elif peer.last_heard_at is None:
            peer.location = location
    state.hosts_listed = True
    state.next_heartbeat_at = now


def handle_heartbeat_received(state: GatewayState, event: HeartbeatReceived) -> None:
    """Update a peer from its heartbeat, unless a newer one is known.

    An older incarnation is accepted from a peer that was silent: it restarted after its
    clock was set back.
    """
    heartbeat = event.heartbeat
    if heartbeat.location.host == state.location.host:
        return
    peer = state.peers.get(heartbeat.location.host)
    if peer is None:
        peer = state.peers[heartbeat.location.host] = Peer(
            heartbeat.location, discovered_at=event.now
        )
        state.membership_epoch += 1
    known = peer.heartbeat
    if known is not None:
        age = (known.incarnation, known.sequence)
        if (heartbeat.incarnation, heartbeat.sequence) <= age and not peer.unresponsive:
            return
    silence = event.now - peer.last_heard_at if peer.last_heard_at is not None else 0
    if known is None or peer.unresponsive or known.ready != heartbeat.ready:
        new_state = "ready" if heartbeat.ready else "not ready"
        state.report(
            HostChanged(heartbeat.location.host, new_state, silence // MICROS_PER_MILLI)
        )
    has_started = known is None or known.incarnation != heartbeat.incarnation
    if has_started or peer.unresponsive:
        # Tell a host that has just started or was silent at once what it lacks.
        peer.last_sent_at = None
        state.next_heartbeat_at = event.now
    peer.unresponsive = False
    peer.stop_announced = not heartbeat.ready and known is not None and known.ready
    peer.location = heartbeat.location
    peer.heartbeat = heartbeat
    peer.last_heard_at = event.now


def handle_tick(state: GatewayState, event: Ticked) -> None:
    """Send a heartbeat when it is due, and mark silent peers as unresponsive."""
    for peer in state.peers.values():
        if peer.last_heard_at is None or peer.unresponsive:
            continue
        silence = event.now - peer.last_heard_at
        if silence > (
            SILENCE_TIMEOUT_US
            if _is_same_region(state, peer)
            else REMOTE_SILENCE_TIMEOUT_US
        ):
            peer.unresponsive = True
            age = silence // MICROS_PER_MILLI
            state.report(HostChanged(peer.location.host, "silent", age))
    if event.now >= state.next_heartbeat_at:
        _send_heartbeat(state, event.now)
    update_membership(state, event.now)


def handle_stop_requested(state: GatewayState, event: StopRequested) -> None:
    """Announce the planned stop to other hosts at once."""
    if state.stopping:
        return
    begin_stop(state, event.now, event.grace)
    state.report(StopBegun(len(state.calls)))
    for peer in state.peers.values():
        peer.last_sent_at = None
    _send_heartbeat(state, event.now)


def list_live_peers(state: GatewayState, now: int) -> list[Peer]:
    """Return the peers whose heartbeats arrive."""
    return [
        peer
        for peer in state.peers.values()
        if peer.last_heard_at is not None
        and now - peer.last_heard_at
        <= (
            SILENCE_TIMEOUT_US
            if _is_same_region(state, peer)
            else REMOTE_ADVERTISE_TIMEOUT_US
        )
    ]


def list_caller_addresses(
    state: GatewayState, failure_domain: str, region: str, now: int
) -> list[str]:
    """Return addresses for a caller: ready hosts, near the caller if there are any.

    If the caller's failure domain has a single host, those of the whole region are
    returned, so that the caller has another one when that host fails. Hosts that reach
    no target are returned only if the region has no others.
    """
    ready = [
        (peer.location, peer.heartbeat.reaches_targets)
        for peer in list_live_peers(state, now)
        if peer.heartbeat.ready
    ]
    if state.ready:
        ready.append((state.location, state.partitioned_since is None))
    useful = [location for location, reaches_targets in ready if reaches_targets]
    nearby = [
        location for location in useful if location.failure_domain == failure_domain
    ]
    if len(nearby) < 2:
        nearby = [location for location in useful if location.region == region]
    if not nearby:
        nearby = [location for location, _ in ready if location.region == region]
    if not nearby:
        nearby = [
            location
            for location, _ in ready
            if location.region == state.location.region
        ]
    return sorted(location.caller_address for location in nearby)[:MAX_ADVERTISED_HOSTS]


def count_hosts(state: GatewayState) -> int:
    """Return the number of hosts that may be running, including this one."""
    return max(len(state.peers) + 1, len(state.regions))


def _send_heartbeat(state: GatewayState, now: int) -> None:
    state.next_heartbeat_at = now + HEARTBEAT_INTERVAL_US
    state.heartbeat_sequence += 1
    heartbeat = Heartbeat(
        state.location,
        state.incarnation,
        state.heartbeat_sequence,
        state.ready,
        state.version,
        state.partitioned_since is None,
    )
    addresses = []
    newcomers = []
    for peer in state.peers.values():
        if peer.last_sent_at is None or now - peer.last_sent_at >= _choose_interval(
            state, peer
        ):
            if peer.last_sent_at is None:
                newcomers.append(peer.location.peer_address)
            peer.last_sent_at = now
            addresses.append(peer.location.peer_address)
    if addresses:
        state.perform(SendHeartbeat(heartbeat, tuple(addresses)))
        send_limits(state, tuple(addresses), now)
        send_all_limits(state, tuple(newcomers), now)
        send_suspects(state, tuple(addresses), now)
        send_all_suspects(state, tuple(newcomers))


def _choose_interval(state: GatewayState, peer: Peer) -> int:
    """Return the minimum interval between heartbeats to a peer.

    Half a heartbeat interval is subtracted for responsive peers, since ticks come early
    or late.
    """
    if peer.last_heard_at is None or peer.unresponsive:
        return SILENT_HEARTBEAT_INTERVAL_US
    return (
        HEARTBEAT_INTERVAL_US
        if _is_same_region(state, peer)
        else REMOTE_HEARTBEAT_INTERVAL_US
    ) - HEARTBEAT_INTERVAL_US // 2


def _is_same_region(state: GatewayState, peer: Peer) -> bool:
    return peer.location.region == state.location.region


EVENT_HANDLERS: dict[type[GatewayEvent], object] = {
    HeartbeatReceived: handle_heartbeat_received,
    StopRequested: handle_stop_requested,
    Ticked: handle_tick,
}

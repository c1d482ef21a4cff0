"""Other hosts: who is there, and whom callers may use.

Hosts of one region hear each other every second, so that callers are told of no host
that has died. Hosts of other regions are heard more rarely: they are asked for tokens
and named to callers only when a region has no host left.
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
from almondgap_core.gateway.reports import HostChanged, StopBegun
from almondgap_core.gateway.state import GatewayState, Peer
from almondgap_core.units import MICROS_PER_MILLI, millis, seconds

#: Time between two beats to hosts of the same region, to hosts of other regions, and to
#: hosts that are silent.
HEARTBEAT_INTERVAL_US = seconds(1)
REMOTE_HEARTBEAT_INTERVAL_US = seconds(4)
SILENT_HEARTBEAT_INTERVAL_US = seconds(3)

#: Silence after which callers are not sent to a host: two lost beats and a late one.
SILENCE_TIMEOUT_US = millis(2_600)

#: Silence after which a host of another region counts as lost, and after which callers
#: are not sent to it: two lost beats and a late one, and one beat and a late one.
REMOTE_SILENCE_TIMEOUT_US = millis(8_600)
REMOTE_ADVERTISE_TIMEOUT_US = millis(4_600)

#: Most hosts that are named to a caller.
MAX_ADVERTISED_HOSTS = 64


def register_peers(
    state: GatewayState, locations: list[HostLocation], now: int
) -> None:
    """Note the hosts that the store lists, and tell them of this one."""
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
    """Believe what a host tells of itself, unless a newer beat is known.

    A host that was silent and comes back with an older number was started again while
    its clock was set back.
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
    silent = event.now - peer.last_heard_at if peer.last_heard_at is not None else 0
    if known is None or peer.unresponsive or known.ready != heartbeat.ready:
        new_state = "ready" if heartbeat.ready else "not ready"
        state.report(
            HostChanged(heartbeat.location.host, new_state, silent // MICROS_PER_MILLI)
        )
    if known is None or known.incarnation != heartbeat.incarnation:
        # A host that has just started hears of this one at once.
        peer.last_sent_at = None
        state.next_heartbeat_at = event.now
    peer.unresponsive = False
    peer.stop_announced = not heartbeat.ready and known is not None and known.ready
    peer.location = heartbeat.location
    peer.heartbeat = heartbeat
    peer.last_heard_at = event.now


def handle_tick(state: GatewayState, event: Ticked) -> None:
    """Send a beat when it is time, and note hosts that fell silent."""
    for peer in state.peers.values():
        if peer.last_heard_at is None or peer.unresponsive:
            continue
        silent = event.now - peer.last_heard_at
        if silent > (
            SILENCE_TIMEOUT_US
            if _is_same_region(state, peer)
            else REMOTE_SILENCE_TIMEOUT_US
        ):
            peer.unresponsive = True
            age = silent // MICROS_PER_MILLI
            state.report(HostChanged(peer.location.host, "silent", age))
    if event.now >= state.next_heartbeat_at:
        _send_heartbeat(state, event.now)
    update_membership(state, event.now)


def handle_stop_requested(state: GatewayState, event: StopRequested) -> None:
    """Tell other hosts at once that callers are to go elsewhere."""
    if state.stopping:
        return
    state.stopping = True
    state.report(StopBegun(len(state.calls)))
    for peer in state.peers.values():
        peer.last_sent_at = None
    _send_heartbeat(state, event.now)


def list_live_peers(state: GatewayState, now: int) -> list[Peer]:
    """Return the other hosts that run, as far as is known."""
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
    """Return where a caller may connect: hosts that run, near it if there are any.

    A caller whose failure domain has a single host is told of its region's, so that it
    has another one when that one fails.
    """
    ready = [
        peer.location for peer in list_live_peers(state, now) if peer.heartbeat.ready
    ]
    if state.ready:
        ready.append(state.location)
    near = [location for location in ready if location.failure_domain == failure_domain]
    if len(near) < 2:
        near = [location for location in ready if location.region == region]
    if not near:
        near = [
            location for location in ready if location.region == state.location.region
        ]
    return sorted(location.caller_address for location in near)[:MAX_ADVERTISED_HOSTS]


def count_hosts(state: GatewayState) -> int:
    """Return the number of hosts that may be running, this one included."""
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
    )
    addresses = []
    for peer in state.peers.values():
        if peer.last_sent_at is None or now - peer.last_sent_at >= _choose_interval(
            state, peer
        ):
            peer.last_sent_at = now
            addresses.append(peer.location.peer_address)
    if addresses:
        state.perform(SendHeartbeat(heartbeat, tuple(addresses)))


def _choose_interval(state: GatewayState, peer: Peer) -> int:
    """Return the least time between two beats to a host; ticks come early or late."""
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

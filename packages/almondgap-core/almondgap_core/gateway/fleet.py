"""Other hosts: who is there, and whom callers may use.

Hosts of one region hear each other every second, so that callers are told of no host
that has died. Hosts of other regions are heard more rarely: they are asked for tokens
and named to callers only when a region has no host left.
"""

from __future__ import annotations

from almondgap_core.gateway.effects import SendBeat
from almondgap_core.gateway.events import (
    BeatHeard,
    GatewayEvent,
    StopRequested,
    Ticked,
)
from almondgap_core.gateway.heartbeats import Beat, HostPlace
from almondgap_core.gateway.limit_shares import note_members
from almondgap_core.gateway.reports import HostChanged, StopBegun
from almondgap_core.gateway.state import GatewayState, Peer
from almondgap_core.units import MICROS_PER_MILLI, millis, seconds

#: Time between two beats to hosts of the same region, to hosts of other regions, and to
#: hosts that are silent.
BEAT_US = seconds(1)
FAR_BEAT_US = seconds(4)
SILENT_BEAT_US = seconds(3)

#: Silence after which callers are not sent to a host: two lost beats and a late one.
SILENT_US = millis(2_600)

#: Silence after which a host of another region counts as lost, and after which callers
#: are not sent to it: two lost beats and a late one, and one beat and a late one.
FAR_SILENT_US = millis(8_600)
FAR_NAMED_US = millis(4_600)

#: Most hosts that are named to a caller.
MOST_NAMED = 64


def meet_hosts(state: GatewayState, places: list[HostPlace], now: int) -> None:
    """Note the hosts that the store lists, and tell them of this one."""
    for place in places:
        if place.host == state.place.host:
            continue
        peer = state.peers.get(place.host)
        if peer is None:
            state.peers[place.host] = Peer(place, met=now)
            state.members_epoch += 1
        elif peer.heard is None:
            peer.place = place
    state.hosts_listed = True
    state.next_beat = now


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
        peer = state.peers[beat.place.host] = Peer(beat.place, met=event.now)
        state.members_epoch += 1
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
        peer.told = None
        state.next_beat = event.now
    peer.lost = False
    peer.stopped = not beat.ready and known is not None and known.ready
    peer.place = beat.place
    peer.beat = beat
    peer.heard = event.now


def handle_tick(state: GatewayState, event: Ticked) -> None:
    """Send a beat when it is time, and note hosts that fell silent."""
    for peer in state.peers.values():
        if peer.heard is None or peer.lost:
            continue
        silent = event.now - peer.heard
        if silent > (SILENT_US if _is_near(state, peer) else FAR_SILENT_US):
            peer.lost = True
            age = silent // MICROS_PER_MILLI
            state.report(HostChanged(peer.place.host, "silent", age))
    if event.now >= state.next_beat:
        _send_beat(state, event.now)
    note_members(state, event.now)


def handle_stop_requested(state: GatewayState, event: StopRequested) -> None:
    """Tell other hosts at once that callers are to go elsewhere."""
    if state.stopping:
        return
    state.stopping = True
    state.report(StopBegun(len(state.calls)))
    for peer in state.peers.values():
        peer.told = None
    _send_beat(state, event.now)


def list_heard(state: GatewayState, now: int) -> list[Peer]:
    """Return the other hosts that run, as far as is known."""
    return [
        peer
        for peer in state.peers.values()
        if peer.heard is not None
        and now - peer.heard <= (SILENT_US if _is_near(state, peer) else FAR_NAMED_US)
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
        near = [place for place in ready if place.region == region]
    if not near:
        near = [place for place in ready if place.region == state.place.region]
    return sorted(place.callers for place in near)[:MOST_NAMED]


def count_hosts(state: GatewayState) -> int:
    """Return the number of hosts that may be running, this one included."""
    return max(len(state.peers) + 1, len(state.regions))


def _send_beat(state: GatewayState, now: int) -> None:
    state.next_beat = now + BEAT_US
    state.beat_sequence += 1
    beat = Beat(
        state.place,
        state.incarnation,
        state.beat_sequence,
        state.ready,
        state.version,
    )
    addresses = []
    for peer in state.peers.values():
        if peer.told is None or now - peer.told >= _find_pause(state, peer):
            peer.told = now
            addresses.append(peer.place.peers)
    if addresses:
        state.perform(SendBeat(beat, tuple(addresses)))


def _find_pause(state: GatewayState, peer: Peer) -> int:
    """Return the least time between two beats to a host; ticks come early or late."""
    if peer.heard is None or peer.lost:
        return SILENT_BEAT_US
    return (BEAT_US if _is_near(state, peer) else FAR_BEAT_US) - BEAT_US // 2


def _is_near(state: GatewayState, peer: Peer) -> bool:
    return peer.place.region == state.place.region


EVENT_HANDLERS: dict[type[GatewayEvent], object] = {
    BeatHeard: handle_beat_heard,
    StopRequested: handle_stop_requested,
    Ticked: handle_tick,
}

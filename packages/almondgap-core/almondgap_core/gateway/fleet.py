"""Other hosts: who is there, what callers ask of them, and whom callers may use."""

from __future__ import annotations

from almondgap_core.gateway.beats import Beat, HostPlace
from almondgap_core.gateway.effects import SendBeat
from almondgap_core.gateway.events import (
    BeatHeard,
    GatewayEvent,
    StopRequested,
    Ticked,
)
from almondgap_core.gateway.reports import HostChanged, StopBegun
from almondgap_core.gateway.shares import (
    handle_silence,
    hold_parts,
    note_told,
    report_shares,
)
from almondgap_core.gateway.state import GatewayState, Peer
from almondgap_core.units import MICROS_PER_MILLI, millis, seconds

#: Time between two beats.
BEAT_US = seconds(1)

#: Time between beats to a host that is silent.
SILENT_BEAT_US = seconds(3)

#: Silence after which callers are not sent to a host: two lost beats and a late one.
SILENT_US = millis(2_600)

#: Least demand for an account that is told, in requests per second.
LEAST_TOLD = 0.05

#: Most hosts that are named to a caller.
MOST_NAMED = 64


def meet_hosts(state: GatewayState, places: list[HostPlace]) -> None:
    """Note the hosts that the store lists, and tell them of this one."""
    for place in places:
        meet_host(state, place)
    state.hosts_listed = True
    state.next_beat = 0


def meet_host(state: GatewayState, place: HostPlace) -> None:
    """Note a host; whether it runs will be heard."""
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
    note_told(state, peer, beat)
    peer.lost = False
    peer.stopped = not beat.ready and known is not None and known.ready
    peer.place = beat.place
    peer.beat = beat
    peer.heard = event.now


def handle_tick(state: GatewayState, event: Ticked) -> None:
    """Send a beat when it is time, and note hosts that fell silent."""
    for peer in state.peers.values():
        silent = peer.heard is not None and event.now - peer.heard > SILENT_US
        if silent and not peer.lost:
            hold_parts(state, peer)
            peer.lost = True
            age = (event.now - peer.heard) // MICROS_PER_MILLI
            state.report(HostChanged(peer.place.host, "silent", age))
    rising = any(
        allotment.is_rising(event.now) for allotment in state.allotments.values()
    )
    if rising or event.now >= state.next_beat:
        _send_beat(state, event.now)
    handle_silence(state, event.now)
    report_shares(state)


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


def _send_beat(state: GatewayState, now: int) -> None:
    state.next_beat = now + BEAT_US
    state.beat_sequence += 1
    for allotment in state.allotments.values():
        allotment.told = round(allotment.asked.read(now), 2)
    asked = {name: allotment.told for name, allotment in state.allotments.items()}
    beat = Beat(
        state.place,
        state.incarnation,
        state.beat_sequence,
        state.ready,
        state.version,
        {name: rate for name, rate in asked.items() if rate >= LEAST_TOLD},
    )
    addresses = []
    for peer in state.peers.values():
        silent = peer.heard is None or now - peer.heard > SILENT_US
        if not silent or now - peer.told >= SILENT_BEAT_US:
            peer.told = now
            addresses.append(peer.place.peers)
    if addresses:
        state.perform(SendBeat(beat, tuple(addresses)))


EVENT_HANDLERS: dict[type[GatewayEvent], object] = {
    BeatHeard: handle_beat_heard,
    StopRequested: handle_stop_requested,
    Ticked: handle_tick,
}

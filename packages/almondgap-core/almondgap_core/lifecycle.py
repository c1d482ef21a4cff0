"""Planned stop: a host finishes what runs and then leaves."""

from __future__ import annotations

from almondgap_core.effects import Stopped
from almondgap_core.events import DrainRequested, Tick
from almondgap_core.limits.renewal import is_handed_over
from almondgap_core.state import HostState


def handle_drain_requested(state: HostState, event: DrainRequested) -> None:
    """Begin the planned stop, and say so with the next heartbeat at once."""
    state.stopping = True
    state.members.next_heartbeat = event.now


def handle_tick(state: HostState, event: Tick) -> None:
    """End the planned stop once no request is left and the leases are given up."""
    if not state.stopping or state.stopped or state.requests.open:
        return
    if is_handed_over(state, event.now):
        state.stopped = True
        state.perform(Stopped())


EVENT_HANDLERS = {DrainRequested: handle_drain_requested, Tick: handle_tick}

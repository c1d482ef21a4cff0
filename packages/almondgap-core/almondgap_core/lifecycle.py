"""Planned stop: a host finishes what runs and then leaves."""

from __future__ import annotations

from almondgap_core.effects import Stopped
from almondgap_core.events import DrainRequested, Tick
from almondgap_core.state import HostState


def handle_drain_requested(state: HostState, event: DrainRequested) -> None:
    """Begin the planned stop."""
    state.stopping = True


def handle_tick(state: HostState, event: Tick) -> None:
    """End the planned stop once no request and no slot handed out is left."""
    busy = state.requests.open or state.steering.grants
    if state.stopping and not state.stopped and not busy:
        state.stopped = True
        state.perform(Stopped())


EVENT_HANDLERS = {DrainRequested: handle_drain_requested, Tick: handle_tick}

"""Planned stop: serve cached look-ups out, finish, hand over, leave."""

from __future__ import annotations

from almondgap_core.effects import LogEntry, Stopped
from almondgap_core.events import DrainRequested, Tick
from almondgap_core.limits.release import is_handed_over
from almondgap_core.operations.handover import transfer_books
from almondgap_core.stages import Stage
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_MILLI, MICROS_PER_SECOND

#: Part of the time of a planned stop that is kept for handing over, as a divisor.
HANDOVER_DIVISOR = 3

#: Longest time that is kept for handing over.
MAX_HANDOVER_US = 8 * MICROS_PER_SECOND


def handle_drain_requested(state: HostState, event: DrainRequested) -> None:
    """Begin the planned stop, and say so with the next heartbeat at once."""
    if state.stopping:
        return
    state.stopping = True
    state.members.next_heartbeat = event.now
    lifecycle = state.lifecycle
    lifecycle.drain_started_at = event.now
    lifecycle.deadline = event.deadline
    lifecycle.machine.drain()


def handle_tick(state: HostState, event: Tick) -> None:
    """Go on to the next stage when it is time."""
    stage = state.lifecycle.stage
    if stage in (Stage.SERVING, Stage.STOPPED):
        return
    if stage is Stage.JOINING:
        if state.inventory is not None:
            state.lifecycle.machine.configure()
        return
    deadline = state.lifecycle.deadline
    if deadline is not None and event.now >= deadline:
        _stop(state, event.now)
    elif stage is Stage.DRAINING:
        _drain(state, event.now)
    elif stage is Stage.MOVING:
        _move(state, event.now)
    elif not state.is_busy and is_handed_over(state, event.now):
        _stop(state, event.now)


def _drain(state: HostState, now: int) -> None:
    """Wait until no caller has a look-up that names this host, and all is done."""
    lifecycle = state.lifecycle
    ttl = state.inventory.lookup_ttl * MICROS_PER_SECOND
    done = now >= lifecycle.drain_started_at + ttl and not state.requests.open
    if done or now >= _compute_handover_start(state):
        lifecycle.handover_started_at = now
        lifecycle.initial_books = len(state.operations.books)
        lifecycle.machine.finish_draining()


def _compute_handover_start(state: HostState) -> float:
    lifecycle = state.lifecycle
    if lifecycle.deadline is None:
        return float("inf")
    whole = lifecycle.deadline - lifecycle.drain_started_at
    return lifecycle.deadline - min(whole // HANDOVER_DIVISOR, MAX_HANDOVER_US)


def _move(state: HostState, now: int) -> None:
    """Hand records to other hosts, after the requests that write them."""
    if state.requests.open:
        return
    late = now >= state.lifecycle.handover_started_at + MAX_HANDOVER_US
    left = transfer_books(state, now)
    if late or not (left or state.operations.reports):
        state.lifecycle.machine.finish_handover()


def _stop(state: HostState, now: int) -> None:
    lifecycle = state.lifecycle
    lifecycle.machine.stop()
    state.stopped = True
    took = (now - lifecycle.drain_started_at) // MICROS_PER_MILLI
    fields = (
        ("took_ms", took),
        ("cut", len(state.requests.open)),
        ("books", lifecycle.initial_books),
        ("books_lost", len(state.operations.books)),
        ("outcomes_lost", len(state.operations.reports)),
    )
    state.perform(LogEntry("planned stop done", fields))
    state.perform(Stopped())


EVENT_HANDLERS = {DrainRequested: handle_drain_requested, Tick: handle_tick}

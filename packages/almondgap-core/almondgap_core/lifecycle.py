"""Lifecycle of a host: decides when a planned stop moves on to its next stage.

A stopping host first drains: it serves requests until no caller has a cached look-up
that names it. It then transfers its books of operations to other hosts, releases its
leases and stops. If the deadline is near, draining is cut short in favour of the
transfer.
"""

from __future__ import annotations

from almondgap_core.effects import LogEntry, Stopped
from almondgap_core.events import DrainRequested, Tick
from almondgap_core.limits.release import is_release_finished
from almondgap_core.operations.handover import transfer_books
from almondgap_core.stages import Stage
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_MILLI, MICROS_PER_SECOND

#: One part in this many of a planned stop's time is reserved for the handover.
HANDOVER_DIVISOR = 3

#: Upper bound of the time reserved for the handover.
MAX_HANDOVER_US = 8 * MICROS_PER_SECOND


def handle_drain_requested(state: HostState, event: DrainRequested) -> None:
    """Begin the planned stop and announce it with an immediate heartbeat."""
    if state.stopping:
        return
    state.stopping = True
    state.members.next_heartbeat = event.now
    lifecycle = state.lifecycle
    lifecycle.drain_started_at = event.now
    lifecycle.deadline = event.deadline
    lifecycle.machine.drain()


def handle_tick(state: HostState, event: Tick) -> None:
    """Move on to the next stage if its conditions are met."""
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
    elif not state.is_busy and is_release_finished(state, event.now):
        _stop(state, event.now)


def _drain(state: HostState, now: int) -> None:
    """Wait for cached look-ups to expire and for requests in flight."""
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
    """Transfer books once the requests that write to them have finished."""
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

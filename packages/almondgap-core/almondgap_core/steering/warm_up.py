"""Ramp: targets that are new, or back from a drain, begin with little work."""

from __future__ import annotations

from almondgap_core.events import BodyFetched, Event, Tick
from almondgap_core.state import HostState
from almondgap_core.steering.slot_state import TargetHealth


def mark_new_targets(state: HostState, event: BodyFetched | Tick) -> None:
    """Mark targets as cold that a new configuration version brought.

    The first version that a host has says nothing of which targets are new.
    """
    book = state.slots
    if state.inventory is None or book.known_version == state.settings.version:
        return
    first = book.known_version == 0
    book.known_version = state.settings.version
    targets = state.inventory.targets.values()
    active = frozenset(target.name for target in targets if not target.draining)
    for name in book.known_targets - active:
        book.target_health.pop(name, None)
    if not first:
        for name in active - book.known_targets:
            book.target_health[name] = TargetHealth(warm_up_since=event.now)
    book.known_targets = active


EVENT_HANDLERS: dict[type[Event], object] = {
    BodyFetched: mark_new_targets,
    Tick: mark_new_targets,
}

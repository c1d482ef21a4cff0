"""Targets inside a host: which one a request goes to, and the slots it holds."""

from __future__ import annotations

from almondgap_core.events import SlotAsked, SlotGranted, SlotRefused, SlotReleased
from almondgap_core.limits.leases import find_held
from almondgap_core.limits.partitions import find_partition
from almondgap_core.settings.inventory import Target
from almondgap_core.state import HostState


def handle_slot_asked(state: HostState, event: SlotAsked) -> None:
    """Grant a slot at the least used target that this host owns."""
    best = None
    for target in list_owned_targets(state, event.service, event.now):
        used = state.steering.slots_used.get(target.name, 0)
        if target.name in event.exclude or used >= target.slots:
            continue
        load = used / target.slots
        if best is None or load < best[0]:
            best = (load, target)
    if best is None:
        detail = f"No target of {event.service} has a free slot."
        state.emit(SlotRefused(event.now, event.req_id, detail))
        return
    name = best[1].name
    state.steering.slots_used[name] = state.steering.slots_used.get(name, 0) + 1
    state.emit(SlotGranted(event.now, event.req_id, name))


def handle_slot_released(state: HostState, event: SlotReleased) -> None:
    """Make the slot free again."""
    state.steering.slots_used[event.target] -= 1


def list_owned_targets(state: HostState, service: str, now: int) -> list[Target]:
    """Return the targets of ``service`` whose slots this host hands out."""
    owned = []
    for name in state.inventory.services[service].targets:
        target = state.inventory.targets[name]
        if not target.draining and _owns(state, target, now):
            owned.append(target)
    return owned


def _owns(state: HostState, target: Target, now: int) -> bool:
    partition = find_partition(state.inventory, target.failure_domain, target.name)
    return find_held(state, partition, now) is not None


EVENT_HANDLERS = {SlotAsked: handle_slot_asked, SlotReleased: handle_slot_released}

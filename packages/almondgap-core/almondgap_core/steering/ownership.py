"""Ownership: whose slots this host hands out, and which may still be in use."""

from __future__ import annotations

from almondgap_core.events import Event
from almondgap_core.limits.events import LeaseTaken
from almondgap_core.limits.leases import find_held
from almondgap_core.limits.partitions import Partition, find_partition
from almondgap_core.settings.inventory import Inventory, Target
from almondgap_core.state import HostState
from almondgap_core.steering.slot_state import Takeover, TargetLayout
from almondgap_core.units import MICROS_PER_MILLI, MICROS_PER_SECOND

#: What an owner waits beyond a deadline: delay on the way and slow clocks.
DEADLINE_MARGIN_US = 500 * MICROS_PER_MILLI

#: Clocks of two hosts run less than one part in this many apart.
CLOCK_DRIFT_DIVISOR = 100

#: Time after which no host uses an older configuration to hand out slots.
CONFIG_ROLLOUT_US = 12 * MICROS_PER_SECOND


def add_clock_margin(duration: int) -> int:
    """Return how long an owner has to wait for another host's ``duration``."""
    return duration + duration // CLOCK_DRIFT_DIVISOR + DEADLINE_MARGIN_US


def list_owned_targets(state: HostState, service: str, now: int) -> list[Target]:
    """Return the targets of ``service`` whose slots this host hands out."""
    owned: list[Target] = []
    for partition, targets in _get_layout(state).get(service, ()):
        if _holds_lease(state, partition, now):
            owned.extend(targets)
    return owned


def _get_layout(state: HostState) -> TargetLayout:
    """Return where the targets of this failure domain are held, made once a version.

    Targets that leave are left out.
    """
    book = state.slots
    if book.layout_inventory is not state.inventory:
        book.layout = _make_layout(state.inventory, state.failure_domain)
        book.layout_inventory = state.inventory
    return book.layout


def _make_layout(inventory: Inventory, failure_domain: str) -> TargetLayout:
    layout: dict[str, dict[Partition, list[Target]]] = {}
    for target in inventory.targets.values():
        if target.failure_domain == failure_domain and not target.draining:
            partition = find_partition(inventory, failure_domain, target.name)
            held = layout.setdefault(target.service, {})
            held.setdefault(partition, []).append(target)
    return {
        service: tuple((part, tuple(targets)) for part, targets in held.items())
        for service, held in layout.items()
    }


def _holds_lease(state: HostState, partition: Partition, now: int) -> bool:
    held = find_held(state, partition, now)
    if held is None:
        return False
    known = state.slots.takeovers.get(partition)
    if known is None or known.epoch != held.epoch:
        clean = known is None or (partition, held.epoch) in state.slots.clean_leases
        _record_takeover(state, partition, held.epoch, clean, now)
    return True


def is_blocked(state: HostState, target: Target, now: int) -> bool:
    """Return whether slots of a target may still be in use for an earlier holder."""
    book = state.slots
    partition = find_partition(state.inventory, target.failure_domain, target.name)
    deadline = state.inventory.services[target.service].deadline
    known = book.takeovers.get(partition)
    begin = None if known is None else known.blocked_since
    if begin is not None and now < begin + add_clock_margin(deadline):
        return True
    placed = book.target_partitions.setdefault(target.name, partition)
    if placed != partition:
        book.target_partitions[target.name] = partition
        book.partition_changes[target.name] = now
    moved = book.partition_changes.get(target.name)
    return moved is not None and now < moved + CONFIG_ROLLOUT_US + add_clock_margin(
        deadline
    )


def handle_lease_taken(state: HostState, event: LeaseTaken) -> None:
    """Note whether slots of earlier holders may still be in use."""
    if event.clean:
        state.slots.clean_leases.add((event.partition, event.epoch))
    _record_takeover(state, event.partition, event.epoch, event.clean, event.now)


def _record_takeover(
    state: HostState, partition: Partition, epoch: int, clean: bool, now: int
) -> None:
    begin = None if clean else now
    state.slots.takeovers[partition] = Takeover(epoch, begin)


EVENT_HANDLERS: dict[type[Event], object] = {LeaseTaken: handle_lease_taken}

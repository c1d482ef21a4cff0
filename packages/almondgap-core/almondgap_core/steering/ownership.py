"""Ownership: whose slots this host hands out, and which may still be in use."""

from __future__ import annotations

from almondgap_core.events import Event
from almondgap_core.limits.events import LeaseTaken
from almondgap_core.limits.leases import find_held
from almondgap_core.limits.partitions import Partition, find_partition
from almondgap_core.settings.inventory import Target
from almondgap_core.state import HostState
from almondgap_core.steering.slotbook import Takeover
from almondgap_core.units import MICROS_PER_MILLI, MICROS_PER_SECOND

#: What an owner waits beyond a deadline: delay on the way and slow clocks.
SETTLE_US = 500 * MICROS_PER_MILLI

#: Clocks of two hosts run less than one part in this many apart.
DRIFT_PARTS = 100

#: Time after which no host uses an older configuration to hand out slots.
ROLLOUT_US = 12 * MICROS_PER_SECOND


def stretch(duration: int) -> int:
    """Return how long an owner has to wait for another host's ``duration``."""
    return duration + duration // DRIFT_PARTS + SETTLE_US


def list_owned_targets(state: HostState, service: str, now: int) -> list[Target]:
    """Return the targets of ``service`` whose slots this host hands out."""
    owned = []
    for name in state.inventory.services[service].targets:
        target = state.inventory.targets[name]
        if not target.draining and is_owned(state, target, now):
            owned.append(target)
    return owned


def is_owned(state: HostState, target: Target, now: int) -> bool:
    """Return whether this host holds the partition of a target at ``now``."""
    partition = find_partition(state.inventory, target.failure_domain, target.name)
    held = find_held(state, partition, now)
    if held is None:
        return False
    known = state.slots.takeovers.get(partition)
    if known is None or known.epoch != held.epoch:
        clean = known is None or (partition, held.epoch) in state.slots.clean
        _note_takeover(state, partition, held.epoch, clean, now)
    return True


def is_blocked(state: HostState, target: Target, now: int) -> bool:
    """Return whether slots of a target may still be in use for an earlier holder."""
    book = state.slots
    partition = find_partition(state.inventory, target.failure_domain, target.name)
    deadline = state.inventory.services[target.service].deadline
    known = book.takeovers.get(partition)
    begin = None if known is None else known.blocked_from
    if begin is not None and now < begin + stretch(deadline):
        return True
    placed = book.placed.setdefault(target.name, partition)
    if placed != partition:
        book.placed[target.name] = partition
        book.moved[target.name] = now
    moved = book.moved.get(target.name)
    return moved is not None and now < moved + ROLLOUT_US + stretch(deadline)


def handle_lease_taken(state: HostState, event: LeaseTaken) -> None:
    """Note whether slots of earlier holders may still be in use."""
    if event.clean:
        state.slots.clean.add((event.partition, event.epoch))
    _note_takeover(state, event.partition, event.epoch, event.clean, event.now)


def _note_takeover(
    state: HostState, partition: Partition, epoch: int, clean: bool, now: int
) -> None:
    begin = None if clean else now
    state.slots.takeovers[partition] = Takeover(epoch, begin)


EVENT_HANDLERS: dict[type[Event], object] = {LeaseTaken: handle_lease_taken}

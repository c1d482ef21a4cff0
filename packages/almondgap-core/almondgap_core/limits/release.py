"""Release: which leases a host gives up, and when nobody uses them any more."""

from __future__ import annotations

from almondgap_core.limits.leases import CREDIT_HELD_US
from almondgap_core.limits.partitions import Partition, find_partition
from almondgap_core.limits.state import OwnLease
from almondgap_core.settings.inventory import MAX_DEADLINE_MS
from almondgap_core.state import HostState
from almondgap_core.units import millis, seconds

#: Time to another try after a failure or a conflict.
RETRY_US = millis(300)

#: Least time between two partitions that a host gives to others.
MOVE_INTERVAL_US = seconds(5)

#: Time that a stopping host gives the store to take its release.
RELEASE_LIMIT_US = seconds(5)

#: Time after which nothing of an earlier holder can still run.
LONGEST_DEADLINE_US = millis(MAX_DEADLINE_MS)


def is_handed_over(state: HostState, now: int) -> bool:
    """Return whether a stopping host may exit: it released all, or cannot."""
    leases = state.limits.leases
    if leases.stop_by is None:
        leases.stop_by = now + RELEASE_LIMIT_US
    return not leases.own or now >= leases.stop_by


def must_release(state: HostState, now: int) -> bool:
    """Return whether a stopping host should send its release now."""
    leases = state.limits.leases
    ready = _may_release(state) and bool(leases.own)
    return ready and now >= leases.sent + RETRY_US


def _may_release(state: HostState) -> bool:
    return state.lifecycle.may_release_leases and not state.is_busy


def is_clean(lease: OwnLease, now: int) -> bool:
    """Return whether nothing of an earlier holder can still run."""
    return lease.clean or now - lease.taken > LONGEST_DEADLINE_US


def list_releasable(state: HostState, rows, placed, now: int):
    """Return the held partitions whose rows can be released now."""
    leases = state.limits.leases
    for partition in _pick_leaving(state, placed, now):
        leases.own[partition].leaving = now
    return [
        (partition, lease)
        for partition, lease in leases.own.items()
        if lease.leaving is not None
        and partition in rows
        and not _is_in_use(state, partition, lease, now)
    ]


def _is_in_use(state: HostState, partition, lease: OwnLease, now: int) -> bool:
    """Return whether others may still use what this host lent or granted."""
    if now < lease.leaving + CREDIT_HELD_US:
        return True
    for name, lent in state.limits.lent.items():
        if now < lent.ends and partition == find_partition(
            state.inventory, state.failure_domain, name
        ):
            return True
    return False


def _pick_leaving(state: HostState, placed, now: int) -> list[Partition]:
    """Return the partitions to stop lending: all on a stop, else one at a time."""
    leases = state.limits.leases
    staying = [p for p, lease in leases.own.items() if lease.leaving is None]
    if state.stopping:
        return staying if _may_release(state) else []
    if now - leases.moved < MOVE_INTERVAL_US:
        return []
    for partition in staying:
        if placed.get(partition, state.host) != state.host:
            leases.moved = now
            return [partition]
    return []

"""Release: which leases a host gives up, and when their rows can be released.

A stopping host releases all of its leases; a running one hands over one partition at a
time that is assigned to another host. A row is released only when the loans and tokens
given out under the lease have ended.
"""

from __future__ import annotations

from almondgap_core.limits.leases import RESERVATION_TTL_US
from almondgap_core.limits.partitions import Partition, find_partition
from almondgap_core.limits.state import OwnLease
from almondgap_core.settings.inventory import MAX_DEADLINE_MS
from almondgap_core.state import HostState
from almondgap_core.units import millis, seconds

#: Time to the next transaction after a failure or a conflict.
RETRY_INTERVAL_US = millis(300)

#: Shortest time between two hand-overs by a running host.
MIN_MOVE_INTERVAL_US = seconds(5)

#: Time that a stopping host waits for its releases to be stored.
RELEASE_TIMEOUT_US = seconds(5)

#: Time after which no request admitted by an earlier holder can still run.
MAX_DEADLINE_US = millis(MAX_DEADLINE_MS)


def is_release_finished(state: HostState, now: int) -> bool:
    """Return whether a stopping host has released its leases or has to give up."""
    leases = state.limits.leases
    if leases.release_deadline is None:
        leases.release_deadline = now + RELEASE_TIMEOUT_US
    return not leases.own or now >= leases.release_deadline


def must_release(state: HostState, now: int) -> bool:
    """Return whether a stopping host should send its releases now."""
    leases = state.limits.leases
    ready = _may_release(state) and bool(leases.own)
    return ready and now >= leases.sent + RETRY_INTERVAL_US


def _may_release(state: HostState) -> bool:
    return state.lifecycle.may_release_leases and not state.is_busy


def is_clean(lease: OwnLease, now: int) -> bool:
    """Return whether no request admitted by an earlier holder can still run."""
    return lease.clean or now - lease.taken > MAX_DEADLINE_US


def list_releasable(state: HostState, rows, assigned, now: int):
    """Return the held partitions whose rows can be released now."""
    leases = state.limits.leases
    for partition in _choose_releases(state, assigned, now):
        leases.own[partition].releasing_since = now
    return [
        (partition, lease)
        for partition, lease in leases.own.items()
        if lease.releasing_since is not None
        and partition in rows
        and not _is_in_use(state, partition, lease, now)
    ]


def _is_in_use(state: HostState, partition, lease: OwnLease, now: int) -> bool:
    """Return whether other hosts may still use loans or tokens of the lease."""
    if now < lease.releasing_since + RESERVATION_TTL_US:
        return True
    for name, lent in state.limits.lent.items():
        if now < lent.ends and partition == find_partition(
            state.inventory, state.failure_domain, name
        ):
            return True
    return False


def _choose_releases(state: HostState, assigned, now: int) -> list[Partition]:
    """Return the partitions to begin releasing: all on a stop, else one at a time."""
    leases = state.limits.leases
    staying = [p for p, lease in leases.own.items() if lease.releasing_since is None]
    if state.stopping:
        return staying if _may_release(state) else []
    if now - leases.last_move < MIN_MOVE_INTERVAL_US:
        return []
    for partition in staying:
        if assigned.get(partition, state.host) != state.host:
            leases.last_move = now
            return [partition]
    return []

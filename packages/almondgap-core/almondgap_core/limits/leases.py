"""Partition leases: which host may use what a partition holds."""

from __future__ import annotations

from attrs import frozen

from almondgap_core.limits.partitions import Partition
from almondgap_core.state import HostState
from almondgap_core.units import millis, seconds

#: Validity of a lease, from when its renewal was sent.
LEASE_DURATION_US = seconds(9)

#: What a taker waits beyond the validity; covers clocks that run 1 % apart and more.
CLOCK_DRIFT_US = seconds(0.5)

#: Gap between two ticks after which a host trusts no lease before its next renewal.
MAX_TICK_GAP_US = seconds(2)


#: Time for which tokens from another host can be spent, from the asking.
CREDIT_TTL_US = millis(400)

#: Time for which the granting host counts them as unspent, from the granting.
RESERVATION_TTL_US = millis(420)


@frozen
class HeldLease:
    """A partition that this host holds now.

    :ivar epoch: fencing number; greater for every later holder.
    """

    partition: Partition
    epoch: int


def find_held(state: HostState, partition: Partition, now: int) -> HeldLease | None:
    """Return this host's lease on a partition, or None if it holds none at ``now``."""
    leases = state.limits.leases
    lease = leases.own.get(partition)
    if lease is None or now >= lease.valid_until:
        return None
    if leases.last_tick is not None and now - leases.last_tick > MAX_TICK_GAP_US:
        return None
    return HeldLease(partition, lease.epoch)


def find_lendable(state: HostState, partition: Partition, now: int) -> HeldLease | None:
    """Return a lease like :func:`find_held`, unless the host is to release it.

    Shares of rates stop being used and lent first, so that loans can run out while the
    holder still answers for slots and operations.
    """
    own = state.limits.leases.own.get(partition)
    if own is None or own.releasing_since is not None:
        return None
    return find_held(state, partition, now)


def find_holder(state: HostState, partition: Partition) -> str | None:
    """Return the host that holds a partition as far as is known here.

    Rows tell of this host's failure domain, notices of the others. The answer says
    where to ask; only the holder itself can tell that it holds.
    """
    if partition.failure_domain == state.failure_domain:
        observed = state.limits.leases.observed.get(partition)
        if observed is None or observed.row is None or observed.row.released:
            return None
        return observed.row.holder
    named = state.limits.leases.announced_holders.get(partition)
    return None if named is None else named.host

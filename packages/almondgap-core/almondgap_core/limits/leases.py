"""Partition leases: whether this host, or which other one, holds a partition.

A lease is valid for a fixed time from when its renewal was sent. Every use of a share,
slot or operation book checks it against the local clock, so a paused or cut-off host
stops by itself.
"""

from __future__ import annotations

from attrs import frozen

from almondgap_core.limits.partitions import Partition
from almondgap_core.state import HostState
from almondgap_core.units import millis, seconds

#: Validity of a lease, from when its renewal was sent.
LEASE_DURATION_US = seconds(9)

#: Time that a take-over waits beyond the validity. Covers clock rates that differ by
#: more than 1 %.
CLOCK_DRIFT_US = seconds(0.5)

#: Gap between two ticks after which a host treats its leases as invalid until their
#: next renewal.
MAX_TICK_GAP_US = seconds(2)


#: Time for which tokens granted by another host can be spent, from the request.
CREDIT_TTL_US = millis(400)

#: Time for which the granting host counts them as unspent, from the grant. Longer than
#: ``CREDIT_TTL_US``.
RESERVATION_TTL_US = millis(420)


@frozen
class HeldLease:
    """A valid lease of this host.

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
    """Return a lease like :func:`find_held`, or None if its release has begun.

    A release first stops the use and lending of shares, so that loans can expire while
    the holder still serves slots and operations.
    """
    own = state.limits.leases.own.get(partition)
    if own is None or own.releasing_since is not None:
        return None
    return find_held(state, partition, now)


def find_holder(state: HostState, partition: Partition) -> str | None:
    """Return the host that is thought to hold a partition, or None if unknown.

    The answer comes from lease rows for this host's failure domain and from notices for
    the others. It is only a hint for routing: the holder checks its own lease.
    """
    if partition.failure_domain == state.failure_domain:
        observed = state.limits.leases.observed.get(partition)
        if observed is None or observed.row is None or observed.row.released:
            return None
        return observed.row.holder
    announced = state.limits.leases.announced_holders.get(partition)
    return None if announced is None else announced.host

"""Partition leases: which host may use what a partition holds."""

from __future__ import annotations

from attrs import frozen

from almondgap_core.limits.division import rank
from almondgap_core.limits.partitions import Partition
from almondgap_core.state import HostState


@frozen
class HeldLease:
    """A partition that this host holds now.

    :ivar epoch: fencing number; greater for every later holder.
    """

    partition: Partition
    epoch: int


def find_held(state: HostState, partition: Partition, now: int) -> HeldLease | None:
    """Return this host's lease on a partition, or None if it holds none at ``now``."""
    if find_holder(state, partition) != state.host:
        return None
    return HeldLease(partition, state.incarnation)


def find_holder(state: HostState, partition: Partition) -> str | None:
    """Return the host that holds a partition as far as is known here."""
    hosts = [
        entry.name
        for entry in state.members.listed.values()
        if entry.failure_domain == partition.failure_domain
    ]
    return rank(hosts, str(partition))[0] if hosts else None

"""Fake leases: a test assigns partitions to hosts and decides who has a stale view."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from unittest import mock

from attrs import Factory, define, frozen

from almondgap_core.limits.leases import HeldLease
from almondgap_core.limits.partitions import Partition
from almondgap_core.operations import (
    books,
    handover,
    holder,
    prefixes,
    requester,
    status,
)
from almondgap_core.state import HostState

#: Modules whose ``leases`` is replaced by the fake; all others use the real leases.
PATCHED_MODULES = (requester, books, handover, holder, status, prefixes)


@frozen
class Tenure:
    """The period in which one host holds a partition, identified by its epoch."""

    host: str
    epoch: int


@define
class FakeLeases:
    """Assigns the holder of each partition.

    :ivar tenures: current tenure of each partition that has a holder.
    :ivar stale_tenures: tenures that their hosts regard as valid even after another
        host holds the partition.
    :ivar last_epoch: epoch of the latest assignment.
    """

    tenures: dict[Partition, Tenure] = Factory(dict)
    stale_tenures: set[tuple[Partition, Tenure]] = Factory(set)
    last_epoch: int = 0

    def give(self, partition: Partition, host: str | None) -> None:
        """Assign a partition to a host at a new epoch, or to no host if None."""
        self.last_epoch += 1
        if host is None:
            self.tenures.pop(partition, None)
        else:
            self.tenures[partition] = Tenure(host, self.last_epoch)

    def keep_stale_tenure(self, partition: Partition) -> None:
        """Make the current holder regard its tenure as valid indefinitely."""
        self.stale_tenures.add((partition, self.tenures[partition]))

    def drop_stale_tenures(self, host: str) -> None:
        """Remove the stale tenures of a host, because its process has ended."""
        self.stale_tenures = {(p, t) for p, t in self.stale_tenures if t.host != host}

    def list_held(self, host: str) -> list[Partition]:
        """Return the partitions that a host holds."""
        return [p for p, tenure in self.tenures.items() if tenure.host == host]

    def find_held(self, state: HostState, partition: Partition, now: int):
        """Replace :func:`almondgap_core.limits.leases.find_held`."""
        for place, tenure in self.stale_tenures:
            if place == partition and tenure.host == state.host:
                return HeldLease(partition, tenure.epoch)
        tenure = self.tenures.get(partition)
        if tenure is None or tenure.host != state.host:
            return None
        return HeldLease(partition, tenure.epoch)

    def find_holder(self, state: HostState, partition: Partition) -> str | None:
        """Replace :func:`almondgap_core.limits.leases.find_holder`."""
        tenure = self.tenures.get(partition)
        return tenure.host if tenure else None

    @contextmanager
    def in_force(self) -> Iterator[None]:
        """Patch the operation modules to use this object in place of the leases."""
        with ExitStack() as stack:
            for module in PATCHED_MODULES:
                stack.enter_context(mock.patch.object(module, "leases", self))
            yield

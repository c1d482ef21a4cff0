"""Leases by decree: a test says who holds which partition, and who is mistaken."""

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

#: Modules that ask who holds a partition; all others ask the real leases.
PATCHED_MODULES = (requester, books, handover, holder, status, prefixes)


@frozen
class Tenure:
    """One host's time as the holder of a partition."""

    host: str
    epoch: int


@define
class FakeLeases:
    """Who holds each partition.

    :ivar stale_tenures: tenures that hosts still believe in although they are over.
    """

    tenures: dict[Partition, Tenure] = Factory(dict)
    stale_tenures: set[tuple[Partition, Tenure]] = Factory(set)
    last_epoch: int = 0

    def give(self, partition: Partition, host: str | None) -> None:
        """Let a host hold a partition at a new epoch, or nobody."""
        self.last_epoch += 1
        if host is None:
            self.tenures.pop(partition, None)
        else:
            self.tenures[partition] = Tenure(host, self.last_epoch)

    def keep_stale_tenure(self, partition: Partition) -> None:
        """Let the present holder believe in its tenure for ever."""
        self.stale_tenures.add((partition, self.tenures[partition]))

    def drop_stale_tenures(self, host: str) -> None:
        """Let a host believe nothing any more: it is gone."""
        self.stale_tenures = {(p, t) for p, t in self.stale_tenures if t.host != host}

    def list_held(self, host: str) -> list[Partition]:
        """Return the partitions that a host holds."""
        return [p for p, tenure in self.tenures.items() if tenure.host == host]

    def find_held(self, state: HostState, partition: Partition, now: int):
        """Stand for :func:`almondgap_core.limits.leases.find_held`."""
        for place, tenure in self.stale_tenures:
            if place == partition and tenure.host == state.host:
                return HeldLease(partition, tenure.epoch)
        tenure = self.tenures.get(partition)
        if tenure is None or tenure.host != state.host:
            return None
        return HeldLease(partition, tenure.epoch)

    def find_holder(self, state: HostState, partition: Partition) -> str | None:
        """Stand for :func:`almondgap_core.limits.leases.find_holder`."""
        tenure = self.tenures.get(partition)
        return tenure.host if tenure else None

    @contextmanager
    def in_force(self) -> Iterator[None]:
        """Let operations ask this object instead of the real leases."""
        with ExitStack() as stack:
            for module in PATCHED_MODULES:
                stack.enter_context(mock.patch.object(module, "leases", self))
            yield

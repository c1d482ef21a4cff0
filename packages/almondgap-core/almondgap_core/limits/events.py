"""Internal events on changes of leases, handled by all modules in the same step."""

from __future__ import annotations

from attrs import frozen

from almondgap_core.events import Event
from almondgap_core.limits.partitions import Partition


@frozen
class LeaseTaken(Event):
    """Internal: this host became the holder of a partition.

    :ivar epoch: fencing number; greater than that of every earlier holder.
    :ivar clean: whether no request admitted by an earlier holder can still run: there
        was none, or the last one released the partition with no request in flight.
    """

    partition: Partition
    epoch: int
    clean: bool


@frozen
class LeaseLost(Event):
    """Internal: this host is no longer the holder and must drop its state for it.

    A lease that expired and was renewed under the same epoch is not lost: no other
    host held the partition in between.
    """

    partition: Partition
    epoch: int

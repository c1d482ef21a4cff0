"""Internal events of leases; other folders act on them in the same step."""

from __future__ import annotations

from attrs import frozen

from almondgap_core.events import Event
from almondgap_core.limits.partitions import Partition


@frozen
class LeaseTaken(Event):
    """Internal: this host became the holder of a partition.

    :ivar epoch: fencing number; greater than that of every earlier holder.
    :ivar clean: whether nothing of earlier holders can still run: there was none, or
        the last one stopped by plan with no request open.
    """

    partition: Partition
    epoch: int
    clean: bool


@frozen
class LeaseLost(Event):
    """Internal: this host is the holder no longer and must forget what it held.

    A lease that only lapsed and is renewed under the same epoch is not lost: nobody
    else held the partition in between.
    """

    partition: Partition
    epoch: int

"""What a host keeps for limits."""

from __future__ import annotations

from attrs import Factory, define

from almondgap_core.limits.bucket import Bucket
from almondgap_core.limits.partitions import Partition
from almondgap_core.limits.rows import LeaseRow, Witness


@define
class WatchedRow:
    """A lease row as it was last read.

    :ivar row: None if there is no row.
    :ivar version: number of writes to the row.
    :ivar seen: when this version was first seen here, in microseconds.
    """

    row: LeaseRow | None
    version: int
    seen: int


@define
class OwnLease:
    """A partition that is this host's as far as it knows.

    :ivar clean: whether nothing of earlier holders could run when it was taken.
    :ivar taken: when this host learned that it holds it, in microseconds.
    :ivar valid_until: end of validity; 0 until a renewal is confirmed.
    :ivar witnesses: every witness that a row may name which the store may hold.
    :ivar announced: whether others in this host were told that it is held.
    """

    epoch: int
    clean: bool
    taken: int
    witnesses: frozenset[Witness] = frozenset()
    valid_until: int = 0
    announced: bool = False


@define
class PendingRenewal:
    """The transaction that is under way.

    :ivar sent: when it was sent, in microseconds; validity counts from here.
    :ivar rows: rows that it writes.
    :ivar reads: partitions that it reads, in order.
    """

    ticket: str
    sent: int
    rows: dict[Partition, LeaseRow]
    reads: tuple[Partition, ...]


@define
class LeasesState:
    """Lease rows of this host's failure domain and what this host holds of them.

    :ivar started: time of the first tick, None before it.
    :ivar last_tick: time of the last tick, None before the first.
    :ivar must_read: whether rows have to be read before the next write.
    :ivar settled: whether this host had its first chance to take partitions.
    :ivar sent: when the last transaction was sent, in microseconds.
    :ivar stop_by: when a stopping host gives up releasing, None before it tries.
    :ivar moved: when this host last gave a partition to another, in microseconds.
    :ivar changed: whether this host took or lost a partition since its last notice.
    :ivar named: holders of other failure domains' partitions: epoch and host.
    """

    watched: dict[Partition, WatchedRow] = Factory(dict)
    own: dict[Partition, OwnLease] = Factory(dict)
    pending: PendingRenewal | None = None
    number: int = 0
    sent: int = 0
    next_renewal: int = 0
    stop_by: int | None = None
    started: int | None = None
    last_tick: int | None = None
    must_read: bool = True
    settled: bool = False
    moved: int = 0
    named: dict[Partition, tuple[int, str]] = Factory(dict)
    next_notice: int = 0
    changed: bool = False


@define
class LimitsState:
    """Shares of limits at one host.

    :ivar buckets: this host's share of each client account's rate.
    """

    buckets: dict[str, Bucket] = Factory(dict)
    leases: LeasesState = Factory(LeasesState)

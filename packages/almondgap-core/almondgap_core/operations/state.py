"""State of operations on one host: its books, and its requests that need a permit."""

from __future__ import annotations

from attrs import Factory, define

from almondgap_core.limits.partitions import Partition
from almondgap_core.operations.key import OperationKey, OperationPrefix
from almondgap_core.operations.messages import OutcomeReport
from almondgap_core.operations.record import Book, OperationRecord


@define
class ActiveOperation:
    """A request of this host that awaits the holder's decision or has a permit.

    :ivar asker: identifier of the request, unique over all runs of this host.
    :ivar next_try: time of the next permit request, in microseconds.
    :ivar holder: host to ask next, as told by the last one; empty to look it up.
    :ivar permitted: whether the request has the permit.
    """

    key: OperationKey
    account: str
    digest: bytes
    asker: str
    deadline: int
    next_try: int = 0
    holder: str = ""
    permitted: bool = False


@define
class AbandonedOperation:
    """A request that ended before the holder's decision arrived.

    :ivar ended_at: time of its end, in microseconds.
    """

    key: OperationKey
    ended_at: int


@define
class PendingReport:
    """An outcome that the holder has not acknowledged yet.

    :ivar next_try: time of the next transmission, in microseconds.
    """

    key: OperationKey
    message: OutcomeReport
    next_try: int
    tries: int = 0


@define
class KnownPrefix:
    """A prefix that another host announced.

    :ivar heard_at: time of the announcement, in microseconds.
    """

    host: str
    prefix: OperationPrefix
    heard_at: int


@define
class Fetch:
    """Progress of fetching a book from another host.

    :ivar source: host that has sealed the book.
    :ivar recipient: value of ``Book.bound_to`` that names this host; ends with its
        epoch, or with ``keep`` if this host takes custody of the book.
    :ivar next_try: time at which the page is requested again, in microseconds.
    :ivar tries: requests since the last page arrived.
    :ivar entries: records received so far, with window and unique part.
    """

    source: str
    recipient: str
    next_try: int = 0
    tries: int = 0
    entries: list[tuple[int, str, OperationRecord]] = Factory(list)


@define
class Takeover:
    """Collection of a partition's earlier books after this host became its holder.

    :ivar epoch: lease epoch of this host.
    :ivar until: time at which it stops waiting for books, in microseconds.
    :ivar next_try: time at which other hosts are asked again, in microseconds.
    """

    epoch: int
    until: int
    next_try: int = 0
    tries: int = 0


@define
class OperationsState:
    """Operations that this host decides about or needs a permit for.

    :ivar books: books on this host by partition and epoch.
    :ivar transferred: number of moves of each book when it was sealed here; a copy with
        no more moves than that is outdated.
    :ivar active: requests that need or have a permit, by request identifier.
    :ivar abandoned: requests that ended before a decision arrived, by asker.
    :ivar reports: outcomes to be acknowledged, by asker.
    :ivar known_prefixes: latest announcement for each partition of another holder.
    :ivar takeovers: latest takeover of each partition.
    :ivar fetches: books that are being fetched, by partition and epoch.
    :ivar next_announcement: time of the next announcement of prefixes, in microseconds.
    :ivar next_sweep: time of the next removal of old records, in microseconds.
    :ivar next_custody: time of the next custody requests, in microseconds.
    :ivar answer_bytes: total size of stored answers, in bytes.
    :ivar records: number of records in all books.
    :ivar granted: permits granted since this host started.
    """

    books: dict[tuple[Partition, int], Book] = Factory(dict)
    transferred: dict[tuple[Partition, int], int] = Factory(dict)
    active: dict[str, ActiveOperation] = Factory(dict)
    abandoned: dict[str, AbandonedOperation] = Factory(dict)
    reports: dict[str, PendingReport] = Factory(dict)
    known_prefixes: dict[Partition, KnownPrefix] = Factory(dict)
    takeovers: dict[Partition, Takeover] = Factory(dict)
    fetches: dict[tuple[Partition, int], Fetch] = Factory(dict)
    next_announcement: int = 0
    next_sweep: int = 0
    next_custody: int = 0
    answer_bytes: int = 0
    records: int = 0
    granted: int = 0

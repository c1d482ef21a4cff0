"""What a host keeps of operations."""

from __future__ import annotations

from attrs import Factory, define

from almondgap_core.limits.partitions import Partition
from almondgap_core.operations.key import OperationKey, OperationPrefix
from almondgap_core.operations.messages import OutcomeReport
from almondgap_core.operations.record import Book, OperationRecord


@define
class ActiveOperation:
    """A request of this host that waits for the holder's decision, or has a permit.

    :ivar asker: number of the request, unique over all runs of this host.
    :ivar next_try: when to ask again, in microseconds.
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
    """A request that ended before the holder's decision came."""

    key: OperationKey
    ended_at: int


@define
class PendingReport:
    """An outcome that the holder has not confirmed yet."""

    key: OperationKey
    message: OutcomeReport
    next_try: int
    tries: int = 0


@define
class KnownPrefix:
    """A prefix that another host holds, and when it said so."""

    host: str
    prefix: OperationPrefix
    heard_at: int


@define
class Fetch:
    """A book that this host is fetching.

    :ivar source: host that sealed it.
    :ivar recipient: this host and its epoch, or that it keeps the book for another.
    :ivar entries: records of the pages that came, with window and unique part.
    """

    source: str
    recipient: str
    next_try: int = 0
    tries: int = 0
    entries: list[tuple[int, str, OperationRecord]] = Factory(list)


@define
class Takeover:
    """This host took a partition and asks around for its earlier books.

    :ivar until: when it stops waiting for books, in microseconds.
    """

    epoch: int
    until: int
    next_try: int = 0
    tries: int = 0


@define
class OperationsState:
    """Operations that this host answers for or asks about.

    :ivar books: by partition and epoch.
    :ivar transferred: books that were sealed here, with their moves up to then.
    :ivar active: by request identifier.
    :ivar abandoned: askers whose requests ended before a decision came.
    :ivar reports: by asker.
    :ivar answer_bytes: bytes of kept answers.
    :ivar records: number of records in all books.
    :ivar granted: permits given since this host started.
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

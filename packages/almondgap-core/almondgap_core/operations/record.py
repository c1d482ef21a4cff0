"""Records of operations, and the books that hold them."""

from __future__ import annotations

from enum import Enum

import msgpack
from attrs import Factory, define, frozen

from almondgap_core.exceptions import MessageError
from almondgap_core.limits.partitions import Partition
from almondgap_core.units import MICROS_PER_SECOND

#: Length of a minting window.
WINDOW_US = 60 * MICROS_PER_SECOND

#: Windows for which a key may be used and its record is kept.
RETENTION_WINDOWS = 10

#: Permits of one operation that may come back unused before no more are given.
MAX_RETURNED_PERMITS = 8


class Progress(Enum):
    """How far an operation has come, as its book knows."""

    FREE = "free"
    PERMITTED = "permitted"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


@frozen
class KeptAnswer:
    """A target's whole answer, short enough to keep.

    :ivar content_type: the answer's media type, empty if it named none.
    """

    status: int
    content_type: str
    body: bytes


@define
class OperationRecord:
    """What a book knows of one operation.

    :ivar digest: digest of method, service, path and body of the first request.
    :ivar asker: host and number of the request that has the permit.
    :ivar permits: permits given so far.
    :ivar doubtful_at: time on the holder's clock at which a permit that brought no
        outcome is given up, in microseconds.
    :ivar returned: requests that gave their permit back unused.
    :ivar status: status of the first answer, 0 before it.
    :ivar answer: the first answer, or None if it was too long or is not there.
    """

    account: str
    digest: bytes
    progress: Progress = Progress.FREE
    asker: str = ""
    permits: int = 0
    doubtful_at: int = 0
    returned: tuple[str, ...] = ()
    status: int = 0
    answer: KeptAnswer | None = None


@define
class Book:
    """All operations of one partition at one epoch; one host at a time writes it.

    :ivar opened: when window 0 began, on this host's clock, in microseconds.
    :ivar windows: records by window and unique part.
    :ivar forgotten: greatest window whose records were dropped, -1 if none.
    :ivar sealed: whether this host may write no more, because the book moves away.
    :ivar bound_to: the one run of a host that may fetch the sealed book.
    :ivar moves: how often the book moved to another host.
    """

    partition: Partition
    epoch: int
    opened: int
    windows: dict[int, dict[str, OperationRecord]] = Factory(dict)
    forgotten: int = -1
    sealed: bool = False
    bound_to: str = ""
    moves: int = 0

    def find_window(self, now: int) -> int:
        """Return the number of the window at ``now``."""
        return max((now - self.opened) // WINDOW_US, 0)

    def find(self, window: int, unique: str) -> OperationRecord | None:
        """Return a record."""
        return self.windows.get(window, {}).get(unique)

    def count(self) -> int:
        """Return the number of records."""
        return sum(len(records) for records in self.windows.values())

    def forget(self, now: int) -> int:
        """Drop records whose keys may no longer be used; return how many."""
        last = self.find_window(now) - RETENTION_WINDOWS - 1
        old = [window for window in self.windows if window <= last]
        dropped = 0
        for window in old:
            dropped += len(self.windows.pop(window))
            self.forgotten = max(self.forgotten, window)
        return dropped


def pack_records(entries: list[tuple[int, str, OperationRecord]], now: int) -> bytes:
    """Return the bytes of records; times travel as what is left of them."""
    return msgpack.packb([_pack(window, *entry, now) for window, *entry in entries])


def unpack_records(data: bytes, now: int) -> list[tuple[int, str, OperationRecord]]:
    """Return records with their window and unique part.

    :raises MessageError: the bytes hold no records.
    """
    try:
        return [_unpack(parts, now) for parts in msgpack.unpackb(data)]
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        raise MessageError(f"records: {exc}") from exc


def _pack(window: int, unique: str, record: OperationRecord, now: int) -> list:
    answer = record.answer
    kept = answer and [answer.status, answer.content_type, answer.body]
    return [
        window,
        unique,
        record.account,
        record.digest,
        record.progress.value,
        record.asker,
        record.permits,
        max(record.doubtful_at - now, 0),
        list(record.returned),
        record.status,
        kept,
    ]


def _unpack(parts: list, now: int) -> tuple[int, str, OperationRecord]:
    window, unique, account, digest, progress, asker, permits, *rest = parts
    left, returned, status, kept = rest
    record = OperationRecord(
        account,
        digest,
        Progress(progress),
        asker,
        permits,
        now + left,
        tuple(returned),
        status,
        KeptAnswer(*kept) if kept else None,
    )
    return window, unique, record

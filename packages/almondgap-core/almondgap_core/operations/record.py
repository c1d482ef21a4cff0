"""Records of operations, and the books that hold them.

A book holds the records of all operations whose keys were issued for one partition and
lease epoch. Records are grouped by the time window in which their key was issued and
are dropped a window at a time.
"""

from __future__ import annotations

from enum import Enum

import msgpack
from attrs import Factory, define, frozen

from almondgap_core.exceptions import MessageError
from almondgap_core.limits.partitions import Partition
from almondgap_core.units import MICROS_PER_SECOND

#: Length of the window in which keys are issued under the same prefix.
WINDOW_US = 60 * MICROS_PER_SECOND

#: Number of windows for which a key may be used and its record is kept.
RETENTION_WINDOWS = 10

#: Unused permits of one operation after which no further permit is granted.
MAX_RETURNED_PERMITS = 8


class Progress(Enum):
    """State of an operation according to its book."""

    FREE = "free"
    PERMITTED = "permitted"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


@frozen
class KeptAnswer:
    """A target's complete answer, stored in order to be replayed.

    :ivar content_type: media type of the answer, empty if it had none.
    """

    status: int
    content_type: str
    body: bytes


@define
class OperationRecord:
    """One operation in a book.

    :ivar digest: digest of method, service, path and body of the first request.
    :ivar account: client account of the first request.
    :ivar asker: host, incarnation and identifier of the request that has the permit.
    :ivar permits: permits granted so far.
    :ivar doubtful_at: time on the holder's clock from which a permit without a reported
        outcome counts as possibly run, in microseconds.
    :ivar returned: askers that returned their permit unused.
    :ivar status: HTTP status of the first answer, 0 if there is none yet.
    :ivar answer: the first answer, or None if it was too long or does not exist.
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
    """Records of all operations of one partition and epoch.

    Only one host at a time may write to a book. A book moves to another host by being
    sealed, fetched by the one recipient it is bound to, and deleted at its source.

    :ivar opened: start of window 0 on this host's clock, in microseconds.
    :ivar windows: records by window and by the unique part of the key.
    :ivar forgotten: latest window whose records were dropped, -1 if none.
    :ivar sealed: whether the book is read-only, because it moves to another host.
    :ivar bound_to: the one recipient that may fetch the sealed book, as host,
        incarnation and epoch or ``keep``.
    :ivar moves: number of times the book has moved to another host.
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
        """Return the record of an operation, or None if there is none."""
        return self.windows.get(window, {}).get(unique)

    def count(self) -> int:
        """Return the number of records."""
        return sum(len(records) for records in self.windows.values())

    def forget(self, now: int) -> int:
        """Drop the records of expired keys and return their number."""
        last = self.find_window(now) - RETENTION_WINDOWS - 1
        old = [window for window in self.windows if window <= last]
        dropped = 0
        for window in old:
            dropped += len(self.windows.pop(window))
            self.forgotten = max(self.forgotten, window)
        return dropped


def pack_records(entries: list[tuple[int, str, OperationRecord]], now: int) -> bytes:
    """Encode records; times are encoded relative to ``now``.

    The clocks of two hosts are unrelated, so absolute times would be meaningless to the
    recipient.
    """
    return msgpack.packb([_pack(window, *entry, now) for window, *entry in entries])


def unpack_records(data: bytes, now: int) -> list[tuple[int, str, OperationRecord]]:
    """Decode records, with their window and unique part.

    :raises MessageError: the data is malformed.
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

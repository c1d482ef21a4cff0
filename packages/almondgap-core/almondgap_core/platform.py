"""Data types of the platform's table service and object store."""

from __future__ import annotations

import hashlib
from enum import Enum

from attrs import frozen


@frozen
class RowKey:
    """Name of a row."""

    table: str
    key: str


@frozen
class Row:
    """A row as it was read.

    :ivar value: text of the row, or None if there is no such row.
    :ivar version: number of writes to the row so far, 0 if there was none.
    """

    table: str
    key: str
    value: str | None
    version: int


@frozen
class Check:
    """Condition of a transaction: the row is still at ``version``."""

    table: str
    key: str
    version: int


@frozen
class Write:
    """Write of a transaction; a value of None removes the row."""

    table: str
    key: str
    value: str | None


@frozen
class Transaction:
    """Checks, writes and reads that take effect together or not at all.

    Reads see the rows after the writes. If a check fails nothing is written, and the
    reads still return what stands there.
    """

    checks: tuple[Check, ...] = ()
    writes: tuple[Write, ...] = ()
    reads: tuple[RowKey, ...] = ()


class TransactionOutcome(Enum):
    """How a transaction ended, as far as this process knows."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@frozen
class TransactionResult:
    """Answer of the table service.

    :ivar rows: one row for each read, in order; empty without an answer.
    """

    outcome: TransactionOutcome
    rows: tuple[Row, ...] = ()


def compute_object_name(body: bytes) -> str:
    """Return the name under which the object store keeps ``body``."""
    return hashlib.sha256(body).hexdigest()

"""Data types of the platform's table service and object store."""

from __future__ import annotations

import hashlib
from enum import Enum

from attrs import frozen


@frozen
class RowKey:
    """Identifies a row."""

    table: str
    key: str


@frozen
class Row:
    """A row as it was read.

    :ivar value: text of the row, or None if the row does not exist.
    :ivar version: number of writes to the row so far, 0 if it was never written.
    """

    table: str
    key: str
    value: str | None
    version: int


@frozen
class Check:
    """Precondition of a transaction: the row is still at ``version``."""

    table: str
    key: str
    version: int


@frozen
class Write:
    """Write of a transaction; a value of None deletes the row."""

    table: str
    key: str
    value: str | None


@frozen
class Transaction:
    """Checks, writes and reads that are executed atomically.

    Reads see the rows after the writes. If a check fails, nothing is written, but the
    reads still return the current rows.
    """

    checks: tuple[Check, ...] = ()
    writes: tuple[Write, ...] = ()
    reads: tuple[RowKey, ...] = ()


class TransactionOutcome(Enum):
    """Result of a transaction, as far as this process knows.

    ``UNAVAILABLE`` means that nothing was written; after ``UNKNOWN`` the writes may or
    may not have taken effect.
    """

    COMMITTED = "committed"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@frozen
class TransactionResult:
    """Answer of the table service.

    :ivar rows: one row for each read, in order; empty if no answer arrived.
    """

    outcome: TransactionOutcome
    rows: tuple[Row, ...] = ()


def compute_object_name(body: bytes) -> str:
    """Return the name of ``body`` in the object store: its SHA-256 digest."""
    return hashlib.sha256(body).hexdigest()

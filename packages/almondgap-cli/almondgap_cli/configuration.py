"""Reading and changing the configuration that the platform keeps."""

from __future__ import annotations

import getpass
from datetime import UTC, datetime

from attrs import frozen

from almondgap_core.exceptions import (
    AlmondgapError,
    ConflictError,
    PlatformUnavailable,
)
from almondgap_core.platform import (
    Row,
    Transaction,
    TransactionOutcome,
)
from almondgap_core.settings.head import HEAD, Head, plan_head_change
from almondgap_daemon.platform import Platform

READ_BACK_ATTEMPTS = 5


@frozen
class CurrentHead:
    """The head and the version of its row.

    :ivar head: None before the first change.
    """

    head: Head | None
    row_version: int

    @classmethod
    def from_row(cls, row: Row) -> CurrentHead:
        """Return the head that a row holds."""
        head = None if row.value is None else Head.from_text(row.value)
        return cls(head, row.version)

    @property
    def version(self) -> int:
        """Configuration version, 0 before the first change."""
        return 0 if self.head is None else self.head.version


async def read_head(platform: Platform) -> CurrentHead:
    """Return the current head.

    :raises PlatformUnavailable: no answer.
    """
    result = await platform.transact(Transaction(reads=(HEAD,)))
    if result.outcome is not TransactionOutcome.COMMITTED:
        raise PlatformUnavailable("the platform gives no answer")
    return CurrentHead.from_row(result.rows[0])


async def move_head(
    platform: Platform, body: bytes, expected: int | None, note: str
) -> Head:
    """Make ``body`` the current configuration.

    :param expected: configuration version that the change is based on, or None for
        whichever is current.
    :raises ConflictError: another version is current; names who made it.
    """
    current = await read_head(platform)
    if expected is not None and current.version != expected:
        raise _make_conflict(current, expected)
    name = await platform.put(body)
    now = datetime.now(UTC).isoformat(timespec="seconds")
    head = Head(current.version + 1, name, getpass.getuser(), now, note)
    result = await platform.transact(plan_head_change(head, current.row_version))
    if result.outcome is TransactionOutcome.COMMITTED:
        return head
    if result.outcome is TransactionOutcome.CONFLICT:
        raise _make_conflict(CurrentHead.from_row(result.rows[0]), current.version)
    return await _read_back(platform, head, current)


async def _read_back(platform: Platform, head: Head, based_on: CurrentHead) -> Head:
    for _ in range(READ_BACK_ATTEMPTS):
        try:
            found = await read_head(platform)
        except PlatformUnavailable:
            continue
        if found.head == head:
            return head
        if found.row_version == based_on.row_version:
            raise PlatformUnavailable("the change did not take effect")
        raise _make_conflict(found, based_on.version)
    raise AlmondgapError(
        f"the answer was lost; run 'almondgap history' to see whether version "
        f"{head.version} took effect"
    )


def _make_conflict(current: CurrentHead, expected: int) -> ConflictError:
    if current.head is None:
        return ConflictError(f"expected version {expected}, but there is none")
    head = current.head
    return ConflictError(
        f"expected version {expected}, but {head.author} made version {head.version} "
        f"at {head.time} ({head.note or 'no note'})"
    )

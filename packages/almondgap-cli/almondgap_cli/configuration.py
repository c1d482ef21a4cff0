"""Reading and changing the configuration stored on the platform."""

from __future__ import annotations

import getpass
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path

from attrs import frozen

from almondgap_core.exceptions import (
    AlmondgapError,
    ConfigurationError,
    ConflictError,
    PlatformUnavailable,
    UserError,
)
from almondgap_core.platform import (
    Row,
    RowKey,
    Transaction,
    TransactionOutcome,
)
from almondgap_core.settings.head import (
    CONFIG_TABLE,
    HEAD,
    HISTORY_PREFIX,
    Head,
    make_history_key,
    plan_head_change,
)
from almondgap_core.settings.rollout import load_inventory
from almondgap_daemon.tables import Platform
from almondgap_daemon.tables.folder import FolderPlatform
from almondgap_daemon.tables.http import HttpPlatform

READ_BACK_ATTEMPTS = 5


def open_platform(location: str) -> Platform:
    """Return the platform at ``address:port``, or in the folder of that path.

    :raises UserError: the location has neither form.
    """
    if "/" in location or Path(location).is_dir():
        return FolderPlatform(Path(location))
    address, _, port = location.rpartition(":")
    if not address or not port.isdigit():
        raise UserError(
            f"platform {location!r}: expected ADDRESS:PORT or a folder's path"
        )
    return HttpPlatform(f"http://{location}")


@frozen
class CurrentHead:
    """The configuration head and the version of its row.

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
        raise PlatformUnavailable("the platform did not answer")
    return CurrentHead.from_row(result.rows[0])


async def advance_head(
    platform: Platform, body: bytes, expected: int | None, note: str
) -> Head:
    """Make ``body`` the current configuration.

    :param expected: configuration version that the change is based on, or None for
        whichever is current.
    :raises ConflictError: another version is current; the message names its author.
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
        if found.version > head.version and await _was_accepted(platform, head):
            return head
        if found.row_version == based_on.row_version:
            raise PlatformUnavailable("the change was not written")
        raise _make_conflict(found, based_on.version)
    raise AlmondgapError(
        f"the answer was lost; run 'almondgap history' to see whether version "
        f"{head.version} took effect"
    )


async def change_body(
    platform: Platform, edit: Callable[[str], str], note: str
) -> Head:
    """Apply ``edit`` to the current body and make the result current.

    :raises ConflictError: another operator changed it at the same time.
    :raises ConfigurationError: the edit cannot be applied, or its
        result is not a valid inventory.
    """
    current = await read_head(platform)
    if current.head is None:
        raise ConfigurationError("no configuration has been applied yet")
    text = (await platform.get(current.head.body)).decode()
    edited = edit(text)
    load_inventory(edited, "changed configuration")
    return await advance_head(platform, edited.encode(), current.version, note)


async def read_history(platform: Platform) -> list[Head]:
    """Return all committed changes, oldest first."""
    rows = await platform.scan(CONFIG_TABLE, HISTORY_PREFIX)
    return [Head.from_text(row.value) for row in rows]


async def read_body(platform: Platform, version: int) -> bytes:
    """Return the body of a version.

    :raises ConfigurationError: no such version.
    """
    head = await _read_change(platform, version)
    if head is None:
        raise ConfigurationError(f"there is no version {version}")
    return await platform.get(head.body)


async def _read_change(platform: Platform, version: int) -> Head | None:
    key = RowKey(CONFIG_TABLE, make_history_key(version))
    result = await platform.transact(Transaction(reads=(key,)))
    if result.outcome is not TransactionOutcome.COMMITTED:
        raise PlatformUnavailable(f"version {version} could not be read")
    value = result.rows[0].value
    return None if value is None else Head.from_text(value)


async def _was_accepted(platform: Platform, head: Head) -> bool:
    """Return whether a change took effect before another one replaced it."""
    try:
        return await _read_change(platform, head.version) == head
    except PlatformUnavailable:
        return False


def _make_conflict(current: CurrentHead, expected: int) -> ConflictError:
    if current.head is None:
        return ConflictError(
            f"expected version {expected}, but no configuration has been applied"
        )
    head = current.head
    return ConflictError(
        f"expected version {expected}, but {head.author} made version {head.version} "
        f"at {head.time} ({head.note or 'no note'})"
    )

"""Client of the platform's store: reads, long polls and writes of rows over HTTP."""

from __future__ import annotations

import base64
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

from attrs import define, field, frozen
from twisted.internet.defer import inlineCallbacks

from almondgap_core.exceptions import (
    MessageError,
    PlatformAnswerLost,
    PlatformError,
    PlatformUnavailable,
)
from almondgap_daemon.fields import check_count
from almondgap_daemon.http.connection import ClientConnection, Request
from almondgap_daemon.http.pool import ConnectionPool
from almondgap_daemon.http.response import NotConnected, Response
from almondgap_daemon.platform.records import StoreRow, decode_row

#: Time-out of a call, in seconds. A call takes milliseconds, and 0.25 s when the store
#: is slow; a host must learn within 3 s of the store's return what changed during an
#: outage.
CALL_TIMEOUT_S = 1.5

#: Rows per page, which is the store's upper limit.
MAX_ROWS_PER_PAGE = 500

#: Header with the number of the store's era, which rises when it is restored from a
#: copy: versions of different eras cannot be compared.
ERA = b"store-era"

#: Maximum number of digits of an era.
MAX_ERA_DIGITS = 15

#: Idle connections that are kept: one per watched table and one for other calls.
MAX_IDLE_CONNECTIONS = 3


class HistoryLost(PlatformError):
    """The store has discarded the changes since a version; a new snapshot is needed."""


@frozen
class RowBatch:
    """Rows read from the store.

    :ivar version: store version from which to continue with changes.
    :ivar era: era of the store to which the versions belong.
    """

    rows: tuple[StoreRow, ...]
    version: int
    era: int = 0


@define
class StoreClient:
    """Client of the platform's store, shared by all parts of a host.

    :ivar on_restored: called with the new era when the store was restored from a copy.
    :ivar calls: number of calls so far.
    :ivar era: newest era of the store seen, 0 if unknown.
    """

    reactor: object
    address: str
    on_restored: Callable[[int], None] = lambda era: None
    calls: int = 0
    era: int = 0
    _pool: ConnectionPool = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._pool = ConnectionPool(self.reactor)

    @inlineCallbacks
    def read_rows(self, table: str):
        """Return all rows of a table as a :class:`RowBatch`.

        :raises HistoryLost: the store was restored from a copy between two pages.
        :raises PlatformError: the call failed.
        """
        rows: list[StoreRow] = []
        version = first_era = None
        query = {"table": table, "part": "", "limit": MAX_ROWS_PER_PAGE}
        while True:
            data, era = yield self._get("/rows-get", query)
            first_era = era if first_era is None else first_era
            if era != first_era:
                raise HistoryLost(f"store went from era {first_era} to {era}")
            rows += decode_rows(data, table)
            # The version of the first page counts: rows of later pages may be newer,
            # and are then returned once more as changes.
            version = _decode_version(data) if version is None else version
            if not data.get("has_more") or not rows:
                return RowBatch(tuple(rows), version, era)
            query["from"] = rows[-1].key + "\0"

    @inlineCallbacks
    def wait_for_changes(
        self,
        table: str,
        after: int,
        era: int,
        wait_s: float = 0.0,
        timeout_s: float = CALL_TIMEOUT_S,
        reuse: bool = True,
    ):
        """Return the rows that changed after a version, as a :class:`RowBatch`.

        :param era: era of the store to which that version belongs.
        :param wait_s: time to wait for a change, in seconds; 0 returns at once.
        :param timeout_s: time-out beyond that, in seconds.
        :param reuse: whether the call may use a connection that was idle.
        :raises HistoryLost: the store has discarded these changes, counts its versions
            anew, or was restored from a copy.
        :raises PlatformError: the call failed.
        """
        query = {"table": table, "after": after, "wait_ms": round(wait_s * 1000)}
        if not reuse:
            self._pool.close()
        answer = yield self._get("/rows-feed", query, wait_s + timeout_s)
        data, answer_era = answer
        if answer_era != era:
            raise HistoryLost(f"store is in era {answer_era}, not {era}")
        version = _decode_version(data)
        if version < after:
            raise HistoryLost(f"store is at version {version}, before {after}")
        return RowBatch(tuple(decode_rows(data, table)), version, era)

    @inlineCallbacks
    def write_row(self, table: str, key: str, value: bytes):
        """Write a row unconditionally.

        :raises PlatformAnswerLost: the row may or may not have been written.
        :raises PlatformUnavailable: the row was not written.
        """
        row_key = {"table": table, "part": "", "key": key}
        row = {**row_key, "value": base64.b64encode(value).decode()}
        yield self._transact({"expect_rev": [], "writes": [row], "deletes": []})

    @inlineCallbacks
    def delete_row(self, table: str, key: str):
        """Delete a row; raises the errors of :meth:`write_row`."""
        row_key = {"table": table, "part": "", "key": key}
        yield self._transact({"expect_rev": [], "writes": [], "deletes": [row_key]})

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    @inlineCallbacks
    def _transact(self, data: dict[str, Any]):
        body = json.dumps(data).encode()
        response = yield self._call(b"POST", "/rows-tx", body, CALL_TIMEOUT_S)
        if response.status != 200:
            raise PlatformUnavailable(f"/rows-tx: status {response.status}")

    @inlineCallbacks
    def _get(self, path: str, query: dict[str, Any], timeout_s: float = CALL_TIMEOUT_S):
        target = f"{path}?{urlencode(query)}"
        response = yield self._call(b"GET", target, b"", timeout_s)
        if response.status == 410:
            raise HistoryLost(f"{path}: change history is no longer available")
        if response.status != 200:
            raise PlatformUnavailable(f"{path}: status {response.status}")
        return decode_answer(response.body), _parse_era(response)

    @inlineCallbacks
    def _call(self, method: bytes, target: str, body: bytes, timeout: float):
        self.calls += 1
        try:
            conn: ClientConnection = yield self._pool.acquire("store", self.address)
        except NotConnected as exc:
            raise PlatformUnavailable(str(exc)) from exc
        headers = [(b"Host", self.address.encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
            headers.append((b"Content-Length", str(len(body)).encode()))
        pending = conn.send(Request(method, target.encode(), headers, body))
        pending.addTimeout(timeout, self.reactor)
        try:
            response = yield pending
        except Exception as exc:
            conn.abort()
            # The fault may affect the idle connections to the store as well.
            self._pool.close()
            raise PlatformAnswerLost(f"{target}: {exc!r}") from exc
        era = _parse_era(response)
        if 0 < era < self.era:
            conn.abort()
            raise PlatformAnswerLost(f"{target}: late answer of era {era}")
        self._pool.release("store", conn, MAX_IDLE_CONNECTIONS)
        self._record_era(era)
        return response

    def _record_era(self, era: int) -> None:
        previous = self.era
        if era > previous:
            self.era = era
            if previous:
                self.on_restored(era)


def _parse_era(response: Response) -> int:
    """Return the store's era in an answer, 0 if there is none."""
    value = (response.get(ERA) or b"").strip()
    return int(value) if value.isdigit() and len(value) <= MAX_ERA_DIGITS else 0


def decode_answer(body: bytes) -> dict[str, Any]:
    """Return the fields of an answer.

    :raises PlatformAnswerLost: the body is not a JSON object.
    """
    try:
        data = json.loads(body)
    except (RecursionError, ValueError) as exc:
        raise PlatformAnswerLost(f"invalid JSON: {exc}") from exc
    if not isinstance(data, dict):
        raise PlatformAnswerLost("not a JSON object")
    return data


def decode_rows(data: dict[str, Any], table: str) -> list[StoreRow]:
    """Return the rows of a table in an answer; rows of other parts are left out.

    :raises PlatformAnswerLost: the answer belongs to another call, or is malformed.
    """
    try:
        rows = [decode_row(row) for row in data.get("rows", [])]
    except (MessageError, TypeError) as exc:
        raise PlatformAnswerLost(f"malformed rows: {exc}") from exc
    if any(row.table != table for row in rows):
        # A late copy of the answer to an earlier call.
        raise PlatformAnswerLost(f"rows of another table than {table}")
    return [row for row in rows if not row.part]


def _decode_version(data: dict[str, Any]) -> int:
    try:
        return check_count(data.get("ver"))
    except (TypeError, ValueError) as exc:
        raise PlatformAnswerLost(f"version: {exc}") from exc

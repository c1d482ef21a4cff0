"""Calls of the platform's store."""

from __future__ import annotations

import base64
import json
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
from almondgap_daemon.http.connection import ClientConnection, Request
from almondgap_daemon.http.pool import ConnectionPool
from almondgap_daemon.http.response import NotConnected, Response
from almondgap_daemon.platform.records import StoreRow, decode_row

#: Longest wait for an answer, in seconds: an answer takes milliseconds, and a quarter
#: of a second when the store is slow; a host must know within three seconds what
#: changed while the store was away.
CALL_TIMEOUT_S = 1.5

#: Time for which a call that waits for changes is held, in seconds. A connection that
#: falls silent is noticed by its keep-alive probes, so that it need not be short.
LONG_POLL_S = 20.0

#: Rows in one answer; the store gives no more.
MAX_ROWS_PER_PAGE = 500

#: Connections that are kept: one for each table that is followed, and one for calls.
MAX_IDLE_CONNECTIONS = 3


class HistoryLost(PlatformError):
    """The store no longer has the changes since a version; all is to be read again."""


@frozen
class RowBatch:
    """Rows as of one version of the store.

    :ivar version: version that the next changes come after.
    """

    rows: tuple[StoreRow, ...]
    version: int


@define
class StoreClient:
    """The one client of the platform's store.

    :ivar calls: calls that were made so far.
    """

    reactor: object
    address: str
    calls: int = 0
    _pool: ConnectionPool = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._pool = ConnectionPool(self.reactor)

    @inlineCallbacks
    def read_rows(self, table: str):
        """Return all rows of a table, as :class:`RowsRead`.

        :raises PlatformError: the store gave no answer.
        """
        rows: list[StoreRow] = []
        version = None
        query = {"table": table, "part": "", "limit": MAX_ROWS_PER_PAGE}
        while True:
            data = yield self._get("/rows-get", query)
            rows += _decode_rows(data)
            # Changes are followed from the first page on: rows of later pages may be
            # newer and come once more.
            version = _decode_version(data) if version is None else version
            if not data.get("has_more") or not rows:
                return RowBatch(tuple(rows), version)
            query["from"] = rows[-1].key + "\0"

    @inlineCallbacks
    def wait_for_changes(self, table: str, after: int, poll_s: float = LONG_POLL_S):
        """Return the rows changed after a version as soon as there are any.

        :param wait_s: longest time to wait for some, in seconds.
        :raises HistoryLost: the store no longer has these changes.
        :raises PlatformError: the store gave no answer.
        """
        query = {"table": table, "after": after, "wait_ms": round(poll_s * 1000)}
        data = yield self._get("/rows-feed", query, poll_s)
        return RowBatch(tuple(_decode_rows(data)), _decode_version(data))

    @inlineCallbacks
    def write_row(self, table: str, key: str, value: bytes):
        """Write a row whatever stands there.

        :raises PlatformAnswerLost: it may or may not have been written.
        :raises PlatformUnavailable: it was not written.
        """
        row_key = {"table": table, "part": "", "key": key}
        row = {**row_key, "value": base64.b64encode(value).decode()}
        yield self._transact({"expect_rev": [], "writes": [row], "deletes": []})

    @inlineCallbacks
    def delete_row(self, table: str, key: str):
        """Remove a row; errors are those of :meth:`write_row`."""
        row_key = {"table": table, "part": "", "key": key}
        yield self._transact({"expect_rev": [], "writes": [], "deletes": [row_key]})

    def close(self) -> None:
        """Close kept connections."""
        self._pool.close()

    @inlineCallbacks
    def _transact(self, data: dict[str, Any]):
        body = json.dumps(data).encode()
        response = yield self._call(b"POST", "/rows-tx", body, CALL_TIMEOUT_S)
        if response.status != 200:
            raise PlatformUnavailable(f"/rows-tx: status {response.status}")

    @inlineCallbacks
    def _get(self, path: str, query: dict[str, Any], poll_s: float = 0.0):
        target = f"{path}?{urlencode(query)}"
        response = yield self._call(b"GET", target, b"", poll_s + CALL_TIMEOUT_S)
        if response.status == 410:
            raise HistoryLost(f"{path}: history is gone")
        if response.status != 200:
            raise PlatformUnavailable(f"{path}: status {response.status}")
        return _decode_body(response)

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
            # What broke this connection may have silenced the kept ones as well.
            self._pool.close()
            raise PlatformAnswerLost(f"{target}: {exc!r}") from exc
        self._pool.release("store", conn, MAX_IDLE_CONNECTIONS)
        return response


def _decode_body(response: Response) -> dict[str, Any]:
    try:
        data = json.loads(response.body)
    except ValueError as exc:
        raise PlatformAnswerLost(f"no JSON: {exc}") from exc
    if not isinstance(data, dict):
        raise PlatformAnswerLost("no JSON object")
    return data


def _decode_rows(data: dict[str, Any]) -> list[StoreRow]:
    try:
        return [decode_row(row) for row in data.get("rows", [])]
    except (MessageError, TypeError) as exc:
        raise PlatformAnswerLost(f"no rows: {exc}") from exc


def _decode_version(data: dict[str, Any]) -> int:
    version = data.get("ver")
    if not isinstance(version, int):
        raise PlatformAnswerLost("no version")
    return version

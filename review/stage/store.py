"""A stand-in for the platform's store: tables of rows, transactions and feeds.

It keeps all rows of the empty part, which is the only one that the hosts use.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from web import Request, Response

#: Tables that the system may not write.
FOREIGN_TABLES = ("op", "servers")

#: Time that a call takes, in seconds.
CALL_S = 0.004

MAX_ROWS = 500
MAX_WAIT_MS = 30_000

#: Returns after how many seconds a transaction is done without an answer, or None to
#: do and answer it at once.
Delay = Callable[[dict[str, Any]], float | None]


@dataclass
class Store:
    """Rows by table and key, with their versions and all changes.

    :ivar delay: decides which transactions of the system lose their answer.
    :ivar silent: whether calls that arrive get no answer; those that wait since before
        go on waiting.
    :ivar log: called with a line about each transaction of the system.
    """

    log: Callable[[str], None]
    delay: Delay = lambda transaction: None
    silent: bool = False
    rows: dict[tuple[str, str], tuple[str, int]] = field(default_factory=dict)
    changes: list[tuple[int, str, str, str | None]] = field(default_factory=list)
    version: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def write(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator or an upstream does; None removes it."""
        text = None if value is None else encode_value(value)
        self._apply([(table, key, text)])

    def list_keys(self, table: str) -> list[str]:
        """Return the keys of a table in order."""
        return sorted(key for name, key in self.rows if name == table)

    async def handle(self, request: Request) -> Response:
        """Answer a call of the system."""
        if self.silent:
            return Response(0, {})
        await asyncio.sleep(CALL_S)
        if request.path == "/rows-tx":
            return await self._transact(json.loads(request.body))
        if request.path == "/rows-get":
            return self._get(request.query)
        if request.path == "/rows-feed":
            return await self._feed(request.query)
        return Response(404, {})

    async def _transact(self, transaction: dict[str, Any]) -> Response:
        writes, deletes = transaction["writes"], transaction["deletes"]
        if any(row["table"] in FOREIGN_TABLES for row in writes + deletes):
            return Response(403, {})
        wanted = {_name(row): row["ver"] for row in transaction["expect_rev"]}
        entries = [(*_name(row), row["value"]) for row in writes]
        entries += [(*_name(row), None) for row in deletes]
        kind = ", ".join(
            f"{'delete' if value is None else 'write'} {table}/{key}"
            for table, key, value in entries
        )
        delay_s = self.delay(transaction)
        if delay_s is not None:
            self.log(f"store: {kind}: not answered, done in {delay_s} s")
            asyncio.get_running_loop().call_later(
                delay_s, self._apply_late, wanted, entries, kind
            )
            return Response(0, {})
        if not self._holds(wanted):
            rows = [self._dump(*name) for name in wanted if name in self.rows]
            return answer(412, {"rows": rows, **self._stamp()})
        self._apply(entries)
        self.log(f"store: {kind}: done and answered")
        return answer(200, self._stamp())

    def _apply_late(self, wanted, entries, kind: str) -> None:
        if self._holds(wanted):
            self._apply(entries)
            self.log(f"store: {kind}: done late")
        else:
            self.log(f"store: {kind}: not done, its condition no longer holds")

    def _holds(self, wanted: dict[tuple[str, str], int]) -> bool:
        return all(
            self.rows.get(name, ("", 0))[1] == version
            for name, version in wanted.items()
        )

    def _apply(self, entries: list[tuple[str, str, str | None]]) -> None:
        self.version += 1
        for table, key, value in entries:
            if value is not None:
                self.rows[table, key] = (value, self.version)
            elif self.rows.pop((table, key), None) is None:
                continue
            self.changes.append((self.version, table, key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def _get(self, query: dict[str, str]) -> Response:
        table, start = query["table"], query.get("from", "")
        keys = [key for key in self.list_keys(table) if key >= start]
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        rows = [self._dump(table, key) for key in keys[:limit]]
        more = len(keys) > limit
        return answer(200, {"rows": rows, "has_more": more, **self._stamp()})

    async def _feed(self, query: dict[str, str]) -> Response:
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + min(int(query.get("wait_ms", 0)), MAX_WAIT_MS) / 1000
        while True:
            newest = {
                key: (version, value)
                for version, name, key, value in self.changes
                if name == table and version > after
            }
            left_s = end - time.monotonic()
            if newest or left_s <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue
        rows = [
            {"table": table, "part": "", "key": key, "ver": version}
            | ({"tombstone": True} if value is None else {"value": value})
            for key, (version, value) in sorted(
                newest.items(), key=lambda item: item[1][0]
            )
        ]
        return answer(200, {"rows": rows, **self._stamp()})

    def _dump(self, table: str, key: str) -> dict[str, Any]:
        value, version = self.rows[table, key]
        return {"table": table, "part": "", "key": key, "value": value, "ver": version}

    def _stamp(self) -> dict[str, Any]:
        return {"ver": self.version, "now_s": round(time.monotonic(), 3)}


def answer(status: int, body: dict[str, Any]) -> Response:
    """Return a response with a JSON body."""
    return Response(
        status, {"Content-Type": "application/json"}, json.dumps(body).encode()
    )


def encode_value(value: Any) -> str:
    """Return a row's value as the store keeps it."""
    return base64.b64encode(json.dumps(value).encode()).decode()


def _name(row: dict[str, Any]) -> tuple[str, str]:
    return row["table"], row["key"]

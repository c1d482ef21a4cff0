"""A stand-in for the users' store: rows, transactions and feeds, with faults.

It speaks what the platform's published protocol says, and shares no code with the
product's client. Operators and targets write by ``/control/rows``.
"""

from __future__ import annotations

import argparse
import base64
import copy
import json
from typing import Any

from attrs import Factory, define, field
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.web.server import NOT_DONE_YET

from almondgap_testkit.standins.serving import answer_json, listen, run

MAX_ROWS = 500
MAX_WAIT_MS = 30_000

#: Tables into which the system may not write.
FOREIGN_TABLES = ("op", "servers")


@define
class StoreRows:
    """Rows with versions from a single counter, and the history of changes.

    :ivar rows: table, part and key to value and version.
    :ivar history: changed rows in order; a value of None is a removal.
    :ivar oldest: version after which the history is complete.
    :ivar era: rises when the rows are restored from a copy.
    """

    rows: dict[tuple[str, str, str], tuple[str, int]] = Factory(dict)
    history: list[tuple[int, tuple[str, str, str], str | None]] = Factory(list)
    version: int = 0
    oldest: int = 0
    era: int = 1

    def apply(self, node: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Run a transaction; return status and body."""
        expected = [(_name(row), row["ver"]) for row in node.get("expect_rev", [])]
        if any(self._find_version(name) != version for name, version in expected):
            rows = [self._dump(name) for name, _ in expected if name in self.rows]
            return 412, {"rows": rows, **self._stamp()}
        self.version += 1
        for row in node.get("writes", []):
            self.rows[_name(row)] = (row["value"], self.version)
            self.history.append((self.version, _name(row), row["value"]))
        for row in node.get("deletes", []):
            if self.rows.pop(_name(row), None) is not None:
                self.history.append((self.version, _name(row), None))
        return 200, self._stamp()

    def read(self, table: str, part: str, start: str, limit: int) -> dict[str, Any]:
        """Return rows of a table from a key on, in order."""
        names = sorted(
            name
            for name in self.rows
            if name[0] == table and name[1] == part and name[2] >= start
        )
        rows = [self._dump(name) for name in names[:limit]]
        return {"rows": rows, "has_more": len(names) > limit, **self._stamp()}

    def list_changes(self, table: str, after: int) -> list[dict[str, Any]] | None:
        """Return the rows changed after a version, None if that is forgotten."""
        if not self.oldest <= after <= self.version:
            return None
        rows = []
        for version, name, value in self.history:
            if version > after and name[0] == table:
                row = {"table": name[0], "part": name[1], "key": name[2]}
                content = {"tombstone": True} if value is None else {"value": value}
                rows.append({**row, **content, "ver": version})
        return rows

    def forget(self) -> None:
        """Drop the history."""
        self.history.clear()
        self.oldest = self.version

    def restore(self, saved: StoreRows) -> None:
        """Go back to a copy, in a new era."""
        self.rows = dict(saved.rows)
        self.history = list(saved.history)
        self.version, self.oldest = saved.version, saved.oldest
        self.era += 1

    def _dump(self, name: tuple[str, str, str]) -> dict[str, Any]:
        value, version = self.rows[name]
        table, part, key = name
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": value,
            "ver": version,
        }

    def _find_version(self, name: tuple[str, str, str]) -> int:
        return self.rows[name][1] if name in self.rows else 0

    def _stamp(self) -> dict[str, Any]:
        return {"ver": self.version, "now_s": round(reactor.seconds(), 3)}


@define
class StoreFaults:
    """What goes wrong at the store.

    :ivar down: calls are answered 503.
    :ivar silent: calls are not answered.
    :ivar delay_ms: added to every answer.
    """

    down: bool = False
    silent: bool = False
    delay_ms: int = 0


@define
class StoreStandIn:
    """The store and its calls.

    :ivar calls: calls of the system so far.
    :ivar saved: the newest copy.
    """

    rows: StoreRows = Factory(StoreRows)
    faults: StoreFaults = Factory(StoreFaults)
    calls: int = 0
    saved: StoreRows = Factory(StoreRows)
    app: Klein = field(init=False)
    _waiting: list[Deferred] = Factory(list)

    def __attrs_post_init__(self) -> None:
        self.app = Klein()
        self.app.route("/rows-tx", methods=["POST"])(self.transact)
        self.app.route("/rows-get")(self.get)
        self.app.route("/rows-feed")(self.feed)
        self.app.route("/control/rows", methods=["POST"])(self.write)
        self.app.route("/control/faults", methods=["POST"])(self.set_faults)
        self.app.route("/control/forget", methods=["POST"])(self.forget)
        self.app.route("/control/save", methods=["POST"])(self.save)
        self.app.route("/control/restore", methods=["POST"])(self.restore)
        self.app.route("/control/state")(self.show_state)

    async def transact(self, request):
        """Run a transaction of the system."""
        node = json.loads(request.content.read())
        rows = node.get("writes", []) + node.get("deletes", [])
        if any(row["table"] in FOREIGN_TABLES for row in rows):
            request.setResponseCode(403)
            return b""
        if not await self._begin(request):
            return b""
        status, body = self.rows.apply(node)
        self._wake()
        request.setResponseCode(status)
        return answer_json(request, body)

    async def get(self, request):
        """Return rows."""
        if not await self._begin(request):
            return b""
        limit = min(int(_argument(request, "limit", str(MAX_ROWS))), MAX_ROWS)
        part, start = _argument(request, "part"), _argument(request, "from")
        table = _argument(request, "table")
        return answer_json(request, self.rows.read(table, part, start, limit))

    async def feed(self, request):
        """Return changes as soon as there are any."""
        table, after = _argument(request, "table"), int(_argument(request, "after"))
        wait_s = min(int(_argument(request, "wait_ms", "0")), MAX_WAIT_MS) / 1000
        end = reactor.seconds() + wait_s
        era = self.rows.era
        while True:
            if self.rows.era != era:
                request.transport.abortConnection()
                return NOT_DONE_YET
            if not await self._begin(request):
                return b""
            rows = self.rows.list_changes(table, after)
            request.setHeader("Store-Era", str(self.rows.era))
            if rows is None:
                request.setResponseCode(410)
                return b""
            left = end - reactor.seconds()
            if rows or left <= 0:
                return answer_json(request, {"rows": rows, **self.rows._stamp()})
            changed: Deferred = Deferred()
            changed.addTimeout(left, reactor, lambda *_: None)
            self._waiting.append(changed)
            await changed

    def write(self, request):
        """Write rows as an operator or a target; a value of None removes one."""
        self._write(json.loads(request.content.read()))
        self._wake()
        return answer_json(request, {"ver": self.rows.version})

    def _write(self, rows: list[dict[str, Any]]) -> None:
        writes, deletes = [], []
        for row in rows:
            name = {"table": row["table"], "part": "", "key": row["key"]}
            if row["value"] is None:
                deletes.append(name)
            else:
                value = row["value"]
                raw = value if isinstance(value, str) else json.dumps(value)
                encoded = base64.b64encode(raw.encode()).decode()
                writes.append({**name, "value": encoded})
        self.rows.apply({"writes": writes, "deletes": deletes})

    def set_faults(self, request):
        """Set what goes wrong."""
        self.faults = StoreFaults(**json.loads(request.content.read()))
        self._wake()
        return b""

    def forget(self, request):
        """Drop the history."""
        self.rows.forget()
        self._wake()
        return b""

    def save(self, request):
        """Make a copy of the rows."""
        self.saved = copy.deepcopy(self.rows)
        return b""

    def restore(self, request):
        """Go back to the copy, then write rows, each in a transaction of its own.

        Calls that wait for changes are cut off.
        """
        self.rows.restore(self.saved)
        for row in json.loads(request.content.read()):
            self._write([row])
        self._wake()
        return b""

    def show_state(self, request):
        """Return what the store holds, for checks."""
        names = sorted("/".join(name) for name in self.rows.rows)
        return answer_json(request, {"calls": self.calls, "rows": names})

    async def _begin(self, request) -> bool:
        """Count a call; return whether it is to be served."""
        self.calls += 1
        request.setHeader("Store-Era", str(self.rows.era))
        if self.faults.silent:
            await Deferred()
        if self.faults.delay_ms:
            await deferLater(reactor, self.faults.delay_ms / 1000)
        if self.faults.down:
            request.setResponseCode(503)
            return False
        return True

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, []
        for changed in waiting:
            if not changed.called:
                changed.callback(None)


def _name(row: dict[str, Any]) -> tuple[str, str, str]:
    return row["table"], row["part"], row["key"]


def _argument(request, name: str, default: str = "") -> str:
    return request.args.get(name.encode(), [default.encode()])[0].decode()


def main() -> None:
    """Run a store."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    args = parser.parse_args()
    listen(StoreStandIn().app.resource(), args.address, args.port)
    run()


if __name__ == "__main__":
    main()

"""A stand-in for the platform: tables, objects and a list of hosts, with faults."""

from __future__ import annotations

import argparse
import json

from attrs import Factory, asdict, define
from klein import Klein
from twisted.internet import reactor
from twisted.internet.task import deferLater

from almondgap_core.exceptions import PlatformError
from almondgap_core.platform import compute_object_name
from almondgap_daemon.tables.codec import dump_result, load_transaction
from almondgap_daemon.tables.memory import MemoryTables
from almondgap_testkit.standins.serving import answer_json, listen, run

#: Rows read and transactions that write in a second; source: the users' brief.
READS_PER_S = 2_000
WRITES_PER_S = 300


@define
class Faults:
    """What goes wrong at the platform.

    :ivar down: every call is refused.
    :ivar delay_ms: added to every answer.
    :ivar lose_answers: writes take effect, but the next so many answers are lost.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0


@define
class Usage:
    """Calls that the platform served and refused.

    :ivar refused: calls beyond what the platform serves in a second.
    """

    reads: int = 0
    writes: int = 0
    refused: int = 0


@define
class RateWindow:
    """What the platform serves in each second, as two windows that begin together."""

    reads_per_s: int = READS_PER_S
    writes_per_s: int = WRITES_PER_S
    began: float = 0.0
    reads: int = 0
    writes: int = 0

    def admit(self, now: float, reads: int, writes: int) -> bool:
        """Count a call; return whether the platform serves it.

        :param now: time in seconds.
        """
        if now - self.began >= 1.0:
            self.began, self.reads, self.writes = now, 0, 0
        if self.reads + reads > self.reads_per_s:
            return False
        if self.writes + writes > self.writes_per_s:
            return False
        self.reads += reads
        self.writes += writes
        return True


@define
class PlatformStandIn:
    """The platform's state and its routes."""

    tables: MemoryTables = Factory(MemoryTables)
    objects: dict[str, bytes] = Factory(dict)
    hosts: list[dict] = Factory(list)
    faults: Faults = Factory(Faults)
    usage: Usage = Factory(Usage)
    rate_window: RateWindow = Factory(RateWindow)

    app = Klein()

    @app.route("/v1/tables/transact", methods=["POST"])
    async def transact(self, request):
        """Run a transaction."""
        if await self._fail(request):
            return b""
        try:
            transaction = load_transaction(request.content.read())
        except PlatformError as exc:
            request.setResponseCode(400)
            return str(exc).encode()
        reads, writes = len(transaction.reads), int(bool(transaction.writes))
        if not self._admit(request, reads, writes):
            return b""
        result = self.tables.apply(transaction)
        if transaction.writes and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.transport.abortConnection()
            return b""
        return dump_result(result)

    @app.route("/v1/tables/<table>")
    async def scan(self, request, table: str):
        """Return the rows whose key starts with a prefix."""
        if await self._fail(request):
            return b""
        if not self._admit(request, 1, 0):
            return b""
        prefix = request.args.get(b"prefix", [b""])[0].decode()
        rows = self.tables.find(table, prefix)
        return answer_json(request, [asdict(row) for row in rows])

    @app.route("/v1/objects", methods=["POST"])
    async def put(self, request):
        """Store a body."""
        if await self._fail(request):
            return b""
        if not self._admit(request, 0, 1):
            return b""
        body = request.content.read()
        name = compute_object_name(body)
        self.objects[name] = body
        return name.encode()

    @app.route("/v1/objects/<name>")
    async def get(self, request, name: str):
        """Return a body."""
        if await self._fail(request):
            return b""
        if not self._admit(request, 1, 0):
            return b""
        if name not in self.objects:
            request.setResponseCode(404)
            return b"no such object"
        return self.objects[name]

    @app.route("/v1/hosts")
    async def list_hosts(self, request):
        """Return the list of hosts."""
        if await self._fail(request):
            return b""
        return answer_json(request, self.hosts)

    @app.route("/control/hosts", methods=["POST"])
    def set_hosts(self, request):
        """Replace the list of hosts."""
        self.hosts = json.loads(request.content.read())
        return b"{}"

    @app.route("/control/faults", methods=["POST"])
    def set_faults(self, request):
        """Replace the faults."""
        self.faults = Faults(**json.loads(request.content.read()))
        return b"{}"

    @app.route("/control/usage")
    def show_usage(self, request):
        """Tell how many calls were served."""
        return answer_json(request, asdict(self.usage))

    def _admit(self, request, reads: int, writes: int) -> bool:
        if not self.rate_window.admit(reactor.seconds(), reads, writes):
            self.usage.refused += 1
            request.setResponseCode(503)
            return False
        self.usage.reads += reads
        self.usage.writes += writes
        return True

    async def _fail(self, request) -> bool:
        if self.faults.delay_ms:
            await deferLater(reactor, self.faults.delay_ms / 1_000)
        if self.faults.down:
            request.setResponseCode(503)
        return self.faults.down


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--port", type=int, required=True)
    args = parser.parse_args()
    listen(PlatformStandIn().app.resource(), args.address, args.port)
    run()


if __name__ == "__main__":
    main()

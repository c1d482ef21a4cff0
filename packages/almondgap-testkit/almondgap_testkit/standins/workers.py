"""Stand-in targets that speak what the platform's published protocol says.

Each listens on a port of its own, announces itself in the store, keeps count of what it
ran, and misbehaves as ``/control/mode`` tells.
"""

from __future__ import annotations

import argparse
import json
import time
from urllib.request import Request, urlopen

from attrs import Factory, define, field
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import CancelledError
from twisted.internet.task import deferLater
from twisted.web.server import NOT_DONE_YET

from almondgap_testkit.standins.serving import answer_json, listen, run

ID = "X-Almondgap-Request-Attempt-Id"
SEAL = "X-Almondgap-Response-Seal"

#: Time for which a ``pausing`` target wants no requests, in seconds.
PAUSE_S = 2.0


@define
class Worker:
    """One target.

    :ivar mode: ``well``, ``failing``, ``shedding``, ``cutting`` (ends the connection
        after it ran the request), ``unsealed``, ``limited`` (takes one request a
        second from all hosts together), ``leaving`` (says so in its answers, and starts
        anew after it) or ``pausing`` (turns requests away for two seconds each time).
    :ivar runs: how often each request ran, by its id.
    :ivar log: when each ran, by a clock that all processes share, in seconds.
    :ivar rejected: when each request was turned away by a ``pausing`` target.
    :ivar seen: headers of the newest request.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int = 4
    work_s: float = 0.02
    mode: str = "well"
    born: int = field(factory=lambda: time.time_ns() // 1_000_000)
    running: int = 0
    runs: dict[str, int] = Factory(dict)
    log: list[tuple[float, str]] = Factory(list)
    rejected: list[tuple[float, str]] = Factory(list)
    seen: dict[str, str] = Factory(dict)
    app: Klein = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.app = Klein()
        self.app.route("/health")(self.answer_health)
        self.app.route("/control/mode", methods=["POST"])(self.set_mode)
        self.app.route("/control/runs")(self.show_runs)
        self.app.route("/<path:path>", methods=["GET", "POST", "PUT", "DELETE"])(
            self.serve
        )

    def announce(self, state: str = "ready") -> dict:
        """Return the row by which the target announces itself."""
        value = {
            "address": self.address,
            "born": self.born,
            "info": {
                "backend": self.service,
                "version": "v1",
                "zone": self.failure_domain,
                "slots": self.slots,
            },
            "status": {"state": state, "seq": 1, "cold_left_s": 0},
        }
        return {"table": "servers", "key": self.name, "value": value}

    def answer_health(self, request):
        """Answer a health check."""
        request.setHeader("X-Almondgap-Instance-Id", self.name)
        request.setResponseCode(200 if self.mode != "failing" else 503)
        return b""

    def set_mode(self, request):
        """Set how the target behaves."""
        was_leaving = self.mode == "leaving"
        self.mode = json.loads(request.content.read())
        if was_leaving:
            self.born = time.time_ns() // 1_000_000
        return b""

    def show_runs(self, request):
        """Return what ran, the headers of the newest request, and the own row."""
        record = {"runs": self.runs, "log": self.log, "seen": self.seen}
        record["rejected"] = self.rejected
        return answer_json(request, {**record, "row": self.announce()})

    async def serve(self, request, path: str):
        """Run a request."""
        expected = request.getHeader("X-Almondgap-Expect-Instance")
        request_id = request.getHeader(ID) or ""
        request.setHeader(ID, request_id)
        if expected not in (None, self.name):
            request.setResponseCode(421)
            return b""
        if self.mode == "pausing":
            self.rejected.append((time.monotonic(), request_id))
            request.setHeader("Retry-After", str(PAUSE_S))
        if self.mode in ("shedding", "pausing"):
            request.setResponseCode(503)
            request.setHeader("X-Almondgap-Not-Executed", "1")
            return b""
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.log.append((time.monotonic(), request_id))
        self.seen = {
            name.decode().lower(): values[0].decode()
            for name, values in request.requestHeaders.getAllRawHeaders()
        }
        self.running += 1
        gone = request.notifyFinish()
        gone.addErrback(lambda failure: failure.trap(Exception))
        try:
            await deferLater(reactor, self.work_s)
        except CancelledError:
            return NOT_DONE_YET
        finally:
            self.running -= 1
        if self.mode == "cutting":
            request.transport.abortConnection()
            return NOT_DONE_YET
        if self.mode != "unsealed":
            request.setHeader(SEAL, f"{self.name}.{request_id}")
        if self.mode == "leaving":
            request.setHeader("Server-Leaving", "1")
        if self.mode == "limited":
            request.setHeader("Server-Limit", "1.0")
        request.setHeader("X-Almondgap-Server-Load", f"{self.running},0,{self.slots}")
        request.setResponseCode(500 if self.mode == "failing" else 200)
        body = request.content.read()
        return f"{self.name} {request.method.decode()} /{path} ".encode() + body


def main() -> None:
    """Run targets, and announce them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True, help="port of the first")
    parser.add_argument("--announced-port", type=int, help="of the first, if another")
    parser.add_argument("--count", type=int, default=2)
    parser.add_argument("--service", default="shop")
    parser.add_argument("--failure-domains", default="a1", help="in turn")
    parser.add_argument("--store", required=True, help="address with the port")
    parser.add_argument("--work", type=float, default=0.02, help="seconds")
    args = parser.parse_args()
    domains = args.failure_domains.split(",")
    rows = []
    for number in range(args.count):
        port = args.port + number
        announced = (args.announced_port or args.port) + number
        worker = Worker(
            f"{args.service}-{number}",
            args.service,
            f"{args.address}:{announced}",
            domains[number % len(domains)],
            work_s=args.work,
        )
        listen(worker.app.resource(), args.address, port)
        rows.append(worker.announce())
    url = f"http://{args.store}/control/rows"
    urlopen(Request(url, json.dumps(rows).encode(), method="POST")).close()
    run()


if __name__ == "__main__":
    main()

"""Stand-ins for targets: slots, shedding, slow and cut-short answers, a record of runs.

One process plays all targets of an inventory. A control listener changes how they act
and tells what ran.
"""

from __future__ import annotations

import argparse
import json
import time
from pathlib import Path

from attrs import asdict
from klein import Klein
from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from almondgap_core.settings.inventory import Target
from almondgap_core.settings.rollout import load_inventory
from almondgap_daemon.headers import REQUEST_HEADER
from almondgap_testkit.standins.behaviour import Behaviour, Run, TargetRecord
from almondgap_testkit.standins.serving import answer_json, listen, run

KEY_MARK = "agk_"
HEALTH_PATH = b"/health"


class TargetStandIn(Resource):
    """One target."""

    isLeaf = True

    def __init__(self, target: Target) -> None:
        super().__init__()
        self.target = target
        self.behaviour = Behaviour()
        self.record = TargetRecord()

    def render(self, request):
        """Run a request, shed it, or tell about the target's health."""
        if request.path == HEALTH_PATH:
            return self._answer_health(request)
        record = self.record
        self._note_headers(request)
        request_id = request.getHeader(REQUEST_HEADER)
        if request_id is not None:
            request.setHeader(REQUEST_HEADER, request_id)
        if self.behaviour.shed or record.running >= self.target.slots:
            record.shed += 1
            request.setResponseCode(503)
            return b"shed\n"
        delay = self._choose_delay_ms() / 1_000
        record.begin(self._make_run(request), self.behaviour.draining)
        gone = request.notifyFinish()
        call = reactor.callLater(delay, self._answer, request)
        gone.addErrback(lambda _: self._cancel(call))
        return NOT_DONE_YET

    def _note_headers(self, request) -> None:
        if KEY_MARK in str(request.requestHeaders):
            self.record.keys_seen += 1
        self.record.headers = {
            name.decode(errors="replace"): values[0].decode(errors="replace")
            for name, values in request.requestHeaders.getAllRawHeaders()
        }

    def _make_run(self, request) -> Run:
        return Run(
            time.monotonic(),
            self.target.name,
            request.getHeader("Almondgap-Account") or "",
            request.method.decode(errors="replace"),
            request.getHeader("X-Label") or "",
        )

    def _choose_delay_ms(self) -> int:
        cold = self.record.started < self.behaviour.cold_requests
        extra = self.behaviour.cold_delay_ms if cold else 0
        return self.behaviour.delay_ms + extra

    def _answer_health(self, request) -> bytes:
        claims, running = self.behaviour, self.record.running
        healthy = not (claims.shed or claims.draining)
        if claims.claimed_healthy is not None:
            healthy = claims.claimed_healthy
        load = running if claims.claimed_load is None else claims.claimed_load
        return answer_json(request, {"healthy": healthy, "running": load})

    def _answer(self, request) -> None:
        self.record.running -= 1
        self.record.served += 1
        body = {"target": self.target.name, "path": request.uri.decode()}
        data = json.dumps(body).encode() + b"\n"
        data = data.ljust(self.behaviour.body_bytes, b" ")
        request.setResponseCode(self.behaviour.status)
        if not self.behaviour.chunked:
            request.setHeader("Content-Length", str(len(data)))
        if self.behaviour.cut_short:
            request.write(data[: len(data) // 2])
            reactor.callLater(0.01, request.transport.loseConnection)
            return
        request.write(data)
        request.finish()

    def _cancel(self, call) -> None:
        if call.active():
            call.cancel()
            self.record.running -= 1
            self.record.cancelled += 1


class Control:
    """Routes that change targets and tell what ran."""

    app = Klein()

    def __init__(self, targets: dict[str, TargetStandIn]) -> None:
        self.targets = targets

    @app.route("/behaviour/<name>", methods=["POST"])
    def set_behaviour(self, request, name: str):
        """Change how a target acts."""
        self.targets[name].behaviour = Behaviour(**json.loads(request.content.read()))
        return b"{}"

    @app.route("/records")
    def show_records(self, request):
        """Tell what happened at every target."""
        records = {name: t.record.summarize() for name, t in self.targets.items()}
        return answer_json(request, records)

    @app.route("/runs")
    def show_runs(self, request):
        """List every request that began to run, with its time."""
        runs = [asdict(run) for t in self.targets.values() for run in t.record.runs]
        return answer_json(request, {"now": time.monotonic(), "runs": runs})


def main() -> None:
    """Run the stand-ins for all targets of an inventory."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("inventory", type=Path)
    parser.add_argument("--address", required=True)
    parser.add_argument("--port", type=int, required=True)
    args = parser.parse_args()
    inventory = load_inventory(args.inventory.read_text(), str(args.inventory))
    targets = {name: TargetStandIn(t) for name, t in inventory.targets.items()}
    for stand_in in targets.values():
        listen(stand_in, stand_in.target.address, stand_in.target.port)
    listen(Control(targets).app.resource(), args.address, args.port)
    run()


if __name__ == "__main__":
    main()

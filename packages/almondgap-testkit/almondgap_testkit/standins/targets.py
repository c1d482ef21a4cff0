"""Stand-ins for targets: slots, shedding, slow and cut-short answers, a record of runs.

One process plays all targets of an inventory. A control listener changes how they act
and tells what ran.
"""

from __future__ import annotations

import argparse
import json
from pathlib import Path

from attrs import Factory, asdict, define
from klein import Klein
from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from almondgap_core.settings.inventory import Target
from almondgap_core.settings.rollout import load_inventory
from almondgap_testkit.standins.serving import answer_json, listen, run

KEY_WORD = "agk_"


@define
class Behaviour:
    """How a target acts.

    :ivar delay_ms: time that a request takes.
    :ivar shed: whether every request is shed with status 503, not run.
    :ivar cut_short: whether answers break off in the middle.
    :ivar status: status of answers.
    """

    delay_ms: int = 5
    shed: bool = False
    cut_short: bool = False
    status: int = 200


@define
class TargetRecord:
    """What happened at a target.

    :ivar ran: how often each operation ran, by the caller's label.
    :ivar keys_seen: requests in which a client account's key arrived.
    :ivar cancelled: requests whose connection closed while they ran.
    """

    running: int = 0
    most_running: int = 0
    served: int = 0
    shed: int = 0
    cancelled: int = 0
    keys_seen: int = 0
    ran: dict[str, int] = Factory(dict)


class TargetStandIn(Resource):
    """One target."""

    isLeaf = True

    def __init__(self, target: Target) -> None:
        super().__init__()
        self.target = target
        self.behaviour = Behaviour()
        self.record = TargetRecord()

    def render(self, request):
        """Run a request, or shed it."""
        record = self.record
        if KEY_WORD in str(request.requestHeaders):
            record.keys_seen += 1
        if self.behaviour.shed or record.running >= self.target.slots:
            record.shed += 1
            request.setResponseCode(503)
            return b"shed\n"
        record.running += 1
        record.most_running = max(record.most_running, record.running)
        label = request.getHeader("X-Label")
        if label:
            record.ran[label] = record.ran.get(label, 0) + 1
        gone = request.notifyFinish()
        delay = self.behaviour.delay_ms / 1_000
        call = reactor.callLater(delay, self._answer, request)
        gone.addErrback(lambda _: self._cancel(call))
        return NOT_DONE_YET

    def _answer(self, request) -> None:
        self.record.running -= 1
        self.record.served += 1
        body = {"target": self.target.name, "path": request.uri.decode()}
        data = json.dumps(body).encode() + b"\n"
        request.setResponseCode(self.behaviour.status)
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
        records = {name: asdict(t.record) for name, t in self.targets.items()}
        return answer_json(request, records)


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

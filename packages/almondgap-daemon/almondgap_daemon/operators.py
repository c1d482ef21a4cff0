"""HTTP routes for operators: status, readiness, headroom, histograms, drain."""

from __future__ import annotations

import json
from collections.abc import Callable

from attrs import asdict
from klein import Klein

from almondgap_core.operations.key import OperationKey
from almondgap_core.operations.status import find_status
from almondgap_core.steering.headroom import describe_headroom


class OperatorApi:
    """Klein routes for operators.

    :ivar request_stop: called to begin the planned stop.
    """

    app = Klein()

    def __init__(self, runtime, request_stop: Callable[[], None]) -> None:
        self.runtime = runtime
        self.request_stop = request_stop

    @app.route("/v1/status")
    def status(self, request):
        """Return the version in force and the activity of this host."""
        state = self.runtime.state
        body = {
            "host": state.host,
            "failure_domain": state.failure_domain,
            "incarnation": state.incarnation,
            "version": state.settings.version,
            "stopping": state.stopping,
            "running": len(state.requests.open),
            "peers": {
                name: peer.version for name, peer in sorted(state.members.peers.items())
            },
            "control_bytes_sent": self.runtime.links.sent_bytes,
        }
        return _answer(request, body)

    @app.route("/v1/ready")
    def ready(self, request):
        """Return whether this host is ready to serve requests."""
        state = self.runtime.state
        ready = state.inventory is not None and not state.stopping
        ready = ready and state.limits.leases.startup_complete
        if not ready:
            request.setResponseCode(503)
        return _answer(request, {"ready": ready})

    @app.route("/v1/headroom")
    def headroom(self, request):
        """Return the remaining capacity of each region, as known to this host."""
        state = self.runtime.state
        regions = []
        if state.inventory is not None:
            regions = describe_headroom(state, self.runtime.now())
        return _answer(request, {"regions": [asdict(entry) for entry in regions]})

    @app.route("/v1/histograms")
    def histograms(self, request):
        """Return latency percentiles and counts per client account."""
        counts = [
            {"account": account, "status": status, "verdict": verdict, "count": count}
            for (account, status, verdict), count in sorted(
                self.runtime.metrics.counts.items()
            )
        ]
        metrics = self.runtime.metrics
        body = {
            "latency": metrics.summarize(),
            "counts": counts,
            "encoded": metrics.encode(),
        }
        return _answer(request, body)

    @app.route("/v1/operation")
    def operation(self, request):
        """Return this host's knowledge of an operation."""
        text = request.args.get(b"key", [b""])[0].decode(errors="replace")
        key = OperationKey.from_text(text)
        if key is None:
            request.setResponseCode(404)
            return _answer(request, {"error": "no look-up has given this key's prefix"})
        found = find_status(self.runtime.state, key, self.runtime.now())
        return _answer(request, {**asdict(found), "verdict": found.verdict.value})

    @app.route("/v1/drain", methods=["POST"])
    def drain(self, request):
        """Begin the planned stop."""
        self.request_stop()
        return _answer(request, {"stopping": True})


def _answer(request, body: dict) -> bytes:
    request.setHeader("Content-Type", "application/json")
    return json.dumps(body).encode() + b"\n"

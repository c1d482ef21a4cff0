"""Look-ups over HTTP in one process, against bare routes and resources.

Requests go through the whole server with a transport in memory, so that the rates are
those of the process's own work; a rate with sockets is lower for all four alike.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from types import SimpleNamespace

from klein import Klein
from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import Site

from almondgap_core.steering.clientmap_builder import build_client_map
from almondgap_daemon.callers import CallerApi
from almondgap_testkit.bench.figure import Figure
from almondgap_testkit.builders import build_document, build_inventory, build_state
from almondgap_testkit.client_blocks import SITES, iterate_lines, name_site
from almondgap_testkit.memory_transport import connect

REQUESTS = 3_000
ROUNDS = 5
BLOCKS = 20_000
REQUEST = b"GET /v1/lookup?service=shop HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n"

KLEIN_RATIO_BOUND = 0.8
RESOURCE_RATIO_BOUND = 0.7

#: Look-ups that a daemon has to answer at full size, on average.
FULL_RATE_PER_S = 950

#: Part of a core that they may take.
CORE_SHARE_BOUND = 0.1


class BareRoute:
    """A klein route that answers with fixed bytes."""

    app = Klein()

    def __init__(self, body: bytes) -> None:
        """Keep the body."""
        self.body = body

    @app.route("/v1/lookup")
    def lookup(self, request) -> bytes:
        """Answer."""
        request.setHeader("Content-Type", "application/json")
        return self.body


class BareResource(Resource):
    """A resource that answers with fixed bytes."""

    isLeaf = True

    def __init__(self, body: bytes) -> None:
        """Keep the body."""
        super().__init__()
        self.body = body

    def render_GET(self, request) -> bytes:  # noqa: N802
        """Answer."""
        request.setHeader("Content-Type", "application/json")
        return self.body


def measure() -> Iterator[Figure]:
    """Yield the rates of both paths, and of the bare ones in the same run."""
    api = make_api()
    fast = api.make_site()
    body = _ask(fast).partition(b"\r\n\r\n")[2]
    sites = {
        "klein": Site(api.app.resource()),
        "bare_klein": Site(BareRoute(body).app.resource()),
        "fast": fast,
        "bare_resource": Site(BareResource(body)),
    }
    rates = _measure_rates(sites)
    yield Figure(
        "lookups.klein_rate", rates["klein"], "1/s", baseline=rates["bare_klein"]
    )
    ratio = rates["klein"] / rates["bare_klein"]
    yield Figure("lookups.klein_ratio", ratio, "", KLEIN_RATIO_BOUND, least=True)
    yield Figure(
        "lookups.fast_rate", rates["fast"], "1/s", baseline=rates["bare_resource"]
    )
    ratio = rates["fast"] / rates["bare_resource"]
    yield Figure("lookups.fast_ratio", ratio, "", RESOURCE_RATIO_BOUND, least=True)
    share = FULL_RATE_PER_S / rates["fast"]
    yield Figure("lookups.core_share_at_950", share, "cores", CORE_SHARE_BOUND)


def make_api() -> CallerApi:
    """Return the callers' routes of a host with a client map."""
    document = build_document()
    document["sites"] = {name_site(number): {} for number in range(SITES)}
    state = build_state(build_inventory(document))
    state.steering.client_map = build_client_map(iterate_lines(BLOCKS), "synthetic")
    node = SimpleNamespace(state=state, reactor=reactor, now=lambda: 0)
    cfg = SimpleNamespace(
        pepper="pepper", body_limit=1_024, body_memory=4_096, host="a-1"
    )
    return CallerApi(node, cfg)


def _ask(site: Site) -> bytes:
    protocol, transport = connect(site)
    protocol.dataReceived(REQUEST)
    return transport.take()


def _measure_rates(sites: dict[str, Site]) -> dict[str, float]:
    """Return requests per second of processor time, the best of interleaved rounds."""
    best = dict.fromkeys(sites, 0.0)
    for site in sites.values():
        site.startFactory()
    for _ in range(ROUNDS):
        for name, site in sites.items():
            protocol, transport = connect(site)
            began = time.process_time()
            for _ in range(REQUESTS):
                protocol.dataReceived(REQUEST)
                transport.take()
            rate = REQUESTS / (time.process_time() - began)
            best[name] = max(best[name], rate)
    return best

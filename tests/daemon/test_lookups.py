from __future__ import annotations

import json
from types import SimpleNamespace
from unittest import TestCase

from twisted.internet import reactor
from twisted.web.server import Site

from almondgap_core.steering.plan import REFUSED, SHARE_UNIT, FlowKey, RegionPlan
from almondgap_daemon.callers import CallerApi
from almondgap_testkit.builders import build_entry, build_inventory, build_state
from almondgap_testkit.memory_transport import connect
from tests.core.steering.test_clientmap import build as build_map
from tests.core.steering.test_lookup import build_two_regions


class LookupResourceTests(TestCase):
    def setUp(self):
        self.document = build_two_regions()
        self.state = build_state(build_inventory(self.document))
        self.state.members.listed["c-1"] = build_entry("c-1", "c")
        self.state.host = "c-1"
        self.state.steering.client_map = build_map([("10.0.0.0/8", "lake")])
        runtime = SimpleNamespace(state=self.state, reactor=reactor, now=lambda: 0)
        cfg = SimpleNamespace(
            pepper="pepper", body_limit=1_024, body_memory=4_096, host="a-1"
        )
        self.api = CallerApi(runtime, cfg)

    def ask(self, query: str, site: Site | None = None):
        """Return status and JSON body of a look-up."""
        protocol, transport = connect(site or self.api.make_site())
        request = f"GET /v1/lookup{query} HTTP/1.1\r\nHost: x\r\n\r\n"
        protocol.dataReceived(request.encode())
        head, _, body = transport.take().partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(body)

    def test_both_paths_answer_alike(self):
        slow = Site(self.api.app.resource())
        for query in ("?service=shop", "?service=none", ""):
            one, other = self.ask(query), self.ask(query, slow)
            one[1].pop("request", None)
            other[1].pop("request", None)
            self.assertEqual(one, other)

    def test_unknown_service_is_named(self):
        status, body = self.ask("?service=shpo")
        self.assertEqual((status, body["verdict"]), (404, "not-run"))
        self.assertIn("shpo", body["detail"])

    def test_client_parameter_counts_only_if_it_is_trusted(self):
        shares = {"south": SHARE_UNIT // 4, REFUSED: SHARE_UNIT * 3 // 4}
        self.state.steering.plan = RegionPlan(1, {FlowKey("shop", "south"): shares})
        self.state.failure_domain = "a"
        query = "?service=shop&client=10.1.2.0/24"
        self.assertEqual([self.ask(query)[0] for _ in range(4)], [200] * 4)
        self.document["steering"] = {"trust_client_parameter": True}
        self.state.settings.inventory = build_inventory(self.document)
        statuses = sorted(self.ask(query)[0] for _ in range(4))
        self.assertEqual(statuses, [200, 503, 503, 503])

    def test_host_without_configuration_is_not_ready(self):
        self.state.settings.inventory = None
        status, body = self.ask("?service=shop")
        self.assertEqual((status, body["reason"]), (503, "not-ready"))

from __future__ import annotations

import json
from types import SimpleNamespace
from unittest import TestCase

from twisted.web.server import Site

from almondgap_core.membership.summary import LoadSummary, ServiceLoad, compute_key
from almondgap_daemon.operators import OperatorApi
from almondgap_testkit.builders import build_state
from almondgap_testkit.memory_transport import connect


class HeadroomRouteTests(TestCase):
    def test_headroom_is_told_by_region(self):
        state = build_state()
        load = ServiceLoad(compute_key("shop"), 4, 1, 0, 30, 0)
        summary = LoadSummary({load.key: load}, heard=0, age=0)
        state.members.summaries["a"] = summary
        runtime = SimpleNamespace(state=state, now=lambda: 2_000_000)
        protocol, transport = connect(
            Site(OperatorApi(runtime, lambda: None).app.resource())
        )
        protocol.dataReceived(b"GET /v1/headroom HTTP/1.0\r\n\r\n")
        body = json.loads(transport.take().partition(b"\r\n\r\n")[2])
        (north,) = body["regions"]
        self.assertEqual(north["standing"], "fresh")
        self.assertEqual((north["admitted"], north["headroom"]), (30, 70))
        self.assertEqual((north["used"], north["slots"], north["age"]), (1, 4, 2_000))

"""Requests that come late in a planned stop.

Load pattern: callers that keep open connections in use until the process is gone.
"""

from __future__ import annotations

from unittest import TestCase

from almondgap_core.gateway.effects import Refuse, Send
from almondgap_core.gateway.events import StopRequested, TargetAnswered
from almondgap_core.units import millis, seconds
from almondgap_core.verdict import Reason, Verdict
from almondgap_testkit.gateways.builders import (
    GatewayHarness,
    announce,
    build_configuration,
    build_route,
)

GRACE_US = seconds(6)


class LateRequestTests(TestCase):
    def build(self) -> GatewayHarness:
        """Return a stopping host whose requests take 0.6 s, and may take 4 s."""
        route = build_route(
            name="orders", prefix="/orders/", timeout=seconds(4), goal=seconds(1)
        )
        cfg = build_configuration(routes=(route,))
        gateway = GatewayHarness.build((announce("t1"),), cfg)
        gateway.call("/orders/1")
        gateway.now += millis(600)
        gateway.feed(TargetAnswered, 1, 1, 200, False, False, True)
        gateway.feed(StopRequested, GRACE_US)
        return gateway

    def test_request_that_may_outlast_the_stop_is_refused_unsent(self):
        gateway = self.build()
        gateway.now += seconds(4.5)
        gateway.call("/orders/1")
        self.assertEqual(gateway.find(Send), [])
        [refuse] = gateway.find(Refuse)
        self.assertEqual(refuse.refusal.status, 503)
        self.assertIs(refuse.refusal.reason, Reason.STOPPING)
        self.assertIs(refuse.refusal.verdict, Verdict.NOT_RUN)

    def test_request_that_ends_before_the_stop_is_served(self):
        gateway = self.build()
        gateway.now += seconds(4.5)
        gateway.call("/orders/1", caller_timeout=seconds(1))
        self.assertTrue(gateway.find(Send))

    def test_request_early_in_the_stop_is_served(self):
        gateway = self.build()
        gateway.now += seconds(2.5)
        gateway.call("/orders/1")
        self.assertTrue(gateway.find(Send))

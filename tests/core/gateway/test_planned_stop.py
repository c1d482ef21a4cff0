"""Requests that come late in a planned stop.

Load pattern: callers that keep open connections in use until the process is gone.
"""

from __future__ import annotations

from unittest import TestCase

from almondgap_core.gateway.effects import Refuse, Send
from almondgap_core.gateway.events import (
    AttemptFailed,
    Failure,
    StopRequested,
    TargetAnswered,
)
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
        cfg = build_configuration(routes=(route, build_route()))
        gateway = GatewayHarness.build((announce("t1"), announce("t2")), cfg)
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

    def test_request_faster_than_the_rest_of_the_stop_as_a_rule_is_refused(self):
        # Guards against the loss of requests that took longer than usual.
        for caller_timeout in (None, seconds(3)):
            with self.subTest(caller_timeout=caller_timeout):
                gateway = self.build()
                gateway.now += seconds(3.1)
                gateway.call("/orders/1", caller_timeout=caller_timeout or seconds(60))
                self.assert_refused(gateway)

    def test_request_on_a_route_without_answers_is_refused(self):
        # Guards against the loss of requests whose latency no answer had shown.
        gateway = self.build()
        gateway.now += seconds(4)
        gateway.call("/reads/1", caller_timeout=seconds(3))
        self.assertTrue(gateway.find(Send), "time-out of 1 s, before the end")
        gateway.now += seconds(1.1)
        gateway.call("/reads/2", caller_timeout=seconds(3))
        self.assert_refused(gateway)

    def test_late_retry_is_refused_unsent(self):
        # Guards against the loss of requests that came early and were sent again late.
        gateway = self.build()
        gateway.now += seconds(2.5)
        gateway.call("/orders/1", caller_timeout=seconds(60))
        [send] = gateway.find(Send)
        gateway.now += seconds(1)
        gateway.feed(
            AttemptFailed,
            gateway.number,
            send.attempt,
            Failure.NOT_CONNECTED,
            Verdict.NOT_RUN,
        )
        self.assert_refused(gateway)

    def test_late_retry_of_a_request_that_may_have_run_is_no_promise(self):
        # Guards against a promise of "not run" after a first attempt that may have run.
        gateway = self.build()
        gateway.now += seconds(2.5)
        gateway.call("/reads/1")
        [send] = gateway.find(Send)
        gateway.state.stops_at = gateway.now + millis(900)
        gateway.now += millis(600)
        gateway.feed(
            AttemptFailed,
            gateway.number,
            send.attempt,
            Failure.CONNECTION_LOST,
            Verdict.MAY_HAVE_RUN,
        )
        [refuse] = gateway.find(Refuse)
        self.assertEqual(refuse.refusal.status, 502)
        self.assertIs(refuse.refusal.verdict, Verdict.MAY_HAVE_RUN)

    def test_request_of_another_host_is_refused_from_the_start_of_the_stop(self):
        # Guards against the loss of requests that other hosts hand over.
        gateway = self.build()
        gateway.now += millis(500)
        gateway.call("/orders/1", caller_timeout=seconds(60), prior_attempts=0)
        self.assertTrue(gateway.find(Send), "time-out of 4 s, before the end")
        gateway.now += seconds(2)
        gateway.call("/orders/2", caller_timeout=seconds(60), prior_attempts=0)
        self.assert_refused(gateway)

    def assert_refused(self, gateway: GatewayHarness) -> None:
        """Check that the last request ended with the promise that it did not run."""
        self.assertEqual(gateway.find(Send), [])
        [refuse] = gateway.find(Refuse)
        self.assertEqual(refuse.refusal.status, 503)
        self.assertIs(refuse.refusal.reason, Reason.STOPPING)
        self.assertIs(refuse.refusal.verdict, Verdict.NOT_RUN)
        self.assertNotIn(gateway.number, gateway.state.calls)

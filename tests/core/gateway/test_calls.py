"""Life cycle of a caller's request: answers, retries, time limits and refusals."""

from __future__ import annotations

from unittest import TestCase

from almondgap_core.gateway.effects import (
    Abandon,
    Cancel,
    Deliver,
    Refuse,
    Send,
)
from almondgap_core.gateway.events import (
    AttemptFailed,
    CallerLeft,
    CallExpired,
    Failure,
    TargetAnswered,
)
from almondgap_core.units import millis, seconds
from almondgap_core.verdict import Verdict
from almondgap_testkit.gateways.builders import GatewayHarness, announce

TARGETS = tuple(announce(f"t{number}") for number in range(4))
ORDERS = "/orders/1"
READS = "/reads/1"


def send_request(path: str) -> tuple[GatewayHarness, Send]:
    """Return a gateway that has just sent a request, and the effect."""
    harness = GatewayHarness.build(TARGETS)
    harness.call(path)
    return harness, harness.find(Send)[0]


def feed_answer(harness: GatewayHarness, send: Send, status: int, **changes) -> None:
    """Feed a target's answer."""
    fields = {"not_executed": False, "misdirected": False, "sealed": True}
    harness.feed(
        TargetAnswered, send.call, send.attempt, status, **{**fields, **changes}
    )


def feed_failure(
    harness: GatewayHarness, send: Send, failure: Failure, verdict: Verdict
) -> None:
    """Feed the failure of an attempt."""
    harness.feed(AttemptFailed, send.call, send.attempt, failure, verdict)


class AnswerTests(TestCase):
    def test_success_is_delivered(self):
        harness, send = send_request(ORDERS)
        feed_answer(harness, send, 200)
        self.assertEqual(harness.find(Deliver), [Deliver(1)])
        self.assertEqual(harness.state.calls, {})

    def test_success_without_seal_is_never_delivered(self):
        for path in (ORDERS, READS):
            harness, send = send_request(path)
            feed_answer(harness, send, 200, sealed=False)
            self.assertEqual(harness.find(Deliver), [])

    def test_server_error_of_the_target_is_delivered_unchanged(self):
        harness, send = send_request(ORDERS)
        feed_answer(harness, send, 500)
        self.assertEqual(harness.find(Deliver), [Deliver(1)])

    def test_unproven_not_run_status_is_not_delivered(self):
        for status in (408, 421, 429, 503):
            harness, send = send_request(ORDERS)
            feed_answer(harness, send, status)
            self.assertEqual(harness.find(Deliver), [], status)
            self.assertEqual(harness.find(Refuse)[0].refusal.status, 502)

    def test_success_that_says_it_did_not_run_is_no_proof(self):
        harness, send = send_request(ORDERS)
        feed_answer(harness, send, 200, not_executed=True, sealed=False)
        self.assertEqual(harness.find(Send), [])
        refusal = harness.find(Refuse)[0].refusal
        self.assertEqual(refusal.status, 502)
        self.assertIs(refusal.verdict, Verdict.MAY_HAVE_RUN)

    def test_late_answer_of_an_earlier_attempt_is_ignored(self):
        harness, send = send_request(READS)
        feed_failure(harness, send, Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
        feed_answer(harness, send, 200)
        self.assertEqual(harness.find(Deliver), [])


class NoSocketTests(TestCase):
    def test_target_is_not_blamed_when_this_host_has_no_sockets(self):
        harness, send = send_request(READS)
        feed_failure(harness, send, Failure.NO_SOCKET, Verdict.NOT_RUN)
        refusal = harness.find(Refuse)[0].refusal
        self.assertEqual((refusal.status, refusal.verdict), (503, Verdict.NOT_RUN))
        target = harness.state.targets[send.target]
        self.assertIsNone(target.down_since)
        self.assertEqual(target.in_flight, 0)
        self.assertEqual(target.failure_share.read(harness.now), 0)


class RetryTests(TestCase):
    def test_order_that_may_have_run_is_never_sent_again(self):
        for failure in (Failure.CONNECTION_LOST, Failure.MALFORMED):
            harness, send = send_request(ORDERS)
            feed_failure(harness, send, failure, Verdict.MAY_HAVE_RUN)
            self.assertEqual(harness.find(Send), [])
            refusal = harness.find(Refuse)[0].refusal
            self.assertEqual(refusal.status, 502)
            self.assertIs(refusal.verdict, Verdict.MAY_HAVE_RUN)

    def test_read_that_may_have_run_goes_to_another_target(self):
        harness, send = send_request(READS)
        feed_failure(harness, send, Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
        self.assertNotEqual(harness.find(Send)[0].target, send.target)

    def test_order_that_did_not_run_goes_to_another_target(self):
        cases = ({"status": 503, "not_executed": True},)
        cases += ({"status": 421, "misdirected": True},)
        for case in cases:
            harness, send = send_request(ORDERS)
            feed_answer(harness, send, **case)
            self.assertNotEqual(harness.find(Send)[0].target, send.target)

    def test_no_connection_is_no_send(self):
        harness, send = send_request(ORDERS)
        for _ in range(2):
            feed_failure(harness, send, Failure.NOT_CONNECTED, Verdict.NOT_RUN)
            send = harness.find(Send)[0]
        self.assertEqual(len(harness.state.calls[1].sent_to), 1)

    def test_not_more_targets_than_the_route_allows(self):
        harness, send = send_request(READS)
        feed_failure(harness, send, Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
        again = harness.find(Send)[0]
        feed_failure(harness, again, Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
        self.assertEqual(harness.find(Send), [])
        self.assertEqual(harness.find(Refuse)[0].refusal.status, 502)

    def test_refused_everywhere_is_not_run_and_may_come_back(self):
        harness, send = send_request(ORDERS)
        feed_answer(harness, send, 503, not_executed=True)
        again = harness.find(Send)[0]
        feed_answer(harness, again, 503, not_executed=True)
        refusal = harness.find(Refuse)[0].refusal
        self.assertEqual(refusal.status, 503)
        self.assertIs(refusal.verdict, Verdict.NOT_RUN)
        self.assertGreater(refusal.retry_after, 0)

    def test_refused_after_a_run_does_not_say_not_run(self):
        harness, send = send_request(READS)
        feed_failure(harness, send, Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
        again = harness.find(Send)[0]
        feed_answer(harness, again, 503, not_executed=True)
        refusal = harness.find(Refuse)[0].refusal
        self.assertEqual(refusal.status, 502)
        self.assertIs(refusal.verdict, Verdict.MAY_HAVE_RUN)


class TimeTests(TestCase):
    def test_expired_request_is_answered_and_cancelled(self):
        harness, send = send_request(ORDERS)
        harness.now += seconds(1)
        harness.feed(CallExpired, send.call)
        self.assertEqual(harness.find(Cancel), [Cancel(send.call, send.attempt)])
        refusal = harness.find(Refuse)[0].refusal
        self.assertEqual(refusal.status, 504)
        self.assertIs(refusal.verdict, Verdict.MAY_HAVE_RUN)

    def test_target_gets_no_more_time_than_is_left(self):
        harness = GatewayHarness.build(TARGETS)
        harness.call(caller_timeout=millis(700))
        self.assertEqual(harness.find(Send)[0].time_left, millis(700))
        harness.call(caller_timeout=seconds(9))
        self.assertEqual(harness.find(Send)[0].time_left, seconds(1))

    def test_retry_gets_less_time(self):
        harness, send = send_request(READS)
        harness.now += millis(300)
        feed_failure(harness, send, Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
        self.assertEqual(harness.find(Send)[0].time_left, millis(700))


class DisconnectTests(TestCase):
    def test_read_that_nobody_waits_for_is_cancelled(self):
        harness, send = send_request(READS)
        harness.feed(CallerLeft, send.call)
        self.assertEqual(harness.find(Cancel), [Cancel(send.call, send.attempt)])

    def test_order_that_nobody_waits_for_may_finish(self):
        harness, send = send_request(ORDERS)
        harness.feed(CallerLeft, send.call)
        self.assertEqual(harness.find(Cancel), [])
        self.assertEqual(harness.find(Abandon), [Abandon(send.call, send.attempt)])

    def test_nothing_is_sent_after_the_caller_left(self):
        harness, send = send_request(READS)
        harness.feed(CallerLeft, send.call)
        feed_failure(harness, send, Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
        self.assertEqual(harness.find(Send), [])


class RefusalTests(TestCase):
    def test_route_and_key(self):
        harness = GatewayHarness.build(TARGETS)
        cases = (
            ({"path": "/nothing/"}, 404, "no-route"),
            ({"key": ""}, 401, "key-missing"),
            ({"key": "another"}, 401, "key-unknown"),
        )
        for changes, status, reason in cases:
            harness.call(**changes)
            refusal = harness.find(Refuse)[0].refusal
            self.assertEqual((refusal.status, refusal.reason.value), (status, reason))

    def test_report_never_holds_a_key(self):
        harness = GatewayHarness.build(TARGETS)
        harness.call(key="secret-of-nobody")
        self.assertNotIn("secret", repr(harness.list_reports()))
        harness.call()
        self.assertNotIn("key-of-one", repr(harness.list_reports()))

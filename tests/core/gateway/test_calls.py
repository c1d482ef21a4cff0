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


def begin(path: str) -> tuple[GatewayHarness, Send]:
    """Return a gateway that has just sent a request."""
    bench = GatewayHarness.build(TARGETS)
    bench.call(path)
    return bench, bench.find(Send)[0]


def answer(bench: GatewayHarness, send: Send, status: int, **changes) -> None:
    """Let a target answer."""
    fields = {"not_executed": False, "misdirected": False, "sealed": True}
    bench.feed(TargetAnswered, send.call, send.attempt, status, **{**fields, **changes})


def fail(bench: GatewayHarness, send: Send, failure: Failure, verdict: Verdict) -> None:
    """Let an attempt fail."""
    bench.feed(AttemptFailed, send.call, send.attempt, failure, verdict)


class AnswerTests(TestCase):
    def test_success_is_delivered(self):
        bench, send = begin(ORDERS)
        answer(bench, send, 200)
        self.assertEqual(bench.find(Deliver), [Deliver(1)])
        self.assertEqual(bench.state.calls, {})

    def test_success_without_mark_is_never_delivered(self):
        for path in (ORDERS, READS):
            bench, send = begin(path)
            answer(bench, send, 200, sealed=False)
            self.assertEqual(bench.find(Deliver), [])

    def test_failure_of_the_target_is_delivered_as_it_is(self):
        bench, send = begin(ORDERS)
        answer(bench, send, 500)
        self.assertEqual(bench.find(Deliver), [Deliver(1)])

    def test_promise_without_proof_is_not_passed_on(self):
        for status in (408, 421, 429, 503):
            bench, send = begin(ORDERS)
            answer(bench, send, status)
            self.assertEqual(bench.find(Deliver), [], status)
            self.assertEqual(bench.find(Refuse)[0].refusal.status, 502)

    def test_success_that_says_it_did_not_run_is_no_proof(self):
        bench, send = begin(ORDERS)
        answer(bench, send, 200, not_executed=True, sealed=False)
        self.assertEqual(bench.find(Send), [])
        refusal = bench.find(Refuse)[0].refusal
        self.assertEqual(refusal.status, 502)
        self.assertIs(refusal.verdict, Verdict.MAY_HAVE_RUN)

    def test_late_answer_of_an_earlier_attempt_is_ignored(self):
        bench, send = begin(READS)
        fail(bench, send, Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
        answer(bench, send, 200)
        self.assertEqual(bench.find(Deliver), [])


class RetryTests(TestCase):
    def test_order_that_may_have_run_is_never_sent_again(self):
        for failure in (Failure.CONNECTION_LOST, Failure.MALFORMED):
            bench, send = begin(ORDERS)
            fail(bench, send, failure, Verdict.MAY_HAVE_RUN)
            self.assertEqual(bench.find(Send), [])
            refusal = bench.find(Refuse)[0].refusal
            self.assertEqual(refusal.status, 502)
            self.assertIs(refusal.verdict, Verdict.MAY_HAVE_RUN)

    def test_read_that_may_have_run_goes_to_another_target(self):
        bench, send = begin(READS)
        fail(bench, send, Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
        self.assertNotEqual(bench.find(Send)[0].target, send.target)

    def test_order_that_did_not_run_goes_to_another_target(self):
        cases = ({"status": 503, "not_executed": True},)
        cases += ({"status": 421, "misdirected": True},)
        for case in cases:
            bench, send = begin(ORDERS)
            answer(bench, send, **case)
            self.assertNotEqual(bench.find(Send)[0].target, send.target)

    def test_no_connection_is_no_send(self):
        bench, send = begin(ORDERS)
        for _ in range(2):
            fail(bench, send, Failure.NOT_CONNECTED, Verdict.NOT_RUN)
            send = bench.find(Send)[0]
        self.assertEqual(len(bench.state.calls[1].sent_to), 1)

    def test_not_more_targets_than_the_route_allows(self):
        bench, send = begin(READS)
        fail(bench, send, Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
        again = bench.find(Send)[0]
        fail(bench, again, Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
        self.assertEqual(bench.find(Send), [])
        self.assertEqual(bench.find(Refuse)[0].refusal.status, 502)

    def test_refused_everywhere_is_not_run_and_may_come_back(self):
        bench, send = begin(ORDERS)
        answer(bench, send, 503, not_executed=True)
        again = bench.find(Send)[0]
        answer(bench, again, 503, not_executed=True)
        refusal = bench.find(Refuse)[0].refusal
        self.assertEqual(refusal.status, 503)
        self.assertIs(refusal.verdict, Verdict.NOT_RUN)
        self.assertGreater(refusal.retry_after, 0)

    def test_refused_after_a_run_does_not_say_not_run(self):
        bench, send = begin(READS)
        fail(bench, send, Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
        again = bench.find(Send)[0]
        answer(bench, again, 503, not_executed=True)
        refusal = bench.find(Refuse)[0].refusal
        self.assertEqual(refusal.status, 502)
        self.assertIs(refusal.verdict, Verdict.MAY_HAVE_RUN)


class TimeTests(TestCase):
    def test_expired_request_is_answered_and_cancelled(self):
        bench, send = begin(ORDERS)
        bench.now += seconds(1)
        bench.feed(CallExpired, send.call)
        self.assertEqual(bench.find(Cancel), [Cancel(send.call, send.attempt)])
        refusal = bench.find(Refuse)[0].refusal
        self.assertEqual(refusal.status, 504)
        self.assertIs(refusal.verdict, Verdict.MAY_HAVE_RUN)

    def test_target_gets_no_more_time_than_is_left(self):
        bench = GatewayHarness.build(TARGETS)
        bench.call(caller_timeout=millis(700))
        self.assertEqual(bench.find(Send)[0].time_left, millis(700))
        bench.call(caller_timeout=seconds(9))
        self.assertEqual(bench.find(Send)[0].time_left, seconds(1))

    def test_repeat_gets_less_time(self):
        bench, send = begin(READS)
        bench.now += millis(300)
        fail(bench, send, Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
        self.assertEqual(bench.find(Send)[0].time_left, millis(700))


class LeavingTests(TestCase):
    def test_read_that_nobody_waits_for_is_cancelled(self):
        bench, send = begin(READS)
        bench.feed(CallerLeft, send.call)
        self.assertEqual(bench.find(Cancel), [Cancel(send.call, send.attempt)])

    def test_order_that_nobody_waits_for_is_let_finish(self):
        bench, send = begin(ORDERS)
        bench.feed(CallerLeft, send.call)
        self.assertEqual(bench.find(Cancel), [])
        self.assertEqual(bench.find(Abandon), [Abandon(send.call, send.attempt)])

    def test_nothing_is_sent_after_the_caller_left(self):
        bench, send = begin(READS)
        bench.feed(CallerLeft, send.call)
        fail(bench, send, Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
        self.assertEqual(bench.find(Send), [])


class RefusalTests(TestCase):
    def test_route_and_key(self):
        bench = GatewayHarness.build(TARGETS)
        cases = (
            ({"path": "/nothing/"}, 404, "no-route"),
            ({"key": ""}, 401, "key-missing"),
            ({"key": "another"}, 401, "key-unknown"),
        )
        for changes, status, reason in cases:
            bench.call(**changes)
            refusal = bench.find(Refuse)[0].refusal
            self.assertEqual((refusal.status, refusal.reason.value), (status, reason))

    def test_report_never_holds_a_key(self):
        bench = GatewayHarness.build(TARGETS)
        bench.call(key="secret-of-nobody")
        self.assertNotIn("secret", repr(bench.list_reports()))
        bench.call()
        self.assertNotIn("key-of-one", repr(bench.list_reports()))

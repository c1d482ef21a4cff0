"""When a caller is told to retry after targets failed.

Load pattern: targets reject a part of the requests although they have slots free, more
often than the retries of one request make up for.
"""

from __future__ import annotations

from unittest import TestCase

from almondgap_core.gateway.effects import Refuse, Send
from almondgap_core.gateway.events import TargetAnswered
from almondgap_core.units import millis
from almondgap_core.verdict import Refusal, Verdict
from almondgap_testkit.gateways.builders import GatewayHarness, announce

GOAL_US = millis(400)
SERVICE_TIME_US = millis(180)
FREE = (0, 0)
FULL = (2, 3)


def reject_all(load: tuple[int, int], took: int) -> Refusal:
    """Return the refusal of a request that each target rejected.

    :param load: running and waiting requests that the targets report.
    :param took: time until each rejection, in microseconds.
    """
    harness = GatewayHarness.build(tuple(announce(f"t{n}") for n in range(4)))
    harness.call()
    while not harness.find(Refuse):
        send = harness.find(Send)[0]
        harness.now += took
        harness.feed(
            TargetAnswered,
            send.call,
            send.attempt,
            503,
            not_executed=True,
            misdirected=False,
            sealed=True,
            load=load,
        )
    return harness.find(Refuse)[0].refusal


class RetryAfterTests(TestCase):
    def test_caller_retries_in_time_to_be_answered_within_its_goal(self):
        refusal = reject_all(FREE, took=millis(30))
        self.assertIs(refusal.verdict, Verdict.NOT_RUN)
        left = GOAL_US - 2 * millis(30)
        self.assertLessEqual(refusal.retry_after + SERVICE_TIME_US, left)

    def test_caller_that_is_late_anyway_does_not_hurry(self):
        refusal = reject_all(FREE, took=millis(150))
        self.assertGreaterEqual(refusal.retry_after, millis(250))

    def test_caller_of_full_targets_does_not_hurry(self):
        refusal = reject_all(FULL, took=millis(30))
        self.assertGreaterEqual(refusal.retry_after, millis(250))

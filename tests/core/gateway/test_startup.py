"""Requests that arrive before a host that just started has read the store.

Load pattern: all hosts start at once while callers go on sending requests.
"""

from __future__ import annotations

from unittest import TestCase

from almondgap_core.gateway.effects import Refuse, Send
from almondgap_core.gateway.events import (
    CallerLeft,
    CallExpired,
    ConfigurationRead,
    StoreTable,
    TableRead,
    TargetsRead,
)
from almondgap_core.gateway.startup import MAX_EARLY_ARRIVALS, MAX_START_US
from almondgap_core.gateway.state import GatewayState
from almondgap_core.units import millis
from almondgap_core.verdict import Reason, Verdict
from almondgap_testkit.gateways.builders import (
    REGIONS,
    START,
    GatewayHarness,
    announce,
    build_configuration,
    build_location,
)


def start_host() -> GatewayHarness:
    """Return a host that has just started and read nothing yet."""
    return GatewayHarness(GatewayState(build_location(), 1, REGIONS, started_at=START))


def read_store(harness: GatewayHarness) -> list[Send]:
    """Feed what the store says; return the requests that are sent then."""
    harness.feed(ConfigurationRead, build_configuration())
    sent = harness.find(Send)
    harness.feed(TargetsRead, (announce("t1", slots=MAX_EARLY_ARRIVALS),))
    sent += harness.find(Send)
    harness.feed(TableRead, StoreTable.TARGETS, 5, 5, harness.now)
    return sent + harness.find(Send)


class StartTests(TestCase):
    def test_requests_of_the_first_moments_are_served(self):
        harness = start_host()
        for _ in range(20):
            harness.now += millis(4)
            harness.call()
            self.assertEqual(harness.find(Refuse), [])
        harness.now += millis(10)
        sent = read_store(harness)
        self.assertEqual(sorted(send.call for send in sent), list(range(1, 21)))

    def test_the_wait_counts_against_the_goal_and_the_time_limit(self):
        harness = start_host()
        harness.call(caller_timeout=millis(500))
        harness.now += millis(90)
        send = read_store(harness)[0]
        self.assertEqual(harness.state.calls[send.call].arrived_at, START)
        self.assertEqual(send.time_left, millis(410))

    def test_requests_are_refused_if_the_store_does_not_answer(self):
        harness = start_host()
        harness.call()
        harness.now += MAX_START_US
        harness.feed(CallExpired, harness.number)
        refusal = harness.find(Refuse)[0].refusal
        self.assertIs(refusal.reason, Reason.NOT_READY)
        self.assertIs(refusal.verdict, Verdict.NOT_RUN)
        harness.call()
        self.assertIs(harness.find(Refuse)[0].refusal.reason, Reason.NOT_READY)

    def test_request_whose_caller_left_is_not_sent(self):
        harness = start_host()
        harness.call()
        harness.feed(CallerLeft, harness.number)
        self.assertEqual(read_store(harness), [])

    def test_only_so_many_requests_wait(self):
        harness = start_host()
        for _ in range(MAX_EARLY_ARRIVALS):
            harness.call()
        harness.call()
        self.assertEqual(len(harness.find(Refuse)), 1)

    def test_error_in_one_request_leaves_the_others_waiting(self):
        harness = start_host()
        harness.call(caller_timeout=None)
        harness.call()
        with self.assertRaises(TypeError):
            read_store(harness)
        harness.feed(TableRead, StoreTable.TARGETS, 6, 6, harness.now)
        self.assertEqual([send.call for send in harness.find(Send)], [2])

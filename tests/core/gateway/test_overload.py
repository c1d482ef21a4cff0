"""Load shedding when more requests arrive than targets can serve.

Load pattern: twice what the targets can serve in time, at several hosts that see only
their own requests and the load that targets report.
"""

from __future__ import annotations

import random
from unittest import TestCase
from unittest.mock import patch

from almondgap_core.gateway import dispatch
from almondgap_core.gateway.configuration import Account
from almondgap_core.gateway.overload import check_overload
from almondgap_core.gateway.placement import Choice
from almondgap_core.units import millis, seconds
from almondgap_testkit.gateways.builders import (
    KEY,
    GatewayHarness,
    announce,
    build_configuration,
)
from almondgap_testkit.gateways.simulation import Simulation

HOSTS = ["h1", "h2", "h3", "h4"]
GOAL_US = millis(400)

#: Requests per second that the targets below serve when all objects are cached: 6
#: targets with 2 slots, 100 ms for each request.
CAPACITY = 6 * 2 / 0.1


def run_load(rate: float, seed: int = 1) -> Simulation:
    """Return a simulation after 12 s of load."""
    cfg = build_configuration(accounts={"one": Account("one", frozenset({KEY}))})
    sim = Simulation(cfg, rng=random.Random(seed))
    for number in range(6):
        sim.add_target(announce(f"t{number}"), service_time=millis(100))
    for name in HOSTS:
        sim.add_host(name)
    sim.run(seconds(2))
    sim.generate_load(HOSTS, rate, seconds(12))
    sim.run(seconds(14))
    return sim


def count_on_time(sim: Simulation) -> int:
    """Return the number of answers from targets within the latency goal."""
    return sum(
        outcome.status == 200 and outcome.latency <= GOAL_US for outcome in sim.outcomes
    )


class OverloadTests(TestCase):
    def test_shedding_serves_more_in_time_than_queueing(self):
        for seed in (1, 2):
            sim = run_load(2 * CAPACITY, seed)
            with patch.object(dispatch, "check_overload", lambda *_: None):
                queueing = run_load(2 * CAPACITY, seed)
            self.assertGreater(count_on_time(sim), 1.5 * count_on_time(queueing))

    def test_most_of_the_capacity_serves_on_time(self):
        sim = run_load(2 * CAPACITY)
        self.assertGreaterEqual(count_on_time(sim), 0.6 * CAPACITY * 12)

    def test_refusal_is_immediate_and_has_a_retry_delay(self):
        sim = run_load(2 * CAPACITY)
        refused = [outcome for outcome in sim.outcomes if outcome.status == 503]
        self.assertGreater(len(refused), 0)
        first = [outcome for outcome in refused if outcome.latency == 0]
        self.assertGreaterEqual(len(first), 0.9 * len(refused))
        for outcome in refused:
            self.assertGreater(outcome.refusal.retry_after, 0)

    def test_light_load_is_not_refused(self):
        sim = run_load(0.4 * CAPACITY)
        refused = sum(outcome.status != 200 for outcome in sim.outcomes)
        self.assertLessEqual(refused, 0.02 * len(sim.outcomes))


class SlowRequestTests(TestCase):
    def check_overload(self, expected: int, queued: int):
        harness = GatewayHarness.build((announce("t1"),))
        harness.call()
        call = harness.state.calls[1]
        call.sent_to.clear()
        target = harness.state.targets["t1"]
        choice = Choice(target, expected, expected, queued, expected)
        return check_overload(harness.state, call, choice, harness.now)

    def test_slow_request_is_sent_while_the_queue_is_short(self):
        self.assertIsNone(self.check_overload(millis(600), 0))
        self.assertIsNone(self.check_overload(millis(600), millis(50)))

    def test_slow_request_is_refused_when_the_queue_is_long(self):
        self.assertIsNotNone(self.check_overload(millis(800), millis(200)))

    def test_request_that_queueing_makes_late_is_refused(self):
        self.assertIsNotNone(self.check_overload(millis(450), millis(150)))

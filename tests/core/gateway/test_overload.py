"""Which requests are sent when there are more than targets can serve.

Load pattern: twice what the targets can serve on time, at several hosts that see only
their own requests and what targets tell.
"""

from __future__ import annotations

import random
from unittest import TestCase
from unittest.mock import patch

from almondgap_core.gateway import calls
from almondgap_core.gateway.configuration import Account
from almondgap_core.gateway.overload import judge
from almondgap_core.gateway.placement import Choice
from almondgap_core.units import millis, seconds
from almondgap_testkit.gateways.builders import (
    KEY,
    Bench,
    announce,
    build_configuration,
)
from almondgap_testkit.gateways.simulation import World

HOSTS = ["h1", "h2", "h3", "h4"]
GOAL_US = millis(400)

#: Requests per second that the targets below serve when all objects are warm: 6 targets
#: with 2 slots, 100 ms for each request.
CAPACITY = 6 * 2 / 0.1


def run_load(rate: float, seed: int = 1) -> World:
    """Return a world after 12 s of a load."""
    cfg = build_configuration(accounts={"one": Account("one", frozenset({KEY}))})
    world = World(cfg, chance=random.Random(seed))
    for number in range(6):
        world.add_target(announce(f"t{number}"), work=millis(100))
    for name in HOSTS:
        world.add_host(name)
    world.run(seconds(2))
    world.load(HOSTS, rate, seconds(12))
    world.run(seconds(14))
    return world


def count_on_time(world: World) -> int:
    """Return the answers of targets within the goal."""
    return sum(
        outcome.status == 200 and outcome.took <= GOAL_US for outcome in world.outcomes
    )


class OverloadTests(TestCase):
    def test_refusing_beats_queueing(self):
        for seed in (1, 2):
            world = run_load(2 * CAPACITY, seed)
            with patch.object(calls, "judge", lambda *_: None):
                queueing = run_load(2 * CAPACITY, seed)
            self.assertGreater(count_on_time(world), 1.5 * count_on_time(queueing))

    def test_most_of_the_capacity_serves_on_time(self):
        world = run_load(2 * CAPACITY)
        self.assertGreaterEqual(count_on_time(world), 0.6 * CAPACITY * 12)

    def test_refusal_comes_at_once_and_names_a_time(self):
        world = run_load(2 * CAPACITY)
        refused = [outcome for outcome in world.outcomes if outcome.status == 503]
        self.assertGreater(len(refused), 0)
        first = [outcome for outcome in refused if outcome.took == 0]
        self.assertGreaterEqual(len(first), 0.9 * len(refused))
        for outcome in refused:
            self.assertGreater(outcome.refusal.retry_after, 0)

    def test_light_load_is_not_refused(self):
        world = run_load(0.4 * CAPACITY)
        refused = sum(outcome.status != 200 for outcome in world.outcomes)
        self.assertLessEqual(refused, 0.02 * len(world.outcomes))


class LateWorkTests(TestCase):
    def judge(self, expected: int, queued: int):
        bench = Bench.build((announce("t1"),))
        bench.call()
        call = bench.state.calls[1]
        call.sends.clear()
        target = bench.state.targets["t1"]
        choice = Choice(target, expected, expected, queued, expected)
        return judge(bench.state, call, choice, bench.now)

    def test_work_that_is_late_by_itself_is_sent_while_the_queue_is_short(self):
        self.assertIsNone(self.judge(millis(600), 0))
        self.assertIsNone(self.judge(millis(600), millis(50)))

    def test_it_does_not_make_a_long_queue_longer(self):
        self.assertIsNotNone(self.judge(millis(800), millis(200)))

    def test_waiting_that_makes_a_request_late_is_refused(self):
        self.assertIsNotNone(self.judge(millis(450), millis(150)))

"""Retries under failure of many targets, and at-most-once for all that is not a read.

Load pattern: most targets fail at once, so that each request could double itself.
"""

from __future__ import annotations

import random
from unittest import TestCase

from almondgap_core.gateway.configuration import Account
from almondgap_core.gateway.state import Bounds
from almondgap_core.units import millis, seconds
from almondgap_testkit.gateways.builders import KEY, announce, build_configuration
from almondgap_testkit.gateways.simulation import World

HOSTS = ["h1", "h2", "h3", "h4"]
RATIO = 0.2
BURST = 20.0
WINDOW_US = seconds(10)


def build_world(seed: int = 1, targets: int = 8) -> World:
    """Return a world with targets of little work."""
    account = Account("one", frozenset({KEY}))
    cfg = build_configuration(accounts={"one": account})
    world = World(cfg, chance=random.Random(seed), bounds=Bounds(RATIO, BURST))
    for number in range(targets):
        world.add_target(announce(f"t{number}", slots=20), work=millis(20))
    for name in HOSTS:
        world.add_host(name)
    world.run(seconds(2))
    return world


def list_repeats(world: World) -> list[int]:
    """Return the times of runs beyond the first of each request."""
    runs = sorted(run for target in world.targets.values() for run in target.runs)
    seen: set[str] = set()
    repeats = []
    for at, request_id in runs:
        if request_id in seen:
            repeats.append(at)
        seen.add(request_id)
    return repeats


class BudgetTests(TestCase):
    def test_repeats_stay_within_the_budget(self):
        world = build_world()
        world.load(HOSTS, 60, seconds(20))
        world.run(seconds(5))
        for target in list(world.targets.values())[:7]:
            target.mode = "failing"
        world.run(seconds(17))
        repeats = list_repeats(world)
        self.assertGreater(len(repeats), 0)
        for start in repeats:
            count = sum(start <= at < start + WINDOW_US for at in repeats)
            self.assertLessEqual(count, RATIO * 60 * 10 + BURST)


class AtMostOnceTests(TestCase):
    def test_orders_run_once_and_not_run_is_true(self):
        modes = ("well", "dead", "silent", "failing", "shedding")
        for seed in range(20):
            chance = random.Random(seed)
            world = build_world(seed, targets=4)
            world.load(HOSTS, 40, seconds(6), path="/orders/1")
            for step in range(12):
                target = chance.choice(list(world.targets.values()))
                mode = chance.choice(modes)
                world.clock.call_later(
                    step * millis(500),
                    lambda target=target, mode=mode: setattr(target, "mode", mode),
                )
            world.run(seconds(9))
            for outcome in world.outcomes:
                runs = world.count_runs(outcome.request_id)
                self.assertLessEqual(runs, 1, (seed, outcome))
                if outcome.status in (429, 503):
                    self.assertEqual(runs, 0, (seed, outcome))

    def test_every_request_gets_one_answer_in_time(self):
        world = build_world(targets=3)
        for target in world.targets.values():
            target.mode = "silent"
        world.load(HOSTS, 30, seconds(4))
        world.run(seconds(8))
        ids = [outcome.request_id for outcome in world.outcomes]
        self.assertEqual(len(ids), len(set(ids)))
        self.assertEqual(len(ids), world._number)
        for outcome in world.outcomes:
            self.assertLessEqual(outcome.took, seconds(1))

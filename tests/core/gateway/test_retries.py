"""Retries while many targets fail, and at-most-once for unsafe requests.

Load pattern: most targets fail at once, so that retries could double the load.
"""

from __future__ import annotations

import random
from unittest import TestCase

from almondgap_core.gateway.configuration import Account
from almondgap_core.gateway.state import Bounds
from almondgap_core.units import millis, seconds
from almondgap_testkit.gateways.builders import KEY, announce, build_configuration
from almondgap_testkit.gateways.simulation import Simulation

HOSTS = ["h1", "h2", "h3", "h4"]
RATIO = 0.2
BURST = 20.0
WINDOW_US = seconds(10)


def build_simulation(seed: int = 1, targets: int = 8) -> Simulation:
    """Return a simulation of targets with short service times."""
    account = Account("one", frozenset({KEY}))
    cfg = build_configuration(accounts={"one": account})
    sim = Simulation(cfg, rng=random.Random(seed), bounds=Bounds(RATIO, BURST))
    for number in range(targets):
        sim.add_target(announce(f"t{number}", slots=20), service_time=millis(20))
    for name in HOSTS:
        sim.add_host(name)
    sim.run(seconds(2))
    return sim


def list_retries(sim: Simulation) -> list[int]:
    """Return the times of runs beyond the first of each request."""
    runs = sorted(run for target in sim.targets.values() for run in target.runs)
    seen: set[str] = set()
    retries = []
    for at, request_id in runs:
        if request_id in seen:
            retries.append(at)
        seen.add(request_id)
    return retries


class BudgetTests(TestCase):
    def test_retries_stay_within_the_budget(self):
        sim = build_simulation()
        sim.generate_load(HOSTS, 60, seconds(20))
        sim.run(seconds(5))
        for target in list(sim.targets.values())[:7]:
            target.mode = "failing"
        sim.run(seconds(17))
        retries = list_retries(sim)
        self.assertGreater(len(retries), 0)
        for start in retries:
            count = sum(start <= at < start + WINDOW_US for at in retries)
            self.assertLessEqual(count, RATIO * 60 * 10 + BURST)


class AtMostOnceTests(TestCase):
    def test_orders_run_once_and_not_run_is_true(self):
        modes = ("well", "dead", "silent", "failing", "shedding")
        for seed in range(20):
            rng = random.Random(seed)
            sim = build_simulation(seed, targets=4)
            sim.generate_load(HOSTS, 40, seconds(6), path="/orders/1")
            for step in range(12):
                target = rng.choice(list(sim.targets.values()))
                mode = rng.choice(modes)
                sim.clock.call_later(
                    step * millis(500),
                    lambda target=target, mode=mode: setattr(target, "mode", mode),
                )
            sim.run(seconds(9))
            for outcome in sim.outcomes:
                runs = sim.count_runs(outcome.request_id)
                self.assertLessEqual(runs, 1, (seed, outcome))
                if outcome.status in (429, 503):
                    self.assertEqual(runs, 0, (seed, outcome))

    def test_every_request_gets_one_answer_in_time(self):
        sim = build_simulation(targets=3)
        for target in sim.targets.values():
            target.mode = "silent"
        sim.generate_load(HOSTS, 30, seconds(4))
        sim.run(seconds(8))
        ids = [outcome.request_id for outcome in sim.outcomes]
        self.assertEqual(len(ids), len(set(ids)))
        self.assertEqual(len(ids), sim._last_number)
        for outcome in sim.outcomes:
            self.assertLessEqual(outcome.latency, seconds(1))

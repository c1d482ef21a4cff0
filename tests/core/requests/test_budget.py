from __future__ import annotations

import random
from unittest import TestCase
from unittest.mock import patch

from almondgap_core.requests import flow
from almondgap_core.requests.budget import RetryBudgets
from almondgap_core.units import seconds
from almondgap_core.verdict import Verdict
from almondgap_testkit.pressure import Pressure, build_world

IDLE_RETRIES = 10


class BudgetTests(TestCase):
    def test_ten_requests_earn_one_retry(self):
        budgets = RetryBudgets()
        taken = sum(budgets.take("one", "shop") for _ in range(50))
        self.assertEqual(taken, IDLE_RETRIES)
        for _ in range(100):
            budgets.deposit("one", "shop")
        taken = sum(budgets.take("one", "shop") for _ in range(50))
        self.assertEqual(taken, 10)

    def test_many_accounts_share_the_budget_of_their_service(self):
        budgets = RetryBudgets()
        taken = sum(budgets.take(f"c{n}", "shop") for n in range(50) for _ in range(5))
        self.assertEqual(taken, IDLE_RETRIES)


class StormTests(TestCase):
    def run_storm(self):
        world = build_world(domains=2, hosts=2, slots=400, targets_per_domain=4)
        for target in world.targets.values():
            target.broken = True
        load = Pressure(world, random.Random(1))
        load.add("c0", 40, seconds(20), ["h0"])
        load.finish()
        repeats = sum(attempted.attempt > 1 for attempted in world.attempted)
        return repeats, IDLE_RETRIES + len(load.calls["c0"]) // 10

    def test_retries_are_a_share_of_requests(self):
        repeats, budget = self.run_storm()
        self.assertGreater(repeats, 0)
        self.assertLessEqual(repeats, budget)

    def test_storm_without_budget_is_caught(self):
        with patch.object(RetryBudgets, "take", lambda *_: True):
            repeats, budget = self.run_storm()
        self.assertGreater(repeats, budget)


class RepeatTests(TestCase):
    def run_payments(self):
        world = build_world(domains=2, hosts=2, slots=8)
        for target in world.targets.values():
            target.broken = True
        load = Pressure(world, random.Random(1))
        load.add("c0", 20, seconds(3), ["h0"], method="POST")
        load.finish()
        ran = {}
        for target in world.targets.values():
            for label, times in target.ran.items():
                ran[label] = ran.get(label, 0) + times
        for label in ran:
            self.assertIs(world.answers[label].verdict, Verdict.MAY_HAVE_RUN)
        return max(ran.values())

    def test_broken_payment_runs_once(self):
        self.assertEqual(self.run_payments(), 1)

    def test_repeated_payment_is_caught(self):
        repeat = flow.IDEMPOTENT_METHODS | {"POST"}
        with patch.object(flow, "IDEMPOTENT_METHODS", repeat):
            self.assertGreater(self.run_payments(), 1)

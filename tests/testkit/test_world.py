from __future__ import annotations

from unittest import TestCase

from almondgap_core.units import seconds
from almondgap_core.verdict import Verdict
from almondgap_testkit.builders import build_text
from almondgap_testkit.fakes.world import World

HOSTS = {"a-1": "a", "a-2": "a", "b-1": "b"}


class WorldTests(TestCase):
    def test_requests_are_served(self):
        world = World(build_text(), HOSTS)
        world.run(seconds(3))
        asked = [world.call(name, "shop", "one") for name in ("a-1", "a-2")]
        world.run(seconds(2))
        statuses = [world.answers[req].status for req in asked]
        self.assertIn(200, statuses)
        for req in asked:
            self.assertIsNotNone(world.answers[req].verdict)

    def test_two_runs_of_one_seed_are_equal(self):
        self.assertEqual(self.run_once(7), self.run_once(7))

    def run_once(self, seed: int):
        world = World(build_text(), HOSTS, seed)
        world.network.loss = 0.2
        world.run(seconds(3))
        for _ in range(20):
            world.call("a-1", "shop", "one")
            world.run(seconds(0.1))
        return [(a.status, a.answered) for a in world.answers.values()]

    def test_crashed_host_answers_nothing(self):
        world = World(build_text(), HOSTS)
        world.run(seconds(3))
        world.crash("a-1")
        req = world.call("a-1", "shop", "one")
        world.run(seconds(2))
        self.assertEqual(world.answers[req].status, 0)
        world.start("a-1")
        world.run(seconds(40))
        req = world.call("a-1", "shop", "one")
        world.run(seconds(2))
        self.assertIs(world.answers[req].verdict, Verdict.RAN)

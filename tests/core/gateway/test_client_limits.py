"""Limits of client accounts over several hosts.

Load patterns: one account at several times its rate; callers that move from one host to
another; hosts that are cut off; hosts that are killed and start with new buckets.
"""

from __future__ import annotations

from unittest import TestCase

from almondgap_core.gateway.configuration import Account
from almondgap_core.gateway.state import Bounds
from almondgap_core.gateway.token_bucket import Tolerance
from almondgap_core.units import millis, seconds
from almondgap_testkit.gateways.builders import KEY, announce, build_configuration
from almondgap_testkit.gateways.simulation import World

WINDOW_US = seconds(5)
TOLERANCE = Tolerance(5.0, 0.1, 20.0)
DOMAINS = ["a1", "a2", "b1", "b2"]
HOSTS = [f"h{number}" for number in range(8)]


def build_world(rate: float, burst: float) -> World:
    """Return a world in which targets never bound what accounts get."""
    account = Account("one", frozenset({KEY}), None, rate, burst)
    cfg = build_configuration(accounts={"one": account})
    world = World(cfg, bounds=Bounds(tolerance=TOLERANCE))
    for number in range(10):
        announced = announce(f"t{number}", slots=100)
        world.add_target(announced, work=millis(5))
    start_hosts(world)
    world.run(seconds(2))
    return world


def start_hosts(world: World) -> None:
    """Start two hosts in each failure domain."""
    for number, name in enumerate(HOSTS):
        world.add_host(name, DOMAINS[number % len(DOMAINS)])


def find_most(world: World) -> int:
    """Return the most requests that ran in any window."""
    times = sorted(at for target in world.targets.values() for at, _ in target.runs)
    most, first = 0, 0
    for last, at in enumerate(times):
        while at - times[first] > WINDOW_US:
            first += 1
        most = max(most, last - first + 1)
    return most


def find_bound(rate: float, burst: float) -> float:
    """Return how many requests may run in a window."""
    return (rate * 5 + burst) * 1.1 + 20


class AllotmentTests(TestCase):
    def test_hot_account_keeps_to_its_limit(self):
        for rate in (16, 60, 200):
            world = build_world(rate, rate)
            world.load(HOSTS, rate * 0.6, seconds(6))
            world.load(HOSTS, rate * 7.5, seconds(8), start=seconds(6))
            world.run(seconds(16))
            self.assertLessEqual(find_most(world), find_bound(rate, rate), rate)

    def test_hot_account_gets_what_it_is_owed(self):
        world = build_world(60, 60)
        world.load(HOSTS, 450, seconds(10))
        world.run(seconds(11))
        ran = sum(len(target.runs) for target in world.targets.values())
        self.assertGreaterEqual(ran, 0.85 * 60 * 10)

    def test_account_within_its_rate_is_hardly_refused(self):
        for rate in (16, 60):
            world = build_world(rate, rate)
            world.load(HOSTS, rate * 0.62, seconds(20))
            world.run(seconds(22))
            refused = sum(outcome.status == 429 for outcome in world.outcomes)
            self.assertLessEqual(refused, 0.02 * len(world.outcomes), rate)

    def test_callers_that_move_are_hardly_refused(self):
        world = build_world(60, 60)
        world.load(HOSTS, 38, seconds(6))
        world.load(HOSTS[:2], 38, seconds(8), start=seconds(6))
        world.run(seconds(16))
        refused = sum(outcome.status == 429 for outcome in world.outcomes)
        self.assertLessEqual(refused, 0.06 * len(world.outcomes))

    def test_many_hosts_and_a_small_account(self):
        account = Account("one", frozenset({KEY}), None, 20, 20)
        cfg = build_configuration(accounts={"one": account})
        world = World(cfg, bounds=Bounds(tolerance=TOLERANCE))
        world.add_target(announce("t1", slots=400), work=millis(5))
        names = [f"h{number}" for number in range(60)]
        for number, name in enumerate(names):
            world.add_host(name, DOMAINS[number % len(DOMAINS)])
        world.run(seconds(2))
        world.load(names, 12.5, seconds(15))
        world.load(names, 150, seconds(6), start=seconds(15))
        world.run(seconds(15))
        refused = sum(outcome.status == 429 for outcome in world.outcomes)
        self.assertLessEqual(refused, 0.02 * len(world.outcomes))
        world.run(seconds(8))
        self.assertLessEqual(find_most(world), find_bound(20, 20))

    def test_hosts_cut_off_from_each_other_keep_to_the_limit(self):
        rate = 60
        world = build_world(rate, rate)
        world.load(HOSTS, rate * 0.6, seconds(4))
        world.load(HOSTS, rate * 6, seconds(12), start=seconds(4))
        world.run(seconds(6))
        world.cut.update(HOSTS[:3])
        world.run(seconds(12))
        self.assertLessEqual(find_most(world), find_bound(rate, rate))

    def test_hosts_that_all_start_anew_keep_to_the_limit(self):
        rate = 60
        world = build_world(rate, rate)
        world.load(HOSTS, rate * 6, seconds(12))
        world.run(seconds(5))
        for name in HOSTS:
            world.kill_host(name)
        world.run(seconds(1))
        start_hosts(world)
        world.run(seconds(8))
        self.assertLessEqual(find_most(world), find_bound(rate, rate))

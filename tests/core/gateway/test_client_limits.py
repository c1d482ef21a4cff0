"""Rate limits of client accounts over several hosts.

Load patterns: one account at several times its rate; callers that move from one host to
another; hosts that are partitioned; hosts that are killed and restart with fresh
buckets.
"""

from __future__ import annotations

from unittest import TestCase

from almondgap_core.gateway.configuration import Account
from almondgap_core.gateway.state import Bounds
from almondgap_core.gateway.token_bucket import Tolerance
from almondgap_core.units import millis, seconds
from almondgap_testkit.gateways.builders import KEY, announce, build_configuration
from almondgap_testkit.gateways.simulation import Simulation

WINDOW_US = seconds(5)
TOLERANCE = Tolerance(5.0, 0.1, 20.0)
DOMAINS = ["a1", "a2", "b1", "b2"]
HOSTS = [f"h{number}" for number in range(8)]


def build_simulation(rate: float, burst: float) -> Simulation:
    """Return a simulation in which the targets never limit what accounts get."""
    account = Account("one", frozenset({KEY}), None, rate, burst)
    cfg = build_configuration(accounts={"one": account})
    sim = Simulation(cfg, bounds=Bounds(tolerance=TOLERANCE))
    for number in range(10):
        announcement = announce(f"t{number}", slots=100)
        sim.add_target(announcement, service_time=millis(5))
    start_hosts(sim)
    sim.run(seconds(2))
    return sim


def start_hosts(sim: Simulation) -> None:
    """Start two hosts in each failure domain."""
    for number, name in enumerate(HOSTS):
        sim.add_host(name, DOMAINS[number % len(DOMAINS)])


def find_max_runs(sim: Simulation) -> int:
    """Return the maximum number of requests that ran in any window."""
    times = sorted(at for target in sim.targets.values() for at, _ in target.runs)
    most, first = 0, 0
    for last, at in enumerate(times):
        while at - times[first] > WINDOW_US:
            first += 1
        most = max(most, last - first + 1)
    return most


def compute_max_runs(rate: float, burst: float) -> float:
    """Return the number of requests that may run in a window."""
    return (rate * 5 + burst) * 1.1 + 20


class ClientLimitTests(TestCase):
    def test_hot_account_stays_within_its_limit(self):
        for rate in (16, 60, 200):
            sim = build_simulation(rate, rate)
            sim.generate_load(HOSTS, rate * 0.6, seconds(6))
            sim.generate_load(HOSTS, rate * 7.5, seconds(8), start=seconds(6))
            sim.run(seconds(16))
            self.assertLessEqual(find_max_runs(sim), compute_max_runs(rate, rate), rate)

    def test_hot_account_gets_most_of_its_rate(self):
        sim = build_simulation(60, 60)
        sim.generate_load(HOSTS, 450, seconds(10))
        sim.run(seconds(11))
        ran = sum(len(target.runs) for target in sim.targets.values())
        self.assertGreaterEqual(ran, 0.85 * 60 * 10)

    def test_account_within_its_rate_is_rarely_refused(self):
        for rate in (16, 60):
            sim = build_simulation(rate, rate)
            sim.generate_load(HOSTS, rate * 0.62, seconds(20))
            sim.run(seconds(22))
            refused = sum(outcome.status == 429 for outcome in sim.outcomes)
            self.assertLessEqual(refused, 0.02 * len(sim.outcomes), rate)

    def test_callers_that_move_are_rarely_refused(self):
        sim = build_simulation(60, 60)
        sim.generate_load(HOSTS, 38, seconds(6))
        sim.generate_load(HOSTS[:2], 38, seconds(8), start=seconds(6))
        sim.run(seconds(16))
        refused = sum(outcome.status == 429 for outcome in sim.outcomes)
        self.assertLessEqual(refused, 0.06 * len(sim.outcomes))

    def test_many_hosts_and_a_small_account(self):
        account = Account("one", frozenset({KEY}), None, 20, 20)
        cfg = build_configuration(accounts={"one": account})
        sim = Simulation(cfg, bounds=Bounds(tolerance=TOLERANCE))
        sim.add_target(announce("t1", slots=400), service_time=millis(5))
        names = [f"h{number}" for number in range(60)]
        for number, name in enumerate(names):
            sim.add_host(name, DOMAINS[number % len(DOMAINS)])
        sim.run(seconds(2))
        sim.generate_load(names, 12.5, seconds(15))
        sim.generate_load(names, 150, seconds(6), start=seconds(15))
        sim.run(seconds(15))
        refused = sum(outcome.status == 429 for outcome in sim.outcomes)
        self.assertLessEqual(refused, 0.02 * len(sim.outcomes))
        sim.run(seconds(8))
        self.assertLessEqual(find_max_runs(sim), compute_max_runs(20, 20))

    def test_partitioned_hosts_stay_within_the_limit(self):
        rate = 60
        sim = build_simulation(rate, rate)
        sim.generate_load(HOSTS, rate * 0.6, seconds(4))
        sim.generate_load(HOSTS, rate * 6, seconds(12), start=seconds(4))
        sim.run(seconds(6))
        sim.isolated.update(HOSTS[:3])
        sim.run(seconds(12))
        self.assertLessEqual(find_max_runs(sim), compute_max_runs(rate, rate))

    def test_restart_of_all_hosts_stays_within_the_limit(self):
        rate = 60
        sim = build_simulation(rate, rate)
        sim.generate_load(HOSTS, rate * 6, seconds(12))
        sim.run(seconds(5))
        for name in HOSTS:
            sim.kill_host(name)
        sim.run(seconds(1))
        start_hosts(sim)
        sim.run(seconds(8))
        self.assertLessEqual(find_max_runs(sim), compute_max_runs(rate, rate))

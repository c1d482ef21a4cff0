"""Rate limits that targets advertise in their answers, shared by all hosts.

Load pattern: many callers of a service while some of its targets accept less.
"""

from __future__ import annotations

from math import inf
from unittest import TestCase

from almondgap_core.gateway.configuration import Account
from almondgap_core.units import millis, seconds
from almondgap_core.verdict import Verdict
from almondgap_testkit.gateways.builders import KEY, announce, build_configuration
from almondgap_testkit.gateways.model_fleet import ModelTarget
from almondgap_testkit.gateways.simulation import Simulation

DOMAINS = ("a1", "a1", "a1", "a2", "a2", "b1", "b2", "b2")

#: Window over which the requests that a target gets are counted, and the tolerance
#: over what its limit allows in it.
WINDOW_US = seconds(4)
TOLERANCE_RATIO = 1.5
TOLERANCE_REQUESTS = 5

#: Time after a target first advertised a limit from which the limit must hold.
SETTLING_US = seconds(3)


def build_fleet(count: int = len(DOMAINS), targets: int = 6) -> Simulation:
    """Return hosts with fast targets, half of them in each region."""
    cfg = build_configuration(accounts={"one": Account("one", frozenset({KEY}))})
    sim = Simulation(cfg)
    for number in range(targets):
        failure_domain = ("a1", "b1", "a2", "b2")[number % 4]
        announcement = announce(f"t{number}", slots=8, failure_domain=failure_domain)
        sim.add_target(announcement, service_time=millis(40))
    for number in range(count):
        sim.add_host(f"h{number}", DOMAINS[number % len(DOMAINS)])
    return sim


def start_limited(rate: float) -> tuple[Simulation, ModelTarget]:
    """Return loaded hosts and a target whose limit they have known for some seconds."""
    sim = build_fleet()
    sim.generate_load(list(sim.hosts), 150, seconds(40))
    target = sim.targets["t0"]
    target.rate_limit = rate
    sim.run(seconds(4))
    return sim, target


def count_most(target: ModelTarget, since: int) -> int:
    """Return the most requests that reached a target in any window."""
    times = [at for at, _ in target.arrivals if at >= since]
    return max(
        (sum(start <= at < start + WINDOW_US for at in times) for start in times),
        default=0,
    )


class AdvertisedLimitTests(TestCase):
    def check(self, target: ModelTarget, rate: float, since: int) -> None:
        allowed = rate * WINDOW_US / seconds(1) * TOLERANCE_RATIO + TOLERANCE_REQUESTS
        self.assertLessEqual(count_most(target, since), allowed, f"{rate}/s")

    def test_target_gets_no_more_than_the_rate_it_advertised(self):
        for rate in (0.0, 0.4, 1.5, 2.4, 10.0):
            sim = build_fleet()
            sim.generate_load(list(sim.hosts), 150, seconds(20))
            sim.run(seconds(5))
            limited = [sim.targets["t0"], sim.targets["t1"]]
            for target in limited:
                target.rate_limit = rate
            since = sim.clock.now + SETTLING_US
            sim.run(seconds(15))
            for target in limited:
                self.check(target, rate, since)

    def test_limited_target_is_used(self):
        sim, target = start_limited(2.4)
        since = sim.clock.now
        sim.run(seconds(16))
        count = sum(at >= since for at, _ in target.arrivals)
        self.assertGreaterEqual(count, 2.4 * 16 * 0.6)

    def test_limit_holds_while_hosts_restart_one_after_another(self):
        sim, target = start_limited(2.4)
        since = sim.clock.now
        started = {}
        for number, name in enumerate(list(sim.hosts)):
            sim.kill_host(name)
            sim.run(seconds(1))
            sim.add_host(name, DOMAINS[number % len(DOMAINS)])
            started[name] = sim.clock.now
            sim.run(seconds(2))
        sim.run(seconds(4))
        # A host that has just started may not know the limit until it gets an answer.
        target.arrivals = [
            (at, host)
            for at, host in target.arrivals
            if not started[host] <= at < started[host] + millis(500)
        ]
        self.check(target, 2.4, since)

    def test_host_that_starts_learns_the_limit_from_the_others(self):
        sim, _ = start_limited(2.4)
        for number in (0, 7):
            sim.kill_host(f"h{number}")
            sim.run(seconds(1))
            host = sim.add_host(f"h{number}", DOMAINS[number])
            sim.run(millis(300))
            self.assertEqual(host.state.targets["t0"].limit.rate, 2.4)

    def test_limit_holds_while_its_holder_is_cut_off_from_the_others(self):
        for name in [f"h{number}" for number in range(5)]:
            sim, target = start_limited(2.4)
            since = sim.clock.now
            sim.isolated.add(name)
            sim.run(seconds(12))
            self.check(target, 2.4, since)

    def test_all_hosts_send_again_after_the_limit_has_ended(self):
        for rate in (0.0, 2.4):
            sim, target = start_limited(rate)
            sim.run(seconds(6))
            target.rate_limit = inf
            sim.run(seconds(12))
            since = sim.clock.now - seconds(4)
            for host in sim.hosts.values():
                self.assertFalse(host.state.targets["t0"].limit.in_force)
            self.assertGreater(sum(at >= since for at, _ in target.arrivals), 40)

    def test_answers_without_a_readable_limit_do_not_end_it(self):
        sim, target = start_limited(2.4)
        since = sim.clock.now
        target.rate_limit = None
        sim.run(seconds(8))
        self.check(target, 2.4, since)

    def test_limit_that_falls_binds_at_once(self):
        sim, target = start_limited(20.0)
        target.rate_limit = 1.0
        since = sim.clock.now + seconds(1)
        sim.run(seconds(8))
        self.check(target, 1.0, since)

    def test_health_checks_count_against_the_limit(self):
        sim, target = start_limited(0.4)
        target.mode = "dead"
        since = sim.clock.now
        sim.run(seconds(12))
        self.check(target, 0.4, since)


class RefusalTests(TestCase):
    def test_callers_beyond_all_limits_are_refused_at_once_and_return_spread(self):
        sim = build_fleet(targets=2)
        for target in sim.targets.values():
            target.rate_limit = 3.0
        sim.generate_load(list(sim.hosts), 60, seconds(12))
        sim.run(seconds(12))
        since = sim.clock.now - seconds(8)
        refused = [
            outcome
            for outcome in sim.outcomes
            if outcome.refusal is not None and outcome.started_at >= since
        ]
        self.assertGreater(len(refused), 200)
        for outcome in refused:
            self.assertEqual(outcome.latency, 0)
            self.assertIs(outcome.refusal.verdict, Verdict.NOT_RUN)
            self.assertGreaterEqual(outcome.refusal.retry_after, millis(100))
        delays = [outcome.refusal.retry_after for outcome in refused]
        self.assertGreater(max(delays) - min(delays), seconds(1))

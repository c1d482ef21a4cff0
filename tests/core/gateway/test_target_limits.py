"""Rate limits that targets name in their answers, shared by all hosts.

Load pattern: many callers of a service while some of its targets ask for less.
"""

from __future__ import annotations

from unittest import TestCase

from almondgap_core.gateway.configuration import Account
from almondgap_core.units import millis, seconds
from almondgap_testkit.gateways.builders import KEY, announce, build_configuration
from almondgap_testkit.gateways.simulation import ModelTarget, Simulation

DOMAINS = ("a1", "a1", "a1", "a2", "a2", "b1", "b2", "b2")

#: Window over which the requests that a target gets are counted, and the tolerance
#: over what its limit allows in it.
WINDOW_US = seconds(4)
TOLERANCE_RATIO = 1.5
TOLERANCE_REQUESTS = 5

#: Time after a target first named a limit from which the limit must hold.
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


def count_most(target: ModelTarget, since: int) -> int:
    """Return the most requests that reached a target in any window."""
    times = [at for at, _ in target.arrivals if at >= since]
    return max(
        (sum(start <= at < start + WINDOW_US for at in times) for start in times),
        default=0,
    )


class NamedLimitTests(TestCase):
    def check(self, target: ModelTarget, rate: float, since: int) -> None:
        allowed = rate * WINDOW_US / seconds(1) * TOLERANCE_RATIO + TOLERANCE_REQUESTS
        self.assertLessEqual(count_most(target, since), allowed, f"{rate}/s")

    def test_target_gets_no_more_than_the_rate_it_named(self):
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

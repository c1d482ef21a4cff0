"""Rate limit for requests to targets that are warming up.

Load pattern: a failure domain whose targets come back together with empty caches, while
several hosts keep receiving requests for them.
"""

from __future__ import annotations

from unittest import TestCase

from almondgap_core.gateway.configuration import Account
from almondgap_core.gateway.events import EvacuationsRead
from almondgap_core.units import millis, seconds
from almondgap_testkit.gateways.builders import KEY, announce, build_configuration
from almondgap_testkit.gateways.simulation import Simulation

HOSTS = ["h1", "h2", "h3", "h4"]
RATE = 5.0
BOUND = RATE * 1.5 + 5


class WarmupTests(TestCase):
    def test_warmup_rate_holds_over_all_hosts(self):
        cfg = build_configuration(accounts={"one": Account("one", frozenset({KEY}))})
        sim = Simulation(cfg)
        for number in range(2):
            announcement = announce(f"t{number}", slots=20, warmup_left=seconds(3))
            sim.add_target(announcement, service_time=millis(20))
        for name in HOSTS:
            sim.add_host(name)
        sim.generate_load(HOSTS, 100, seconds(3))
        sim.run(seconds(3))
        for target in sim.targets.values():
            times = [at for at, _ in target.runs]
            for start in times:
                count = sum(start <= at < start + seconds(1) for at in times)
                self.assertLessEqual(count, BOUND)
        ran = sum(len(target.runs) for target in sim.targets.values())
        self.assertGreaterEqual(ran, 2 * RATE)

    def test_targets_of_a_restored_domain_warm_up_at_every_host(self):
        cfg = build_configuration(accounts={"one": Account("one", frozenset({KEY}))})
        sim = Simulation(cfg)
        target = sim.add_target(announce("t1", slots=20), service_time=millis(20))
        for name in HOSTS:
            sim.add_host(name)
        for host in sim.hosts.values():
            sim._feed(host, EvacuationsRead, frozenset({"a1"}))
        sim.generate_load(HOSTS, 100, seconds(6))
        sim.run(seconds(2))
        self.assertEqual(target.runs, [])
        for host in sim.hosts.values():
            sim._feed(host, EvacuationsRead, frozenset())
        sim.run(seconds(2))
        times = [at for at, _ in target.runs]
        for start in times:
            count = sum(start <= at < start + seconds(1) for at in times)
            self.assertLessEqual(count, BOUND)

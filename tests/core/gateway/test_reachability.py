"""Hosts that reach no target while their callers and the other hosts reach them.

Load pattern: usual traffic at all hosts, some of which lose all their targets for
seconds.
"""

from __future__ import annotations

import random
from unittest import TestCase

from almondgap_core.gateway.configuration import Account
from almondgap_core.units import millis, seconds
from almondgap_testkit.gateways.builders import KEY, announce, build_configuration
from almondgap_testkit.gateways.simulation import Simulation

DOMAINS = ("a1", "a1", "a1", "a2", "a2", "b1", "b2", "b2")
MANNERS = ("hang", "reset", "refuse")

#: Time after the begin of a partition from which first tries are counted, and the
#: failures that are allowed then.
CONTACT_US = seconds(3)
MAX_FAILURES = 10
MAX_FAILURE_SHARE = 1 / 50
PARTITION_US = seconds(12)


def build_fleet(seed: int = 1) -> Simulation:
    """Return hosts of two regions with targets in all failure domains."""
    cfg = build_configuration(accounts={"one": Account("one", frozenset({KEY}))})
    sim = Simulation(cfg, rng=random.Random(seed))
    for number in range(16):
        failure_domain = ("a1", "b1", "a2", "b2")[number % 4]
        target = announce(f"t{number}", slots=6, failure_domain=failure_domain)
        sim.add_target(target, service_time=millis(60))
    for number, failure_domain in enumerate(DOMAINS):
        sim.add_host(f"h{number}", failure_domain)
    sim.run(seconds(2))
    return sim


def partition(sim: Simulation, hosts: tuple[str, ...], manner: str) -> None:
    """Cut hosts off from all targets for some time under load."""
    sim.generate_load(list(sim.hosts), 100, seconds(30))
    sim.generate_load(list(sim.hosts), 40, seconds(30), path="/orders/1")
    sim.run(seconds(5))
    for host in hosts:
        sim.partition_host(host, manner)
    sim.run(PARTITION_US)
    sim.partitioned.clear()


def count_failures(sim: Simulation, hosts: tuple[str, ...], since: int) -> tuple:
    """Return the number of requests at hosts since a time, and of those not served."""
    outcomes = [
        each for each in sim.outcomes if each.host in hosts and since <= each.started_at
    ]
    return len(outcomes), sum(each.status != 200 for each in outcomes)


class PartitionTests(TestCase):
    def test_callers_of_hosts_without_targets_are_served(self):
        for manner in MANNERS:
            for hosts in (("h1",), ("h2", "h3"), ("h0", "h1", "h2")):
                sim = build_fleet()
                partition(sim, hosts, manner)
                since = sim.clock.now - PARTITION_US + CONTACT_US
                count, failed = count_failures(sim, hosts, since)
                with self.subTest(manner=manner, hosts=hosts):
                    self.assertLessEqual(
                        failed, MAX_FAILURES + count * MAX_FAILURE_SHARE
                    )

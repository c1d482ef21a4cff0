"""A request of death: it crashes each target that begins to run it, and comes again.

Load pattern: usual traffic, beside it the same deadly request at any host.
"""

from __future__ import annotations

import random
from unittest import TestCase

from almondgap_core.gateway.configuration import Account
from almondgap_core.units import seconds
from almondgap_testkit.gateways.builders import KEY, announce, build_configuration
from almondgap_testkit.gateways.simulation import Simulation

DOMAINS = ("a1", "a1", "a1", "a2", "a2", "b1", "b2", "b2")
TARGETS = 16

#: Time after the third crash from which sends are counted, and how many are allowed.
CONTACT_US = seconds(3)
MAX_SENDS = 3


def build_fleet(seed: int = 1, hosts: int = len(DOMAINS)) -> Simulation:
    """Return hosts of two regions with targets in all failure domains."""
    cfg = build_configuration(accounts={"one": Account("one", frozenset({KEY}))})
    sim = Simulation(cfg, rng=random.Random(seed), deadly={"deadly"})
    for number in range(TARGETS):
        failure_domain = ("a1", "b1", "a2", "b2")[number % 4]
        sim.add_target(announce(f"t{number}", slots=3, failure_domain=failure_domain))
    for number in range(hosts):
        sim.add_host(f"h{number}", DOMAINS[number])
    sim.run(seconds(2))
    return sim


def repeat_deadly(sim: Simulation, rate: float, duration: int, **call) -> None:
    """Schedule the deadly request at random hosts for some time."""
    hosts = list(sim.hosts)
    fields = {"content": "deadly", "object_prefix": "deadly", "things": 1}
    sim.generate_load(hosts, rate, duration, **{**fields, **call})


def list_crashes(sim: Simulation) -> list[int]:
    """Return the times at which targets crashed, in order."""
    return sorted(at for target in sim.targets.values() for at in target.crashes)


def count_late_sends(sim: Simulation) -> int:
    """Return how often the deadly request reached targets long after three crashes."""
    since = list_crashes(sim)[2] + CONTACT_US
    return sum(
        at > since and content == "deadly"
        for target in sim.targets.values()
        for at, content in target.contents
    )


class RequestOfDeathTests(TestCase):
    def test_request_that_crashed_three_targets_is_sent_no_more(self):
        for seed in range(5):
            sim = build_fleet(seed)
            sim.generate_load(list(sim.hosts), 80, seconds(30))
            repeat_deadly(sim, 4, seconds(30))
            sim.run(seconds(32))
            with self.subTest(seed=seed):
                self.assertLessEqual(count_late_sends(sim), MAX_SENDS)

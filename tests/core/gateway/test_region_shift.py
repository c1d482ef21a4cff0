"""Bound on how fast requests move to targets of other regions.

Load pattern: callers of one region suddenly send three times their usual rate, or a
quarter of the region's targets are withdrawn, while the other region is lightly loaded.
"""

from __future__ import annotations

import random
from collections import Counter
from unittest import TestCase

from almondgap_core.gateway.configuration import Account
from almondgap_core.gateway.reports import RequestPlaced
from almondgap_core.units import millis, seconds
from almondgap_testkit.gateways.builders import (
    KEY,
    REGIONS,
    START,
    announce,
    build_configuration,
)
from almondgap_testkit.gateways.simulation import Simulation

#: The platform's bound on the fraction of a region's requests that change their region
#: of service from one window to the next.
MAX_SHIFT = 0.15
WINDOW_US = seconds(2)

HOSTS = {"h1": "a1", "h2": "a2", "h3": "b1", "h4": "b2"}

#: Requests per second of each region: high enough that randomness alone moves only a
#: few percent.
RATE = 240.0
OBJECTS = 160


def build_simulation(seed: int) -> Simulation:
    """Return a simulation of two regions with 24 targets each."""
    cfg = build_configuration(accounts={"one": Account("one", frozenset({KEY}))})
    sim = Simulation(cfg, rng=random.Random(seed))
    for number in range(48):
        domain = list(REGIONS)[number % 4]
        announcement = announce(f"t{number}", failure_domain=domain, slots=3)
        sim.add_target(announcement, service_time=millis(100))
    for name, failure_domain in HOSTS.items():
        sim.add_host(name, failure_domain)
    sim.generate_load(["h1", "h2"], RATE, seconds(16), things=OBJECTS)
    sim.generate_load(["h3", "h4"], RATE, seconds(16), things=OBJECTS)
    return sim


def find_shifts(sim: Simulation, region: str) -> list[float]:
    """Return the fractions that moved between windows, after the first six seconds."""
    windows: dict[int, Counter] = {}
    for at, host, report in sim.reports:
        if isinstance(report, RequestPlaced) and REGIONS[HOSTS[host]] == region:
            window = (at - START) // WINDOW_US
            windows.setdefault(window, Counter())[report.region] += 1
    fractions = {
        window: counts[region] / counts.total()
        for window, counts in windows.items()
        if 3 <= window < 8
    }
    return [
        abs(fractions[window] - fractions[window - 1])
        for window in fractions
        if window > 3
    ]


class ShiftTests(TestCase):
    def test_surge_moves_requests_slowly(self):
        sim = build_simulation(1)
        sim.generate_load(
            ["h1", "h2"], 2 * RATE, seconds(6), seconds(8), things=OBJECTS
        )
        sim.run(seconds(16))
        self.assertLessEqual(max(find_shifts(sim, "a")), MAX_SHIFT)
        self.assertLessEqual(max(find_shifts(sim, "b")), MAX_SHIFT)

    def test_lost_targets_of_a_failure_domain_move_requests_slowly(self):
        sim = build_simulation(2)
        sim.run(seconds(8))
        for host in sim.hosts.values():
            for number in range(0, 48, 8):
                sim.withdraw_target(host, f"t{number}")
        sim.run(seconds(8))
        self.assertLessEqual(max(find_shifts(sim, "a")), MAX_SHIFT)

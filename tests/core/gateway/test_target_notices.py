"""What targets say of themselves in their answers: leaving, and not before.

Load pattern: many callers of a service while its targets leave one after another, or
turn requests away for some seconds.
"""

from __future__ import annotations

import os
import random
from unittest import TestCase

from almondgap_core.gateway.configuration import Account
from almondgap_core.units import millis, seconds
from almondgap_testkit.gateways.builders import KEY, announce, build_configuration
from almondgap_testkit.gateways.simulation import ModelTarget, Simulation

DOMAINS = ("a1", "a1", "a1", "a2", "a2", "b1", "b2", "b2")
TARGETS = 16

#: Time after an answer in which requests may still be under way, and requests that are
#: allowed between then and the end of the time for which a target wants none.
UNDER_WAY_US = millis(500)
MAX_SENDS = 2

#: Seeds that are played, and the first of them.
COUNT = int(os.environ.get("ALMONDGAP_FAULT_SEEDS", "5"))
FIRST = int(os.environ.get("ALMONDGAP_FIRST_SEED", "1"))


def build_fleet(seed: int) -> Simulation:
    """Return hosts and targets of two regions under load."""
    cfg = build_configuration(accounts={"one": Account("one", frozenset({KEY}))})
    sim = Simulation(cfg, rng=random.Random(seed))
    for number in range(TARGETS):
        failure_domain = ("a1", "b1", "a2", "b2")[number % 4]
        announcement = announce(f"t{number}", slots=6, failure_domain=failure_domain)
        sim.add_target(announcement, service_time=millis(60))
    for number, failure_domain in enumerate(DOMAINS):
        sim.add_host(f"h{number}", failure_domain)
    sim.run(seconds(2))
    sim.generate_load(list(sim.hosts), 150, seconds(26))
    sim.generate_load(list(sim.hosts), 50, seconds(26), path="/orders/1")
    return sim


def disturb(sim: Simulation) -> dict[str, list[int]]:
    """Let targets leave and turn requests away while hosts freeze and restart.

    :return: times at which each host was frozen or started, in microseconds.
    """
    rng = sim.rng
    excused: dict[str, list[int]] = {name: [] for name in sim.hosts}
    targets = [f"t{number}" for number in range(TARGETS)]
    for name in targets[: TARGETS // 2]:
        at = sim.clock.now + round(rng.uniform(0, 20) * 1_000_000)
        sim.clock.call_at(
            at, lambda name=name: setattr(sim.targets[name], "leaving", 1)
        )
    for name in targets[TARGETS // 2 :]:
        at = sim.clock.now + round(rng.uniform(0, 15) * 1_000_000)
        until = at + round(rng.uniform(0.3, 20) * 1_000_000)
        target = sim.targets[name]
        sim.clock.call_at(
            at,
            lambda target=target, until=until: setattr(target, "rejects_until", until),
        )
    for _ in range(10):
        name = rng.choice(list(sim.hosts))
        sim.run(seconds(1.2))
        excused[name].append(sim.clock.now)
        if rng.random() < 0.5:
            duration = round(rng.uniform(0.3, 2) * 1_000_000)
            sim.freeze_host(name, duration)
            excused[name].append(sim.clock.now + duration)
        else:
            sim.kill_host(name)
            sim.run(seconds(0.8))
            sim.add_host(name, DOMAINS[int(name[1:])])
            excused[name].append(sim.clock.now)
    sim.run(seconds(10))
    return excused


def list_breaches(target: ModelTarget, excused: dict[str, list[int]]) -> list[str]:
    """Return each time that a host went against what a target had said."""
    breaches = []
    for at, host, until in target.told:
        since = at + UNDER_WAY_US
        end = until if until is not None else since + seconds(60)
        excuse = min((each for each in excused[host] if each >= at), default=end)
        sends = [
            arrived
            for arrived, sender in target.arrivals
            if sender == host and since < arrived < min(end, excuse)
        ]
        if len(sends) > (MAX_SENDS if until is not None else 0):
            what = "not before" if until is not None else "leaving"
            breaches.append(f"{host}: {len(sends)} requests after {what} at {at}")
    return breaches


class TargetNoticeTests(TestCase):
    def test_hosts_send_nothing_to_targets_that_want_none(self):
        for seed in range(FIRST, FIRST + COUNT):
            sim = build_fleet(seed)
            excused = disturb(sim)
            breaches = [
                f"{name}: {breach}"
                for name, target in sim.targets.items()
                for breach in list_breaches(target, excused)
            ]
            with self.subTest(seed=seed):
                self.assertEqual(breaches[:3], [])

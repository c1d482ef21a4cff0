"""A request of death: it crashes each target that begins to run it, and comes again.

Load pattern: usual traffic, beside it the same deadly request at any host.
"""

from __future__ import annotations

import random
from unittest import TestCase

from almondgap_core.gateway.configuration import Account
from almondgap_core.gateway.effects import CheckConnection
from almondgap_core.gateway.events import (
    AttemptFailed,
    ConnectionChecked,
    Failure,
    TargetAnswered,
    Ticked,
)
from almondgap_core.units import seconds
from almondgap_core.verdict import Reason, Verdict
from almondgap_testkit.gateways.builders import (
    KEY,
    GatewayHarness,
    announce,
    build_configuration,
)
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


def list_quarantined(sim: Simulation) -> list[str]:
    """Return the ids of the requests that were refused as quarantined."""
    return [
        outcome.request_id
        for outcome in sim.outcomes
        if outcome.refusal and outcome.refusal.reason is Reason.QUARANTINED
    ]


def count_late_sends(sim: Simulation) -> int:
    """Return how often the deadly request reached targets long after three crashes."""
    since = list_crashes(sim)[2] + CONTACT_US
    return sum(
        at > since and content == "deadly"
        for target in sim.targets.values()
        for at, content, _ in target.contents
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

    def test_request_of_death_ends_few_targets(self):
        for seed in range(5):
            sim = build_fleet(seed)
            sim.generate_load(list(sim.hosts), 80, seconds(30))
            repeat_deadly(sim, 4, seconds(30))
            sim.run(seconds(32))
            with self.subTest(seed=seed):
                self.assertLessEqual(len(list_crashes(sim)), 3 + MAX_SENDS)

    def test_hosts_that_start_or_were_silent_know_the_request(self):
        for seed in range(5):
            sim = build_fleet(seed)
            repeat_deadly(sim, 4, seconds(40))
            sim.isolated.add("h5")
            sim.run(seconds(3))
            for number in range(3):
                sim.kill_host(f"h{number}")
                sim.run(seconds(1))
                sim.add_host(f"h{number}", DOMAINS[number])
            sim.isolated.clear()
            sim.run(seconds(38))
            with self.subTest(seed=seed):
                self.assertLessEqual(count_late_sends(sim), MAX_SENDS)

    def test_fleet_that_restarts_knows_the_request(self):
        for seed in range(5):
            sim = build_fleet(seed)
            repeat_deadly(sim, 4, seconds(60))
            sim.run(seconds(10))
            for name in sim.hosts:
                sim.kill_host(name)
            sim.run(seconds(1))
            for number, failure_domain in enumerate(DOMAINS):
                sim.add_host(f"h{number}", failure_domain)
            sim.run(seconds(50))
            with self.subTest(seed=seed):
                self.assertLessEqual(count_late_sends(sim), MAX_SENDS)
                self.assertLessEqual(len(list_crashes(sim)), 3 + MAX_SENDS)

    def test_host_that_hears_no_other_learns_the_request_from_the_store(self):
        for seed in range(5):
            sim = build_fleet(seed)
            repeat_deadly(sim, 4, seconds(30))
            sim.run(seconds(1))
            sim.isolated.add("h5")
            sim.run(seconds(12))
            since = list_crashes(sim)[2] + CONTACT_US
            sends = [
                at
                for target in sim.targets.values()
                for at, content, host in target.contents
                if content == "deadly" and host == "h5" and at > since
            ]
            with self.subTest(seed=seed):
                self.assertLessEqual(len(sends), 1)

    def test_request_of_death_that_comes_rarely_is_known(self):
        sim = build_fleet()
        for number in range(12):
            self.assertTrue(sim.call(f"h{number % 8}", content="deadly"))
            sim.run(seconds(150))
        self.assertLessEqual(count_late_sends(sim), MAX_SENDS)

    def test_bystanders_of_a_request_of_death_are_served(self):
        for seed in range(5):
            sim = build_fleet(seed)
            sim.generate_load(list(sim.hosts), 80, seconds(30), things=10)
            repeat_deadly(sim, 4, seconds(30))
            sim.run(seconds(32))
            usual = [each for each in sim.outcomes if each.content != "deadly"]
            refused = set(list_quarantined(sim))
            self.assertFalse(refused & {each.request_id for each in usual})
            self.assertLessEqual(
                sum(each.status != 200 for each in usual), len(usual) * 0.05
            )

    def test_loss_of_many_targets_quarantines_nothing(self):
        for seed in range(5):
            sim = build_fleet(seed)
            sim.generate_load(list(sim.hosts), 80, seconds(30), things=10)
            for _ in range(4):
                sim.run(seconds(5))
                for number in range(0, TARGETS, 2):
                    sim.crash_target(f"t{number}")
            sim.run(seconds(12))
            self.assertEqual(list_quarantined(sim), [])

    def test_request_that_was_wrongly_suspected_is_served_again(self):
        sim = build_fleet()
        repeat_deadly(sim, 8, seconds(10))
        sim.run(seconds(10))
        self.assertTrue(list_quarantined(sim))
        sim.deadly.clear()
        repeat_deadly(sim, 8, seconds(130))
        sim.run(seconds(120))
        refused = len(list_quarantined(sim))
        sim.run(seconds(12))
        self.assertEqual(len(list_quarantined(sim)), refused)


class EvidenceTests(TestCase):
    def crash(self, gateway: GatewayHarness, refused: bool, answered: bool) -> None:
        """Break off a request and let the connection check and an answer follow."""
        gateway.call(content="c1", affinity_key="8")
        number = gateway.number
        target = gateway.state.calls[number].target
        gateway.call(content="c2")
        other = gateway.number
        gateway.now += 10
        failure = (Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
        gateway.feed(AttemptFailed, number, 1, *failure)
        gateway.now += 10
        gateway.feed(ConnectionChecked, target, not refused)
        gateway.now += 10
        if answered:
            gateway.feed(TargetAnswered, other, 1, 200, False, False, True)

    def build(self) -> GatewayHarness:
        targets = tuple(announce(f"t{number}", slots=9) for number in range(4))
        return GatewayHarness.build(targets)

    def test_crash_counts_once_its_target_refuses_connections(self):
        gateway = self.build()
        self.crash(gateway, refused=True, answered=True)
        [suspect] = gateway.state.suspects.values()
        self.assertEqual(suspect.count, 1)

    def test_check_of_a_connection_that_gets_no_answer_is_repeated(self):
        gateway = self.build()
        gateway.call(content="c1")
        target = gateway.state.calls[gateway.number].target
        failure = (Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
        gateway.feed(AttemptFailed, gateway.number, 1, *failure)
        for fields in ({"accepted": None}, {"accepted": None, "performed": False}):
            gateway.now += seconds(0.25)
            gateway.feed(ConnectionChecked, target, **fields)
            gateway.now += seconds(0.25)
            gateway.feed(Ticked)
            checked = {check.target for check in gateway.find(CheckConnection)}
            self.assertIn(target, checked)
        gateway.feed(ConnectionChecked, target, False)
        gateway.now += 10
        other = next(name for name in gateway.state.targets if name != target)
        gateway.feed(ConnectionChecked, other, True)
        [suspect] = gateway.state.suspects.values()
        self.assertEqual(suspect.count, 1)

    def test_broken_connection_to_a_living_target_is_no_crash(self):
        gateway = self.build()
        self.crash(gateway, refused=False, answered=True)
        self.assertEqual(gateway.state.suspects, {})

    def test_host_without_a_network_is_no_witness(self):
        gateway = self.build()
        self.crash(gateway, refused=True, answered=False)
        self.assertEqual(gateway.state.suspects, {})

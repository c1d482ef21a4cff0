"""What targets say of themselves in their answers: leaving, and not before.

Load pattern: many callers of a service while its targets leave one after another, or
turn requests away for some seconds.
"""

from __future__ import annotations

import os
import random
from math import inf
from unittest import TestCase

from almondgap_core.gateway.configuration import Account
from almondgap_core.gateway.effects import Deliver, Probe, Refuse, Send
from almondgap_core.gateway.events import (
    AttemptFailed,
    Failure,
    RelayAnswered,
    StoreLost,
    StoreRegained,
    TargetAnnounced,
    TargetAnswered,
    TargetWithdrawn,
    Ticked,
)
from almondgap_core.gateway.reports import TargetPaused
from almondgap_core.units import millis, seconds
from almondgap_core.verdict import Verdict
from almondgap_testkit.gateways.builders import (
    KEY,
    GatewayHarness,
    announce,
    build_configuration,
)
from almondgap_testkit.gateways.model_fleet import ModelTarget
from almondgap_testkit.gateways.simulation import Simulation

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


class SingleHostTests(TestCase):
    def build(self, count: int = 1) -> GatewayHarness:
        """Return a host with targets, of which a request went to the first."""
        targets = tuple(announce(f"t{number}", slots=4) for number in range(count))
        gateway = GatewayHarness.build(targets)
        gateway.call()
        gateway.now += millis(50)
        return gateway

    def answer(self, gateway: GatewayHarness, status: int = 200, **notice) -> None:
        """Feed an answer to the latest request."""
        rejected = status == 503
        fields = (gateway.number, 1, status, rejected, False, not rejected, None, inf)
        gateway.feed(TargetAnswered, *fields, **notice)

    def test_target_that_leaves_gets_nothing_whatever_the_store_lists(self):
        gateway = self.build()
        self.answer(gateway, leaving=True)
        self.assertEqual(len(gateway.find(Deliver)), 1)
        for change in (
            (TargetAnnounced, announce("t0", sequence=2)),
            (TargetWithdrawn, "t0"),
            (TargetAnnounced, announce("t0", sequence=3)),
            (StoreLost, "down"),
            (StoreRegained,),
        ):
            gateway.feed(*change)
            gateway.now += seconds(1)
            gateway.feed(Ticked)
            gateway.call()
            self.assertEqual(gateway.find(Send), [], change)
            [refuse] = gateway.find(Refuse)
            self.assertIs(refuse.refusal.verdict, Verdict.NOT_RUN)

    def test_target_that_starts_anew_is_used(self):
        for notice in ({"leaving": True}, {"retry_after": seconds(20)}):
            gateway = self.build()
            self.answer(gateway, 503, **notice)
            gateway.feed(TargetAnnounced, announce("t0", incarnation=2_000))
            gateway.now += millis(100)
            gateway.call()
            self.assertEqual(len(gateway.find(Send)), 1, notice)

    def test_retry_goes_past_a_target_that_leaves(self):
        gateway = self.build(count=2)
        [first] = gateway.state.calls.values()
        self.answer(gateway, 503, leaving=True)
        [send] = gateway.find(Send)
        self.assertNotEqual(send.target, first.sent_to[0])

    def test_requests_under_way_at_a_target_that_leaves_are_finished(self):
        gateway = self.build()
        gateway.call()
        self.answer(gateway, leaving=True)
        gateway.feed(TargetAnswered, 1, 1, 200, False, False, True)
        self.assertEqual(len(gateway.find(Deliver)), 1)

    def test_health_of_a_paused_target_is_not_checked(self):
        gateway = self.build()
        gateway.call()
        self.answer(gateway, 503, retry_after=seconds(5))
        failure = (Failure.NOT_CONNECTED, Verdict.NOT_RUN)
        gateway.feed(AttemptFailed, 1, 1, *failure)
        self.assertIsNotNone(gateway.state.targets["t0"].down_since)
        for _ in range(4):
            gateway.now += seconds(1)
            gateway.feed(Ticked)
            self.assertEqual(gateway.find(Probe), [])
        gateway.now += seconds(3)
        gateway.feed(Ticked)
        self.assertEqual(len(gateway.find(Probe)), 1)

    def test_refused_caller_learns_when_the_first_target_takes_requests(self):
        gateway = self.build(count=2)
        self.answer(gateway, 503, retry_after=seconds(8))
        [send] = gateway.find(Send)
        fields = (gateway.number, send.attempt, 503, True, False, False, None, inf)
        gateway.feed(TargetAnswered, *fields, retry_after=seconds(3))
        delays = set()
        for _ in range(20):
            gateway.call()
            [refuse] = gateway.find(Refuse)
            self.assertIn("2 paused", refuse.refusal.detail)
            delays.add(refuse.refusal.retry_after)
        self.assertGreaterEqual(min(delays), seconds(3))
        self.assertLess(max(delays), seconds(4))
        self.assertGreater(len(delays), 10)

    def test_callers_return_to_a_target_a_few_at_a_time(self):
        gateway = self.build()
        self.answer(gateway, 503, retry_after=seconds(2))
        gateway.now += seconds(2.3)
        sent = 0
        for _ in range(8):
            gateway.call()
            sent += len(gateway.find(Send))
        self.assertLessEqual(sent, 4)
        self.assertGreater(sent, 0)

    def test_shorter_wish_ends_no_longer_one(self):
        gateway = self.build()
        gateway.call()
        self.answer(gateway, 503, retry_after=seconds(9))
        gateway.feed(
            TargetAnswered, 1, 1, 503, True, False, False, retry_after=seconds(1)
        )
        gateway.now += seconds(6)
        gateway.call()
        self.assertEqual(gateway.find(Send), [])

    def test_pause_of_an_hour_is_reported(self):
        gateway = self.build()
        self.answer(gateway, 503, retry_after=seconds(3_600))
        paused = [r for r in gateway.list_reports() if isinstance(r, TargetPaused)]
        self.assertEqual([each.pause_ms for each in paused], [3_600_000])

    def test_other_target_at_the_address_says_nothing_of_this_one(self):
        gateway = self.build()
        fields = (gateway.number, 1, 421, True, True, False)
        gateway.feed(TargetAnswered, *fields, leaving=True)
        self.assertEqual(gateway.state.notices, {})

    def test_answer_through_another_host_tells_that_a_target_leaves(self):
        gateway = self.build()
        gateway.feed(RelayAnswered, 99, 1, 200, True, None, "t0")
        gateway.call()
        self.assertEqual(gateway.find(Send), [])
        gateway.feed(RelayAnswered, 99, 1, 200, True, None, "unknown")
        self.assertEqual(list(gateway.state.notices), ["t0"])

    def test_notices_of_targets_that_are_gone_are_forgotten(self):
        gateway = self.build()
        self.answer(gateway, leaving=True)
        gateway.feed(TargetWithdrawn, "t0")
        gateway.now += seconds(601)
        gateway.feed(Ticked)
        self.assertEqual(gateway.state.notices, {})

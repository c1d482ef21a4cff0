"""Tests that withdrawn keys stop working, and that lists of keys are trusted only while
the evidence that they are current is recent.
"""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from almondgap_core.effects import SendMessage
from almondgap_core.events import PeerMessage, Tick
from almondgap_core.keys.messages import EvidenceRequest, EvidenceResponse
from almondgap_core.keys.trust import may_trust
from almondgap_core.reducer import step
from almondgap_core.units import seconds
from almondgap_core.verdict import Reason, Verdict
from almondgap_testkit.builders import build_entry, build_state
from almondgap_testkit.fakes.network import PLATFORM
from almondgap_testkit.fakes.withdrawals import (
    BOUND_S,
    DOMAINS,
    HOSTS,
    OPEN_SERVICE,
    OUTAGE_BOUND_S,
    Withdrawals,
)

#: Time for which a withdrawn key may still be accepted on connected hosts.
WITHDRAWAL_S = 5

ALL_PASS = dict.fromkeys(HOSTS, True)
NONE_PASSES = dict.fromkeys(HOSTS, False)


class TrustTests(TestCase):
    def setUp(self):
        self.fleet = Withdrawals()

    def test_withdrawn_key_stops_everywhere(self):
        self.assertEqual(self.fleet.probe(), ALL_PASS)
        self.fleet.withdraw()
        self.fleet.run(WITHDRAWAL_S)
        self.assertEqual(self.fleet.probe(), NONE_PASSES)

    def test_running_request_outlives_the_withdrawal(self):
        for target in self.fleet.world.targets.values():
            target.service_time = seconds(1.9)
        running = self.fleet.ask("a-1")
        self.fleet.run(0.1)
        self.fleet.withdraw()
        self.fleet.run(WITHDRAWAL_S)
        self.assertIs(running.verdict, Verdict.RAN)

    def test_isolated_failure_domain_stops_trusting_within_the_bound(self):
        self.fleet.world.network.isolate("a")
        self.fleet.withdraw()
        self.fleet.run(BOUND_S)
        refused = self.fleet.ask("a-1")
        self.assertEqual(self.fleet.probe(OPEN_SERVICE), ALL_PASS)
        self.assertIs(refused.verdict, Verdict.NOT_RUN)
        self.assertIs(refused.refusal.reason, Reason.KEYS_STALE)
        self.fleet.world.network.heal()
        self.fleet.run(WITHDRAWAL_S)
        self.assertEqual(self.fleet.probe(), NONE_PASSES)

    def test_isolated_failure_domain_trusts_again_when_healed(self):
        self.fleet.world.network.isolate("a")
        self.fleet.run(BOUND_S + 60)
        self.assertFalse(self.fleet.probe()["a-1"])
        self.fleet.world.network.heal()
        self.fleet.run(WITHDRAWAL_S)
        self.assertEqual(self.fleet.probe(), ALL_PASS)

    def test_evidence_of_other_hosts_replaces_contact_with_the_store(self):
        self.fleet.world.network.cut("a", PLATFORM)
        for _ in range(10):
            self.fleet.run(BOUND_S)
            self.assertEqual(self.fleet.probe(), ALL_PASS)
        self.fleet.withdraw()
        self.fleet.run(WITHDRAWAL_S)
        self.assertEqual(self.fleet.probe(), NONE_PASSES)

    def test_fleet_wide_outage_stops_no_key_within_its_bound(self):
        self.fleet.world.platform.down = True
        for _ in range(10):
            self.fleet.run(60)
            self.assertEqual(set(self.fleet.probe().values()), {True})
        self.fleet.run(OUTAGE_BOUND_S - 600)
        self.assertEqual(self.fleet.probe(), NONE_PASSES)
        self.assertEqual(self.fleet.probe(OPEN_SERVICE), ALL_PASS)

    def test_isolation_in_an_outage_is_no_evidence(self):
        self.fleet.world.platform.down = True
        self.fleet.run(60)
        self.fleet.world.network.isolate("a")
        self.fleet.run(BOUND_S)
        self.assertFalse(self.fleet.probe()["a-1"])

    def test_two_failure_domains_without_the_third_cannot_tell(self):
        network = self.fleet.world.network
        for one in ("a", "b"):
            network.cut(one, "c")
            network.cut(one, PLATFORM)
        self.fleet.withdraw()
        self.fleet.run(BOUND_S + 2)
        self.assertEqual(self.fleet.probe(), NONE_PASSES)

    def test_operators_may_allow_silent_failure_domains(self):
        fleet = Withdrawals(silent_domains=1)
        fleet.world.platform.down = True
        fleet.world.crash("c-1")
        fleet.run(60)
        self.assertEqual(set(fleet.probe().values()), {True})

    def test_withdrawal_during_an_outage_waits_for_the_store(self):
        self.fleet.world.platform.down = True
        self.fleet.run(300)
        self.fleet.world.platform.down = False
        self.fleet.withdraw()
        self.fleet.run(WITHDRAWAL_S)
        self.assertEqual(self.fleet.probe(), NONE_PASSES)

    def test_paused_host_needs_new_evidence_before_it_trusts(self):
        self.fleet.world.pause("a-1")
        self.fleet.withdraw()
        self.fleet.run(BOUND_S + 3)
        late = self.fleet.ask("a-1")
        self.fleet.world.resume("a-1")
        self.fleet.run(1)
        self.assertIs(late.verdict, Verdict.NOT_RUN)


FAULTS = st.tuples(
    st.sampled_from(("cut", "isolate", "heal", "pause", "resume", "loss", "slow")),
    st.sampled_from(DOMAINS),
    st.sampled_from((*DOMAINS, PLATFORM)),
    st.integers(1, 8),
)


class WithdrawalFaultTests(TestCase):
    @settings(max_examples=40, derandomize=True, deadline=None)
    @given(
        before=st.lists(FAULTS, max_size=5),
        after=st.lists(FAULTS, max_size=8),
        seed=st.integers(1, 100),
    )
    def test_no_host_serves_a_withdrawn_key_beyond_the_bound(self, before, after, seed):
        fleet = Withdrawals(seed)
        for fault in before:
            apply(fleet, *fault)
        fleet.withdraw()
        for fault in after:
            apply(fleet, *fault)
            self.check(fleet)
        fleet.run(BOUND_S)
        self.check(fleet)

    def check(self, fleet: Withdrawals) -> None:
        late = fleet.world.clock.now - fleet.withdrawn > seconds(BOUND_S)
        passes = fleet.probe()
        if late:
            self.assertNotIn(True, passes.values())


def apply(fleet: Withdrawals, fault: str, one: str, other: str, duration: int) -> None:
    """Inject or end one fault, then run for ``duration`` seconds."""
    network = fleet.world.network
    if fault == "cut" and one != other:
        network.cut(one, other)
    elif fault == "isolate":
        network.isolate(one)
    elif fault == "heal":
        network.heal()
    elif fault in ("pause", "resume"):
        getattr(fleet.world, fault)(f"{one}-1")
    elif fault == "loss":
        network.loss = 0.3 - network.loss
    elif fault == "slow" and one != other:
        network.slow[frozenset((one, other))] = seconds(duration)
    fleet.run(duration)


class EvidenceTests(TestCase):
    def setUp(self):
        self.state = build_state()
        self.state.settings.examined_version = 3
        self.state.keys.confirmed = None
        self.state.members.listed["b-1"] = build_entry("b-1", "b")
        effects = step(self.state, Tick(0))
        asks = [e.message for e in effects if isinstance(e, SendMessage)]
        (self.ask,) = [ask for ask in asks if isinstance(ask, EvidenceRequest)]

    def answer(self, at: int, version: int = 3, age: int = 0, number: int = 0) -> None:
        number = number or self.ask.number
        answer = EvidenceResponse(number, version, age, 0)
        step(self.state, PeerMessage(at, "b-1", answer))

    def test_age_counts_from_the_request(self):
        self.answer(at=seconds(100), age=seconds(2))
        self.assertEqual(self.state.keys.confirmed, -seconds(2))
        self.assertFalse(may_trust(self.state, seconds(100)))

    def test_answer_counts_once(self):
        self.answer(at=1)
        self.state.keys.confirmed = None
        self.answer(at=2)
        self.assertIsNone(self.state.keys.confirmed)

    def test_other_versions_and_numbers_are_no_evidence(self):
        self.answer(at=1, number=77)
        self.answer(at=1, version=4)
        self.assertIsNone(self.state.keys.confirmed)

    def test_response_without_evidence_is_no_evidence(self):
        self.answer(at=1, age=-1)
        self.assertIsNone(self.state.keys.confirmed)

"""Tests that an operation runs at most once: repeats, crashes, handovers, faults."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from almondgap_core.operations.record import KeptAnswer
from almondgap_core.verdict import Reason, Verdict
from almondgap_testkit.fakes.payments import HOSTS, Payments

NAMES = sorted(HOSTS)
FIRST_ANSWER = KeptAnswer(200, "text/plain", b"p 1")


class OneHostTests(TestCase):
    def test_repeat_gets_the_first_answer(self):
        with Payments.begin() as payments:
            payments.begin_payment("a-1", "p")
            payments.run(1)
            again = payments.answer(payments.repeat("b-2", "p"))
            payments.run(1)
            self.assertEqual(payments.count_runs("p"), 1)
            self.assertEqual((again.status, again.verdict), (200, Verdict.RAN))
            self.assertEqual(again.replayed, FIRST_ANSWER)

    def test_repeat_waits_for_the_first_answer(self):
        with Payments.begin() as payments:
            for target in payments.world.targets.values():
                target.service_time = 800_000
            payments.begin_payment("a-1", "p")
            payments.run(0.1)
            again = payments.answer(payments.repeat("a-2", "p"))
            payments.run(0.3)
            self.assertEqual(again.status, 0)
            payments.run(1)
            self.assertEqual(again.replayed, FIRST_ANSWER)

    def test_key_of_another_body_or_account_is_refused(self):
        with Payments.begin() as payments:
            payments.begin_payment("a-1", "p")
            payments.run(1)
            other = payments.answer(payments.pay("a-2", payments.sent["p"], "q", b"e"))
            payments.run(1)
            self.assertIs(other.verdict, Verdict.NOT_RUN)
            self.assertIs(other.refusal.reason, Reason.OPERATION_MISMATCH)
            self.assertEqual(payments.count_runs("q"), 0)

    def test_key_without_issued_prefix_never_runs(self):
        with Payments.begin() as payments:
            for key in ("mine", "ago.a.0.1.0", "ago.a.x.1.0.p", "ago.a.0.01.0.p"):
                got = payments.answer(payments.pay("a-1", key, "p"))
                payments.run(1)
                self.assertIs(got.verdict, Verdict.NOT_RUN)
                self.assertEqual(got.refusal.status, 428)
            self.assertEqual(payments.count_runs("p"), 0)

    def test_failure_before_any_target_leaves_the_operation_free(self):
        with Payments.begin() as payments:
            for target in payments.world.targets.values():
                target.unreachable = True
            first = payments.answer(payments.begin_payment("a-1", "p", "b-1"))
            payments.run(2)
            self.assertIs(first.verdict, Verdict.NOT_RUN)
            for target in payments.world.targets.values():
                target.unreachable = False
            again = payments.answer(payments.repeat("a-2", "p"))
            payments.run(1)
            self.assertIs(again.verdict, Verdict.RAN)
            self.assertEqual(payments.count_runs("p"), 1)

    def test_request_without_key_is_dispatched_once(self):
        with Payments.begin() as payments:
            for target in payments.world.targets.values():
                target.broken = True
            got = payments.answer(payments.pay("a-1", "", "p"))
            payments.run(2)
            self.assertIs(got.verdict, Verdict.MAY_HAVE_RUN)
            self.assertEqual(payments.count_runs("p"), 1)

    def test_old_key_is_refused_after_retention(self):
        with Payments.begin() as payments:
            prefix = payments.look_up("a-1")
            payments.pay("a-1", f"{prefix}.p", "p")
            payments.run(60 * 13)
            used = payments.answer(payments.pay("a-1", f"{prefix}.p", "p"))
            fresh = payments.look_up("a-1")
            payments.run(1)
            self.assertIs(used.verdict, Verdict.MAY_HAVE_RUN)
            self.assertIs(used.refusal.reason, Reason.OPERATION_EXPIRED)
            self.assertEqual(payments.count_runs("p"), 1)
            again = payments.answer(payments.pay("a-1", f"{fresh}.q", "q"))
            payments.run(1)
            self.assertIs(again.verdict, Verdict.RAN)


class CrashTests(TestCase):
    def test_holder_gone_means_may_have_run(self):
        with Payments.begin() as payments:
            payments.begin_payment("a-1", "p")
            payments.run(1)
            payments.crash("a-1")
            payments.run(3)
            again = payments.answer(payments.repeat("a-2", "p"))
            payments.run(3)
            self.assertIs(again.verdict, Verdict.MAY_HAVE_RUN)
            self.assertIs(again.refusal.reason, Reason.OPERATION_LOST)
            self.assertEqual(payments.count_runs("p"), 1)

    def test_dispatcher_gone_means_may_have_run(self):
        with Payments.begin() as payments:
            for target in payments.world.targets.values():
                target.service_time = 800_000
            payments.begin_payment("a-1", "p", "b-1")
            payments.run(0.2)
            self.assertEqual(payments.count_runs("p"), 1)
            payments.crash("b-1")
            payments.run(4)
            again = payments.answer(payments.repeat("a-2", "p"))
            payments.run(3)
            self.assertIs(again.verdict, Verdict.MAY_HAVE_RUN)
            self.assertEqual(payments.count_runs("p"), 1)

    def test_paused_holder_that_wakes_after_take_over_runs_nothing_twice(self):
        with Payments.begin() as payments:
            payments.begin_payment("a-1", "p")
            payments.run(1)
            held = payments.leases.list_held("a-1")
            for partition in held:
                payments.leases.keep_stale_tenure(partition)
            payments.world.pause("a-1")
            early = payments.repeat("a-1", "p")
            payments.sent["q"] = payments.sent["p"] + "q"
            payments.pay("a-1", payments.sent["q"], "q")
            payments.take_over("a-1")
            payments.run(5)
            late = payments.repeat("a-2", "p")
            payments.repeat("a-2", "q")
            payments.run(5)
            payments.world.resume("a-1")
            payments.run(5)
            self.assertLessEqual(payments.count_runs("p"), 1)
            self.assertLessEqual(payments.count_runs("q"), 1)
            self.assertIsNot(payments.answer(early).verdict, Verdict.NOT_RUN)
            self.assertIs(payments.answer(late).verdict, Verdict.MAY_HAVE_RUN)


class HandOverTests(TestCase):
    def test_live_holder_gives_its_book_to_the_next(self):
        with Payments.begin() as payments:
            payments.begin_payment("a-1", "p")
            payments.run(1)
            prefix = payments.sent["p"].rpartition(".")[0]
            payments.take_over("a-1")
            payments.run(1)
            again = payments.answer(payments.repeat("b-1", "p"))
            fresh = payments.answer(payments.pay("a-3", f"{prefix}.q", "q"))
            payments.run(2)
            self.assertEqual(again.replayed, FIRST_ANSWER)
            self.assertIs(fresh.verdict, Verdict.RAN)
            self.assertEqual(payments.count_greatest_runs(), 1)

    def test_book_moves_through_many_holders(self):
        with Payments.begin() as payments:
            for number in range(400):
                payments.begin_payment("a-1", f"p{number}")
            payments.run(1)
            for _ in range(4):
                for host in ("a-1", "a-2", "a-3"):
                    payments.take_over(host)
                payments.run(2.5)
            again = [payments.repeat("b-1", f"p{number}") for number in range(400)]
            payments.run(2)
            self.assertEqual(payments.count_greatest_runs(), 1)
            verdicts = {payments.answer(req_id).verdict for req_id in again}
            self.assertEqual(verdicts, {Verdict.RAN})


FAULTS = st.sampled_from(
    ("run", "send", "repeat", "crash", "restart", "take", "pause", "resume", "mislead")
    + ("isolate", "heal", "lossy", "calm", "break", "mend")
)
STEPS = st.lists(
    st.tuples(FAULTS, st.sampled_from(NAMES), st.sampled_from(NAMES)), max_size=40
)


class RandomFaultTests(TestCase):
    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(steps=STEPS, seed=st.integers(1, 1_000))
    def test_nothing_runs_twice_whatever_fails(self, steps, seed):
        with Payments.begin(seed) as payments:
            injector = FaultInjector(payments)
            for fault, one, other in steps:
                injector.apply(fault, one, other)
            payments.run(5)
            self.assertLessEqual(payments.count_greatest_runs(), 1)
            self.assertEqual(payments.list_false_verdicts(), [])


class FaultInjector:
    """Applies faults to a fleet; faults that do not apply are skipped."""

    def __init__(self, payments: Payments) -> None:
        self.payments = payments
        self.number = 0

    def apply(self, fault: str, one: str, other: str) -> None:
        """Apply one fault and advance the clock."""
        getattr(self, fault)(one, other)
        self.payments.run(0.05 + 0.15 * (self.number % 3))

    def is_up(self, host: str) -> bool:
        return self.payments.world.hosts[host].state is not None

    def run(self, one, other):
        self.payments.run(1.5)

    def send(self, one, other):
        self.number += 1
        if self.is_up(one) and self.payments.look_up(one):
            label = f"p{self.number}"
            self.payments.begin_payment(one, label, other)
            for host in NAMES:
                self.payments.repeat(host, label)

    def repeat(self, one, other):
        for label in self.payments.sent:
            self.payments.repeat(one, label)

    def crash(self, one, other):
        if self.is_up(one):
            self.payments.crash(one)

    def restart(self, one, other):
        if not self.is_up(one):
            self.payments.restart(one)

    def take(self, one, other):
        self.payments.take_over(one)

    def pause(self, one, other):
        self.payments.world.pause(one)

    def resume(self, one, other):
        if self.is_up(one):
            self.payments.world.resume(one)

    def mislead(self, one, other):
        for partition in self.payments.leases.list_held(one):
            self.payments.leases.keep_stale_tenure(partition)

    def isolate(self, one, other):
        self.payments.world.network.isolate(HOSTS[one])

    def heal(self, one, other):
        self.payments.world.network.heal()

    def lossy(self, one, other):
        self.payments.world.network.loss = 0.3
        self.payments.world.network.repeat = 0.3

    def calm(self, one, other):
        self.payments.world.network.loss = 0.0
        self.payments.world.network.repeat = 0.0

    def break_targets(self, broken: bool) -> None:
        for target in self.payments.world.targets.values():
            target.broken = broken

    def mend(self, one, other):
        self.break_targets(False)


setattr(FaultInjector, "break", lambda self, one, other: self.break_targets(True))

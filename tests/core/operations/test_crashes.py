"""Crashes a host at every step between accepting an operation and its handover."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from almondgap_core import effects
from almondgap_core.operations import messages
from almondgap_core.verdict import Verdict
from almondgap_testkit.fakes.payments import HOSTS, Payments

NAMES = sorted(HOSTS)

#: Effects and messages just before or after which a host crashes.
CRASH_POINTS = (
    effects.Dispatch,
    effects.Relay,
    effects.Replay,
    effects.Refuse,
    messages.PermitRequest,
    messages.PermitResponse,
    messages.OutcomeReport,
    messages.OutcomeAck,
    messages.BooksRequest,
    messages.BooksOffer,
    messages.CustodyRequest,
    messages.PageRequest,
    messages.BookPage,
    messages.BookReceived,
)


class CrashInjector:
    """Crashes the host that performs the n-th effect of a type, before or after it."""

    def __init__(self, payments: Payments, point: type, nth: int, after: bool) -> None:
        self.payments = payments
        self.point = point
        self.left = nth
        self.after = after
        self.crashed_host: str | None = None
        self.perform = payments.world._perform
        payments.world._perform = self.watch

    def watch(self, name, state, effect) -> None:
        if self.payments.world.hosts[name].state is not state:
            return
        if self.crashed_host is not None or not self.is_crash_point(effect):
            self.perform(name, state, effect)
            return
        self.left -= 1
        if self.left or self.after:
            self.perform(name, state, effect)
        if not self.left:
            self.crashed_host = name
            self.payments.crash(name)

    def is_crash_point(self, effect) -> bool:
        if isinstance(effect, effects.SendMessage):
            return isinstance(effect.message, self.point)
        return isinstance(effect, self.point)


def run_workload(payments: Payments) -> None:
    """Send operations to all hosts while partitions move and a host stops."""
    up = [name for name in NAMES if payments.world.hosts[name].state]
    for number in range(12):
        holder, entry = up[number % len(up)], up[(number * 2 + 1) % len(up)]
        if payments.world.hosts[holder].state and payments.look_up(holder):
            payments.begin_payment(holder, f"p{number}", entry)
            payments.repeat(up[(number * 3 + 2) % len(up)], f"p{number}")
        payments.run(0.06)
        if f"p{number}" in payments.sent and payments.world.hosts[entry].state:
            payments.pay(entry, payments.sent[f"p{number}"], f"x{number}", b"other")
        if number == 4:
            payments.take_over("a-1")
        if number == 8 and payments.world.hosts["a-2"].state:
            payments.drain("a-2")
    payments.run(9)
    payments.take_over("a-2")
    payments.run(3)


class CrashPointTests(TestCase):
    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(
        point=st.sampled_from(CRASH_POINTS),
        nth=st.integers(1, 6),
        after=st.booleans(),
        seed=st.integers(1, 50),
        loss=st.sampled_from((0.0, 0.2)),
    )
    def test_crash_at_any_point_runs_nothing_twice(self, point, nth, after, seed, loss):
        with Payments.begin(seed) as payments:
            payments.world.network.loss = loss
            payments.world.network.repeat = loss
            CrashInjector(payments, point, nth, after)
            run_workload(payments)
            check_at_most_once(self, payments)

    def test_every_crash_point_is_reached(self):
        for point in CRASH_POINTS:
            with Payments.begin() as payments:
                payments.world.network.loss = 0.1
                injector = CrashInjector(payments, point, 1, True)
                run_workload(payments)
                self.assertIsNotNone(injector.crashed_host, point)
                check_at_most_once(self, payments)


def check_at_most_once(case: TestCase, payments: Payments) -> None:
    """Check that nothing ran twice and that repeats at all hosts agree."""
    payments.world.network.loss = 0.0
    del payments.world._perform
    up = [name for name in NAMES if payments.world.hosts[name].state]
    again = [
        (label, payments.repeat(name, label)) for label in payments.sent for name in up
    ]
    payments.run(6)
    case.assertLessEqual(payments.count_greatest_runs(), 1)
    case.assertEqual(payments.list_false_verdicts(), [])
    for label, req_id in again:
        verdict = payments.answer(req_id).verdict
        case.assertIsNotNone(verdict)
        if verdict is Verdict.RAN:
            case.assertEqual(payments.count_runs(label), 1)

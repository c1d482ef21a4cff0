"""A host dies at every place between accepting an operation and handing it over."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from almondgap_core import effects
from almondgap_core.operations import messages
from almondgap_core.verdict import Verdict
from almondgap_testkit.fakes.payments import HOSTS, Payments

NAMES = sorted(HOSTS)

#: What a host does just before or just after it dies.
PLACES = (
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


class Assassin:
    """Ends the host that does a thing for the n-th time, before or after it is done."""

    def __init__(self, payments: Payments, place: type, nth: int, after: bool) -> None:
        self.payments = payments
        self.place = place
        self.left = nth
        self.after = after
        self.victim: str | None = None
        self.perform = payments.world._perform
        payments.world._perform = self.watch

    def watch(self, name, state, effect) -> None:
        if self.payments.world.hosts[name].state is not state:
            return
        if self.victim is not None or not self.is_place(effect):
            self.perform(name, state, effect)
            return
        self.left -= 1
        if self.left or self.after:
            self.perform(name, state, effect)
        if not self.left:
            self.victim = name
            self.payments.crash(name)

    def is_place(self, effect) -> bool:
        if isinstance(effect, effects.SendMessage):
            return isinstance(effect.message, self.place)
        return isinstance(effect, self.place)


def work(payments: Payments) -> None:
    """Send operations everywhere while partitions move and a host stops."""
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


class DeathTests(TestCase):
    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(
        place=st.sampled_from(PLACES),
        nth=st.integers(1, 6),
        after=st.booleans(),
        seed=st.integers(1, 50),
        loss=st.sampled_from((0.0, 0.2)),
    )
    def test_death_anywhere_runs_nothing_twice(self, place, nth, after, seed, loss):
        with Payments.begin(seed) as payments:
            payments.world.network.loss = loss
            payments.world.network.repeat = loss
            Assassin(payments, place, nth, after)
            work(payments)
            check(self, payments)

    def test_every_place_is_reached(self):
        for place in PLACES:
            with Payments.begin() as payments:
                payments.world.network.loss = 0.1
                assassin = Assassin(payments, place, 1, True)
                work(payments)
                self.assertIsNotNone(assassin.victim, place)
                check(self, payments)


def check(case: TestCase, payments: Payments) -> None:
    """Check that nothing ran twice, and that repeats at all hosts know it."""
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

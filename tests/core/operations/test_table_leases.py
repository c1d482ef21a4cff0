"""Operations over leases that the table service keeps."""

from __future__ import annotations

from unittest import TestCase

from almondgap_core.verdict import Verdict
from almondgap_testkit.fakes.payments import HOSTS, Payments

PAYMENTS = 60


def begin_payments(payments: Payments, count: int = PAYMENTS) -> None:
    """Send operations at all hosts, and wait for them."""
    names = sorted(HOSTS)
    for number in range(count):
        name = names[number % len(names)]
        payments.begin_payment(name, f"p{number}", names[(number + 1) % len(names)])
        payments.run(0.02)
    payments.run(3)


def repeat_all(payments: Payments, host: str):
    """Repeat every operation at one host and return the answers."""
    asked = [payments.repeat(host, label) for label in payments.sent]
    payments.run(4)
    return [payments.answer(req_id) for req_id in asked]


class TableTests(TestCase):
    def setUp(self):
        self.payments = Payments.begin_with_table()
        begin_payments(self.payments)

    def test_all_run_once(self):
        answers = repeat_all(self.payments, "b-1")
        self.assertEqual({a.verdict for a in answers}, {Verdict.RAN})
        self.assertEqual(self.payments.count_greatest_runs(), 1)

    def test_planned_stop_leaves_no_doubt(self):
        self.payments.world.drain("a-1")
        self.payments.run(12)
        self.assertIsNone(self.payments.world.hosts["a-1"].state)
        answers = repeat_all(self.payments, "a-2")
        self.assertEqual({a.verdict for a in answers}, {Verdict.RAN})
        self.assertEqual(self.payments.count_greatest_runs(), 1)

    def test_rolling_restart_leaves_no_doubt(self):
        for name in sorted(HOSTS):
            self.payments.world.drain(name)
            self.payments.run(12)
            self.assertIsNone(self.payments.world.hosts[name].state)
            self.payments.world.start(name)
            self.payments.run(8)
        answers = repeat_all(self.payments, "a-2")
        self.assertEqual({a.verdict for a in answers}, {Verdict.RAN})
        self.assertEqual(self.payments.count_greatest_runs(), 1)

    def test_crash_leaves_doubt_about_its_own_records_only(self):
        self.payments.world.crash("a-1")
        self.payments.run(25)
        answers = repeat_all(self.payments, "a-2")
        lost = sum(a.verdict is Verdict.MAY_HAVE_RUN for a in answers)
        self.assertTrue(0 < lost <= PAYMENTS // 2, lost)
        self.assertEqual({a.verdict for a in answers} & {Verdict.NOT_RUN}, set())
        self.assertEqual(self.payments.count_greatest_runs(), 1)

    def test_restart_with_nothing_in_memory_runs_nothing_again(self):
        for name in HOSTS:
            self.payments.world.crash(name)
        for name in HOSTS:
            self.payments.world.start(name)
        self.payments.run(200)
        repeat_all(self.payments, "a-2")
        self.assertEqual(self.payments.count_greatest_runs(), 1)

    def test_paused_holder_runs_nothing_twice(self):
        world = self.payments.world
        world.pause("a-1")
        for label in self.payments.sent:
            self.payments.repeat("a-1", label)
        self.payments.run(25)
        repeat_all(self.payments, "a-2")
        world.resume("a-1")
        self.payments.run(5)
        self.assertEqual(self.payments.count_greatest_runs(), 1)
        self.assertEqual(self.payments.list_false_verdicts(), [])

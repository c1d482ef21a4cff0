"""Tests that operations continue while the table service is down."""

from __future__ import annotations

from unittest import TestCase

from almondgap_core.verdict import Verdict
from almondgap_testkit.fakes.payments import Payments


class OutageTests(TestCase):
    def setUp(self):
        self.payments = Payments.begin_with_table()

    def test_store_outage_stops_no_operation(self):
        self.payments.world.platform.down = True
        for minute in range(10):
            self.payments.begin_payment("a-1", f"q{minute}", "b-2")
            self.payments.run(60)
            answer = self.payments.answer(self.payments.repeat("a-3", f"q{minute}"))
            self.payments.run(1)
            self.assertIs(answer.verdict, Verdict.RAN)
        self.assertEqual(self.payments.count_greatest_runs(), 1)

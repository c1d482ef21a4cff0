from __future__ import annotations

from unittest import TestCase

from almondgap_testkit.standins.platform import RateWindow


class PaceTests(TestCase):
    def test_each_second_serves_so_many_reads_and_writes(self):
        rate_window = RateWindow(reads_per_s=5, writes_per_s=2)
        self.assertTrue(rate_window.admit(10.0, 4, 1))
        self.assertFalse(rate_window.admit(10.1, 2, 0))
        self.assertTrue(rate_window.admit(10.2, 1, 1))
        self.assertFalse(rate_window.admit(10.3, 0, 1))
        self.assertTrue(rate_window.admit(11.1, 5, 2))

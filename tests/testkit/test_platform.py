from __future__ import annotations

from unittest import TestCase

from almondgap_testkit.standins.platform import Pace


class PaceTests(TestCase):
    def test_each_second_serves_so_many_reads_and_writes(self):
        pace = Pace(reads_per_s=5, writes_per_s=2)
        self.assertTrue(pace.admit(10.0, 4, 1))
        self.assertFalse(pace.admit(10.1, 2, 0))
        self.assertTrue(pace.admit(10.2, 1, 1))
        self.assertFalse(pace.admit(10.3, 0, 1))
        self.assertTrue(pace.admit(11.1, 5, 2))

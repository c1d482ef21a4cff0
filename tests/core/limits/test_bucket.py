from __future__ import annotations

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from almondgap_core.limits.bucket import Bucket
from almondgap_core.limits.division import divide
from almondgap_core.units import MICROS_PER_SECOND, TOKEN

RATE = 2_000
BURST = 3


class BucketTests(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.integers(0, 2 * MICROS_PER_SECOND), max_size=60))
    def test_no_window_admits_more_than_rate_and_burst(self, gaps):
        bucket = Bucket.full(RATE, BURST, 0)
        now = 0
        admitted = []
        for gap in gaps:
            now += gap
            if bucket.take(now):
                admitted.append(now)
        for first, start in enumerate(admitted):
            for last in range(first, len(admitted)):
                window = admitted[last] - start
                allowed = BURST * TOKEN + RATE * window
                self.assertLessEqual((last - first + 1) * TOKEN, allowed)

    def test_wait_is_exact(self):
        bucket = Bucket(RATE, BURST, 0, 0)
        wait = bucket.wait_for(0)
        self.assertFalse(bucket.take(wait - 1))
        self.assertTrue(bucket.take(wait))


class DivisionTests(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.integers(0, 10**9), st.integers(1, 40), st.text(max_size=8))
    def test_parts_sum_to_the_limit(self, total, count, seed):
        owners = [f"o{number}" for number in range(count)]
        parts = divide(total, owners, seed)
        self.assertEqual(sum(parts.values()), total)
        self.assertLessEqual(max(parts.values()) - min(parts.values()), 1)

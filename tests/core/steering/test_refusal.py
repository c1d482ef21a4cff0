from __future__ import annotations

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from almondgap_core.steering.plan import SHARE_UNIT
from almondgap_core.steering.refusal import RefusalAllocator, divide_fairly
from almondgap_core.units import millis

NAMES = st.sampled_from("abcdef")


class DivisionTests(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(
        st.dictionaries(NAMES, st.integers(1, 10**6), min_size=1),
        st.dictionaries(NAMES, st.integers(1, 9)),
        st.integers(0, 3 * 10**6),
    )
    def test_division_is_max_min_fair(self, demand, weights, capacity):
        granted = divide_fairly(demand, weights, capacity)
        self.assertLessEqual(sum(granted.values()), capacity)
        full = min(capacity, sum(demand.values()))
        self.assertGreaterEqual(sum(granted.values()), full - len(demand))
        for name, part in granted.items():
            self.assertLessEqual(part, demand[name])
            if part == demand[name]:
                continue
            # Who lacks something has no less per weight than anybody else, but for
            # the units that rounding down leaves to the last ones.
            spare = len(demand)
            mine = (part + spare) / weights.get(name, 1)
            for other, other_part in granted.items():
                theirs = (other_part - spare) / weights.get(other, 1)
                self.assertGreaterEqual(mine, theirs)


class RefusalAllocatorTests(TestCase):
    def run_allocator(self, rates: dict[str, int], share: int, weights=None):
        """Return the part of each account's look-ups that was refused at the end."""
        allocator = RefusalAllocator()
        refused = dict.fromkeys(rates, 0)
        for tick in range(10_000):
            for name, rate in rates.items():
                for _ in range(rate):
                    late = tick >= 5_000
                    now = millis(tick)
                    hit = allocator.should_refuse(name, share, weights or {}, now)
                    refused[name] += hit and late
        return {name: refused[name] / rate / 5_000 for name, rate in rates.items()}

    def test_greedy_account_bears_the_refusals(self):
        refused = self.run_allocator({"greedy": 9, "modest": 1}, SHARE_UNIT // 2)
        self.assertEqual(refused["modest"], 0)
        self.assertAlmostEqual(refused["greedy"], 5 / 9, delta=0.01)

    def test_weights_count(self):
        weights = {"heavy": 3}
        refused = self.run_allocator({"heavy": 4, "light": 4}, SHARE_UNIT // 2, weights)
        self.assertAlmostEqual(refused["heavy"], 1 / 4, delta=0.01)
        self.assertAlmostEqual(refused["light"], 3 / 4, delta=0.01)

    def test_all_are_refused_if_there_is_no_room(self):
        refused = self.run_allocator({"one": 2, "two": 1}, SHARE_UNIT)
        self.assertEqual(refused, {"one": 1, "two": 1})

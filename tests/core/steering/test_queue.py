from __future__ import annotations

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from almondgap_core.steering.queue import FairQueue, QueueEntry

LIMIT = 12
FAR = 10**9
WEIGHTS = {"a": 1, "b": 1, "c": 3}


def build_entry(number: int, account: str, wait_until: int = FAR) -> QueueEntry:
    weight = WEIGHTS[account]
    return QueueEntry(("h", number), "shop", account, weight, (), wait_until, FAR, FAR)


def serve(queue: FairQueue, used: dict[str, int]) -> str:
    entry, _ = queue.serve(used, lambda _: "shop-1")
    used[entry.account] = used.get(entry.account, 0) + 1
    return entry.account


class FairQueueTests(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.sampled_from("abc"), max_size=60))
    def test_bounded_and_only_the_longest_loses(self, accounts):
        queue = FairQueue(LIMIT)
        for number, account in enumerate(accounts):
            dropped = queue.push(build_entry(number, account))
            self.assertLessEqual(len(queue), LIMIT)
            if dropped is None:
                continue
            lengths = {
                name: (len(waiting) + (name == dropped.account)) / WEIGHTS[name]
                for name, waiting in queue.accounts.items()
            }
            longest = max(lengths.values())
            own = (len(queue.accounts.get(dropped.account, ())) + 1) / dropped.weight
            self.assertGreaterEqual(own, longest)
        self.assertEqual(len(queue), min(len(accounts), LIMIT))

    def test_account_with_fewest_slots_for_its_weight_is_next(self):
        queue = FairQueue(30)
        for number in range(10):
            for place, account in enumerate("abc"):
                queue.push(build_entry(number * 3 + place, account))
        used: dict[str, int] = {}
        for _ in range(10):
            serve(queue, used)
        self.assertEqual(used, {"a": 2, "b": 2, "c": 6})

    def test_loud_account_does_not_delay_the_quiet_one(self):
        queue = FairQueue(30)
        for number in range(20):
            queue.push(build_entry(number, "a"))
        queue.push(build_entry(99, "b"))
        self.assertEqual(serve(queue, {"a": 4}), "b")
        self.assertLess(queue.count_ahead("b", 1), queue.count_ahead("a", 1))

    def test_first_come_first_served_inside_an_account(self):
        queue = FairQueue(5)
        for number in range(5):
            queue.push(build_entry(number, "a"))
        served = [queue.serve({}, lambda _: "t")[0].key[1] for _ in range(5)]
        self.assertEqual(served, [0, 1, 2, 3, 4])
        self.assertEqual(len(queue), 0)

    def test_ask_that_is_late_is_taken_out(self):
        queue = FairQueue(5)
        queue.push(build_entry(1, "a", wait_until=100))
        queue.push(build_entry(2, "a"))
        late = queue.remove_expired(100, hold_time=0)
        self.assertEqual([entry.key[1] for entry in late], [1])
        late = queue.remove_expired(100, hold_time=FAR)
        self.assertEqual([entry.key[1] for entry in late], [2])

    def test_ask_without_a_target_does_not_block_others(self):
        queue = FairQueue(5)
        queue.push(build_entry(1, "a"))
        queue.push(build_entry(2, "b"))
        served = queue.serve({}, lambda w: "t" if w.account == "b" else None)
        self.assertEqual(served[0].account, "b")

from __future__ import annotations

from unittest import TestCase

from almondgap_core.gateway.region_plan import MAX_LOCAL_USE, SPREAD_PART, plan_shares

EQUAL = {"a": 2, "b": 2, "c": 2}
ROOMS = (
    {"a": 8, "b": 6, "c": 2},
    {"a": 5, "b": 5, "c": 5},
    {"a": 1, "b": 1, "c": 98},
    {"a": 10, "c": 3},
)


class RegionPlanTests(TestCase):
    def test_shares_are_complete(self):
        for room in ROOMS:
            for region in EQUAL:
                shares = plan_shares(region, EQUAL, room)
                self.assertEqual(set(shares), set(room))
                self.assertAlmostEqual(sum(shares.values()), 1.0, places=4)
                self.assertGreater(min(shares.values()), 0.0)

    def test_no_region_is_used_far_beyond_the_mean(self):
        for room in ROOMS:
            use = dict.fromkeys(room, 0.0)
            for region in EQUAL:
                for name, share in plan_shares(region, EQUAL, room).items():
                    use[name] += share / len(EQUAL)
            for name, value in use.items():
                mean = room[name] / sum(room.values())
                self.assertLessEqual(value, 1.01 * MAX_LOCAL_USE * mean)

    def test_region_with_enough_room_keeps_all_but_what_is_spread(self):
        for region, room in (("a", ROOMS[0]), ("b", ROOMS[1])):
            spread = SPREAD_PART * (1 - room[region] / sum(room.values()))
            share = plan_shares(region, EQUAL, room)[region]
            self.assertAlmostEqual(share, 1 - spread, places=4)

    def test_surge_of_one_region_is_spread(self):
        room = ROOMS[1]
        shares = plan_shares("b", EQUAL, room)
        for name in ("a", "c"):
            self.assertGreaterEqual(shares[name], SPREAD_PART / len(room) - 1e-6)

    def test_what_is_left_over_goes_where_there_is_room(self):
        shares = plan_shares("c", EQUAL, ROOMS[0])
        self.assertGreater(shares["a"], shares["b"])

    def test_region_without_targets_shares_by_room(self):
        shares = plan_shares("b", EQUAL, ROOMS[3])
        self.assertEqual(set(shares), {"a", "c"})

    def test_single_region_and_none(self):
        self.assertEqual(plan_shares("a", EQUAL, {"a": 3}), {"a": 1.0})
        self.assertEqual(plan_shares("a", EQUAL, {"b": 3}), {"b": 1.0})
        self.assertEqual(plan_shares("a", EQUAL, {}), {})

from __future__ import annotations

from unittest import TestCase, mock

from hypothesis import given, settings
from hypothesis import strategies as st

from almondgap_core.steering import plan_budgets, plan_decision
from almondgap_core.steering.plan import REFUSED, SHARE_UNIT, FlowKey
from almondgap_testkit.steering_checks import find_faults, find_overfilled
from almondgap_testkit.steering_fleet import (
    SERVICE,
    SteeringFleet,
    build_regions,
    report_idle,
)

CAPACITIES = {"north": 1000, "south": 1000, "west": 1000}
CALM = {"north": 500, "south": 400, "west": 300}
EVEN = [1.0] * 6
UNEVEN = [8.0, 1, 1, 1, 0.5, 0.1]


def make_fleet(demand=None, parts=None, capacities=None, **sections) -> SteeringFleet:
    """Return a fleet of three regions."""
    document = build_regions(capacities or CAPACITIES, sections)
    return SteeringFleet.from_document(document, demand or CALM, parts or EVEN)


def drain(fleet: SteeringFleet, region: str) -> None:
    """Let a region drain."""
    document = build_regions(CAPACITIES)
    document["regions"][region]["draining"] = True
    fleet.apply(document)


def make_noise(fleet: SteeringFleet) -> None:
    """Let demand cross a region's limit up and down."""
    for _ in range(12):
        for rate in (750_000, 850_000):
            fleet.demand["north"] = rate
            fleet.run(45)


class CalmTests(TestCase):
    def test_nothing_moves_without_a_cause(self):
        fleet = make_fleet()
        fleet.run(200)
        self.assertEqual(fleet.moves, [])
        self.assertEqual(sum(fleet.refused), 0)

    def test_decision_is_a_function_of_its_inputs(self):
        runs = []
        for _ in range(2):
            fleet = make_fleet({"north": 1100, "south": 100, "west": 100}, UNEVEN)
            fleet.run(120)
            runs.append([host.plan for host in fleet.hosts])
        self.assertEqual(*runs)


class CauseTests(TestCase):
    def check(self, fleet: SteeringFleet) -> None:
        self.assertEqual(find_faults(fleet), [])

    def test_drain_empties_a_region_and_fills_none(self):
        for parts in (EVEN, UNEVEN):
            fleet = make_fleet(parts=parts)
            fleet.run(40)
            drain(fleet, "west")
            self.assertEqual(find_overfilled(fleet, 900), [])
            self.check(fleet)
            self.assertLess(fleet.compute_committed_load("west"), 300_000)
            self.assertEqual(sum(fleet.refused), 0)

    def test_overload_is_relieved_without_turning_back(self):
        fleet = make_fleet({"north": 950, "south": 200, "west": 200})
        self.assertEqual(find_overfilled(fleet, 900), [])
        self.check(fleet)
        self.assertLess(fleet.compute_committed_load("north"), 850_000)

    def test_lost_region_spreads_and_the_rest_is_refused(self):
        fleet = make_fleet({"north": 700, "south": 600, "west": 600})
        fleet.run(40)
        fleet.down.add("north")
        self.assertEqual(find_overfilled(fleet, 900), [])
        self.check(fleet)
        for region in ("south", "west"):
            self.assertLessEqual(fleet.compute_committed_load(region), 800_000)
        self.assertGreater(fleet.refused[-1], 250_000)
        self.assertEqual(fleet.compute_committed_load("north"), 0)

    def test_region_fails_while_another_drains(self):
        fleet = make_fleet({"north": 300, "south": 300, "west": 300})
        fleet.run(40)
        drain(fleet, "south")
        fleet.run(30)
        fleet.down.add("north")
        self.assertEqual(find_overfilled(fleet, 900), [])
        self.check(fleet)
        self.assertLessEqual(fleet.compute_committed_load("west"), 800_000)

    def test_region_comes_back(self):
        fleet = make_fleet()
        fleet.run(40)
        fleet.down.add("west")
        fleet.run(300)
        fleet.down.clear()
        self.assertEqual(find_overfilled(fleet, 1500), [])
        self.check(fleet)
        self.assertEqual(fleet.refused[-1], 0)
        self.assertGreater(fleet.compute_committed_load("west"), 200_000)

    def test_flapping_region_attracts_nothing(self):
        fleet = make_fleet()
        fleet.run(40)
        fleet.down.add("west")
        fleet.run(60)
        before = len(fleet.moves)
        for _ in range(20):
            fleet.down.clear()
            fleet.run(20)
            fleet.down.add("west")
            fleet.run(20)
        into = [
            entry for entry in fleet.moves[before:] if entry.move.destination == "west"
        ]
        self.assertEqual(into, [])
        self.check(fleet)

    def test_silent_region_attracts_nothing_and_decays(self):
        fleet = make_fleet({"north": 950, "south": 200, "west": 200})
        fleet.silent.add("south")
        fleet.run(400)
        into = [entry for entry in fleet.moves if entry.move.destination == "south"]
        self.assertEqual(into, [])
        self.check(fleet)

    def test_all_loads_stop(self):
        fleet = make_fleet()
        fleet.run(60)
        shares = [host.plan.shares for host in fleet.hosts]
        fleet.silent.update(CAPACITIES)
        fleet.run(300)
        self.assertEqual([host.plan.shares for host in fleet.hosts], shares)
        self.assertEqual(sum(fleet.refused), 0)

    def test_loads_lag_by_thirty_seconds(self):
        fleet = make_fleet({"north": 950, "south": 200, "west": 200})
        fleet.run(60)
        fleet.lag = 30
        self.assertEqual(find_overfilled(fleet, 400), [])
        self.check(fleet)
        late = [entry for entry in fleet.moves if entry.second > 75]
        self.assertEqual(late, [])

    def test_lying_region_attracts_nothing(self):
        fleet = make_fleet({"north": 950, "south": 100, "west": 100})
        fleet.alter_load = report_idle("south")
        fleet.run(400)
        into = {entry.move.destination for entry in fleet.moves}
        self.assertEqual(into, {"west"})
        self.check(fleet)

    def test_link_takes_no_more_than_its_part(self):
        links = [{"regions": ["north", "west"], "capacity_mbit_per_s": 10}]
        links += [{"regions": ["north", "south"], "capacity_mbit_per_s": 4}]
        fleet = make_fleet({"north": 990, "south": 10, "west": 10}, links=links)
        fleet.run(900)
        self.check(fleet)
        # 20,000 bytes a request: 10 Mbit/s with headroom carry 50 requests/s.
        self.assertLessEqual(fleet.compute_committed_load("west"), 10_000 + 50_000)
        self.assertLessEqual(fleet.compute_committed_load("south"), 10_000 + 25_000)
        self.assertGreater(fleet.compute_committed_load("west"), 10_000 + 30_000)

    def test_two_plans_of_different_versions(self):
        fleet = make_fleet({"north": 500, "south": 300, "west": 300})
        fleet.run(40)
        old = fleet.inventory
        for host in fleet.hosts[::2]:
            host.inventory = old
        drain(fleet, "north")
        self.assertEqual(find_overfilled(fleet, 300), [])
        for host in fleet.hosts:
            host.inventory = None
        self.assertEqual(find_overfilled(fleet, 400), [])
        self.check(fleet)
        self.assertLess(fleet.compute_committed_load("north"), 300_000)

    def test_noise_at_the_limit_does_not_oscillate(self):
        fleet = make_fleet()
        make_noise(fleet)
        self.check(fleet)


class DrawnTests(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=25)
    @given(
        st.fixed_dictionaries({name: st.integers(0, 1200) for name in CAPACITIES}),
        st.lists(st.floats(0.01, 10), min_size=1, max_size=6),
        st.lists(
            st.tuples(
                st.sampled_from(("down", "up", "silent", "lag", "drain")),
                st.sampled_from(sorted(CAPACITIES)),
            ),
            max_size=4,
        ),
    )
    def test_rules_hold_whatever_happens(self, demand, parts, happenings):
        fleet = make_fleet(demand, parts)
        fleet.run(30)
        for what, region in happenings:
            if what == "down":
                fleet.down.add(region)
            elif what == "up":
                fleet.down.clear()
                fleet.silent.clear()
            elif what == "silent":
                fleet.silent.add(region)
            elif what == "lag":
                fleet.lag = 4
            else:
                drain(fleet, region)
            self.assertEqual(find_overfilled(fleet, 50), [])
        faults = [f for f in find_faults(fleet) if "turned" not in f]
        self.assertEqual(faults, [])
        for host in fleet.hosts:
            for shares in host.plan.shares.values():
                self.assertEqual(sum(shares.values()), SHARE_UNIT)
                self.assertGreater(min(shares.values()), 0)


class MutationTests(TestCase):
    """Each rule is broken once, and a check has to see it."""

    def test_whole_cap_for_each_host_is_seen(self):
        def take_all(inputs, total, seed):
            return max(total, 0)

        with mock.patch.object(plan_budgets, "compute_host_share", take_all):
            fleet = make_fleet({"north": 700, "south": 100, "west": 100})
            fleet.run(40)
            fleet.down.add("north")
            fleet.run(200)
        self.assertTrue([f for f in find_faults(fleet) if "cap" in f])

    def test_whole_room_for_each_host_is_seen(self):
        def take_all(inputs, room, seed):
            return max(room, 0)

        with mock.patch.object(plan_budgets, "_compute_headroom_share", take_all):
            fleet = make_fleet({"north": 700, "south": 720, "west": 720})
            fleet.run(40)
            fleet.down.add("north")
            self.assertNotEqual(find_overfilled(fleet, 200), [])

    def test_trust_in_old_loads_is_seen(self):
        with mock.patch.object(plan_budgets, "LOST_AGE_FACTOR", 10**6):
            fleet = make_fleet()
            fleet.run(40)
            fleet.down.add("north")
            fleet.run(40)
        self.assertGreater(fleet.compute_committed_load("north"), 0)

    def test_return_without_a_hold_is_seen(self):
        with mock.patch.object(plan_budgets, "HOLD_INTERVALS", 0):
            fleet = make_fleet()
            fleet.run(40)
            for _ in range(12):
                fleet.down.add("west")
                fleet.run(40)
                fleet.down.clear()
                fleet.run(40)
        self.assertTrue([f for f in find_faults(fleet) if "turned" in f])

    def test_return_without_a_band_is_seen(self):
        def forget_band(*args):
            budgets = plan_budgets.build_budgets(*args)
            budgets.return_headroom = dict(budgets.headroom)
            return budgets

        with mock.patch.object(plan_decision, "build_budgets", forget_band):
            fleet = make_fleet()
            make_noise(fleet)
        self.assertNotEqual(find_faults(fleet), [])

    def test_dumping_what_fits_nowhere_is_seen(self):
        def dump(self, key, region, share):
            flow = self.flows[key]
            flow[region] -= share
            flow["west"] = flow.get("west", 0) + share

        with mock.patch.object(plan_decision._Decision, "_refuse", dump):
            fleet = make_fleet({"north": 700, "south": 600, "west": 600})
            fleet.run(40)
            fleet.down.add("north")
            fleet.run(100)
        self.assertGreater(fleet.compute_committed_load("west"), 800_000)

    def test_link_without_a_limit_is_seen(self):
        links = [{"regions": ["north", "west"], "capacity_mbit_per_s": 10}]
        with mock.patch.object(plan_budgets, "_add_link_budgets", lambda *args: None):
            fleet = make_fleet({"north": 990, "south": 700, "west": 10}, links=links)
            fleet.run(400)
        self.assertGreater(fleet.compute_committed_load("west"), 60_000)


class RefusalTests(TestCase):
    def test_refused_part_is_served_again(self):
        fleet = make_fleet({"north": 700, "south": 600, "west": 600})
        fleet.run(40)
        fleet.down.add("north")
        fleet.run(200)
        key = FlowKey(SERVICE, "north")
        self.assertGreater(fleet.hosts[0].plan.shares[key][REFUSED], 0)
        fleet.down.clear()
        fleet.run(900)
        self.assertEqual(fleet.refused[-1], 0)

from __future__ import annotations

import json
from unittest import TestCase

from attrs import asdict

from almondgap_cli.commands.headroom import describe_region
from almondgap_core.exceptions import LookupRefused
from almondgap_core.steering.headroom import describe_headroom
from almondgap_core.steering.lookup import look_up_body
from almondgap_core.steering.plan import REFUSED, SHARE_UNIT
from almondgap_core.steering.planner import rank_domains
from almondgap_core.units import seconds
from almondgap_testkit.fakes.world import World
from almondgap_testkit.steering_fleet import SERVICE, build_regions

HOSTS = {
    "n-1": "north-a",
    "n-2": "north-a",
    "s-1": "south-a",
    "s-2": "south-a",
    "w-1": "west-a",
}
CAPACITIES = {"north": 1000, "south": 1000, "west": 1000}


class PlanRolloutTests(TestCase):
    def setUp(self):
        self.document = build_regions(CAPACITIES)
        self.world = World(json.dumps(self.document), HOSTS, seed=5)
        self.world.run(seconds(5))
        self.run_callers(45)

    def run_callers(self, count: int) -> None:
        """Let every host answer two look-ups a second for a while."""
        for _ in range(count * 2):
            for name, host in self.world.hosts.items():
                try:
                    now = self.world.read_clock(name)
                    look_up_body(host.state, SERVICE, "10.0.0.1", now)
                except LookupRefused:
                    continue
            self.world.run(seconds(0.5))

    def find_shares(self, host: str, origin: str) -> dict[str, int]:
        """Return the shares that a host gives to callers of a region."""
        plan = self.world.hosts[host].state.steering.plan
        return dict(plan.find_shares(SERVICE, origin))

    def test_callers_stay_near_in_calm(self):
        for host in HOSTS:
            for origin in CAPACITIES:
                self.assertEqual(self.find_shares(host, origin), {origin: SHARE_UNIT})

    def test_drain_moves_callers_away(self):
        self.document["regions"]["south"]["draining"] = True
        self.world.apply(json.dumps(self.document))
        self.run_callers(60)
        for host in HOSTS:
            shares = self.find_shares(host, "south")
            self.assertEqual(shares.get("south", 0), 0, (host, shares))
            self.assertEqual(shares.get(REFUSED, 0), 0, (host, shares))

    def test_cut_off_domain_plans_for_itself_and_comes_back(self):
        self.world.network.isolate("west-a")
        self.run_callers(60)
        self.assertEqual(self.find_shares("w-1", "west"), {"west": SHARE_UNIT})
        self.assertNotIn("west", self.find_shares("n-1", "west"))
        self.world.network.heal()
        self.run_callers(150)
        self.assertEqual(self.find_shares("n-1", "west"), {"west": SHARE_UNIT})

    def test_headroom_tells_what_is_lost(self):
        self.world.network.isolate("west-a")
        self.world.run(seconds(20))
        state = self.world.hosts["s-1"].state
        found = describe_headroom(state, self.world.read_clock("s-1"))
        told = {entry.region: (entry.standing, entry.capacity) for entry in found}
        expected = {"north": ("fresh", 1000), "south": ("fresh", 1000)}
        self.assertEqual(told, {**expected, "west": ("lost", 0)})
        slots = {entry.region: entry.slots for entry in found}
        self.assertEqual(slots, {"north": 400, "south": 400, "west": 0})
        lines = [describe_region(asdict(entry)) for entry in found]
        self.assertIn("0 of 1000 requests/s (shifts stop at 800)", lines[0])
        self.assertEqual(lines[2], "west: lost, no report")

    def test_domains_are_ranked_own_first_and_old_last(self):
        state = self.world.hosts["s-1"].state
        now = self.world.read_clock("s-1")
        ranked = rank_domains(state, SERVICE, "south", now)
        self.assertEqual(ranked, ("south-a", "west-a", "north-a"))
        self.world.network.isolate("west-a")
        self.world.run(seconds(10))
        now = self.world.read_clock("s-1")
        ranked = rank_domains(state, SERVICE, "south", now)
        self.assertEqual(ranked, ("south-a", "north-a", "west-a"))

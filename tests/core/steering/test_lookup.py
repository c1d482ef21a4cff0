from __future__ import annotations

import json
from unittest import TestCase

from attrs import evolve

from almondgap_core.events import Tick
from almondgap_core.exceptions import LookupRefused
from almondgap_core.membership.state import Peer
from almondgap_core.reducer import step
from almondgap_core.steering.lookup import look_up, look_up_body
from almondgap_core.steering.plan import REFUSED, SHARE_UNIT, FlowKey, RegionPlan
from almondgap_core.units import seconds
from almondgap_testkit.builders import (
    build_document,
    build_entry,
    build_state,
)
from almondgap_testkit.builders import build_inventory as build
from almondgap_testkit.fakes.world import World
from tests.core.steering.test_clientmap import build as build_map

HOSTS = {"a-1": "a", "a-2": "a", "b-1": "b", "c-1": "c", "c-2": "c"}


def build_two_regions():
    """Return a document with a second region, 10 ms away, that serves too."""
    document = build_document()
    document["regions"]["south"] = {
        "failure_domains": ["c"],
        "capacity_per_s": 50,
        "position_ms": {"east": 10},
    }
    target = dict(document["services"]["shop"]["targets"][0])
    target.update(name="shop-3", failure_domain="c")
    document["services"]["shop"]["targets"].append(target)
    document["sites"] = {
        "port": {"position_ms": {"east": 1}},
        "lake": {"position_ms": {"east": 9}},
    }
    return document


class LookupTests(TestCase):
    def setUp(self):
        self.state = build_state(build(build_two_regions()))
        entries = {name: build_entry(name, domain) for name, domain in HOSTS.items()}
        self.state.members.listed = entries
        self.hear(*HOSTS)
        rows = [("10.0.0.0/8", "lake"), ("11.0.0.0/8", "port"), ("12.0.0.0/8", "z")]
        self.state.steering.client_map = build_map(rows)

    def hear(self, *names: str, now: int = 0, stopping: bool = False) -> None:
        for name in names:
            if name != "a-1":
                self.state.members.peers[name] = Peer(1, now, 1, stopping)

    def name_hosts(self, address: str | None = None, now: int = 0) -> set[str]:
        """Return the hosts named after a turn of the loop."""
        step(self.state, Tick(now))
        return {h.host for h in look_up(self.state, "shop", now, address).hosts}

    def test_nearest_region_is_named(self):
        self.assertEqual(self.name_hosts("10.1.1.1"), {"c-1", "c-2"})
        self.assertEqual(self.name_hosts("11.1.1.1"), {"a-1", "a-2", "b-1"})

    def test_unknown_blocks_get_the_region_that_they_reached(self):
        for address in ("12.1.1.1", "13.1.1.1", "no address", None):
            self.assertEqual(self.name_hosts(address), {"a-1", "a-2", "b-1"})

    def test_default_site_counts_for_unknown_blocks(self):
        document = build_two_regions()
        document["steering"] = {"default_site": "lake"}
        self.state.settings.inventory = build(document)
        self.assertEqual(self.name_hosts("13.1.1.1"), {"c-1", "c-2"})

    def test_hosts_in_doubt_are_not_named(self):
        self.hear("a-2", now=seconds(9))
        self.hear("b-1", now=seconds(9), stopping=True)
        self.assertEqual(self.name_hosts(now=seconds(10)), {"a-1", "a-2"})
        listed = self.state.members.listed
        listed["a-2"] = evolve(listed["a-2"], leaving=True)
        self.assertEqual(self.name_hosts(now=seconds(11)), {"a-1"})

    def test_hosts_in_doubt_are_named_if_there_are_no_others(self):
        self.state.stopping = True
        named = self.name_hosts(now=seconds(10))
        self.assertTrue(named)

    def test_plan_sets_the_weights(self):
        shares = {"north": 250_000, "south": 750_000}
        key = FlowKey("shop", "north")
        self.state.steering.plan = RegionPlan(1, {key: shares})
        step(self.state, Tick(0))
        answer = look_up(self.state, "shop", 0, "11.1.1.1")
        weights: dict[str, int] = {}
        for host in answer.hosts:
            domain = HOSTS[host.host]
            region = "south" if domain == "c" else "north"
            weights[region] = weights.get(region, 0) + host.weight
        self.assertEqual(weights, shares)
        self.assertIn(answer.hosts[0].host, ("c-1", "c-2"))

    def test_refused_share_is_spread_evenly(self):
        shares = {"north": SHARE_UNIT * 3 // 4, REFUSED: SHARE_UNIT // 4}
        self.state.steering.plan = RegionPlan(1, {FlowKey("shop", "north"): shares})
        step(self.state, Tick(0))
        refused = 0
        for number in range(100):
            try:
                look_up_body(self.state, "shop", "11.1.1.1", 0)
            except LookupRefused:
                refused += 1
            self.assertLessEqual(abs(refused - (number + 1) / 4), 1)
        self.assertEqual(refused, 25)

    def test_body_is_the_answer_and_is_counted(self):
        step(self.state, Tick(0))
        body = json.loads(look_up_body(self.state, "shop", "10.1.1.1", 0))
        answer = look_up(self.state, "shop", 0, "10.1.1.1")
        self.assertEqual({h["host"] for h in body["hosts"]}, {"c-1", "c-2"})
        self.assertEqual(body["ttl"], answer.ttl)
        count = self.state.steering.lookup_counters[FlowKey("shop", "south")]
        self.assertEqual(count.lookups, 1)


class CutTests(TestCase):
    def test_cut_off_domain_names_what_it_reaches(self):
        world = World(json.dumps(build_two_regions()), HOSTS)
        world.run(seconds(6))
        world.network.isolate("c")
        world.run(seconds(8))
        for name, expected in (("c-1", {"c-1", "c-2"}), ("a-1", {"a-1", "a-2", "b-1"})):
            state = world.hosts[name].state
            now = world.read_clock(name)
            named = {host.host for host in look_up(state, "shop", now).hosts}
            self.assertEqual(named, expected)

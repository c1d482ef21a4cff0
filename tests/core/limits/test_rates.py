from __future__ import annotations

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from almondgap_core.limits.catalogue import Limit
from almondgap_core.limits.versions import find_share
from almondgap_core.units import millis, seconds
from almondgap_testkit.fakes.rates import RateWorld, build_rate_text
from tests.core.limits.test_leases import FAULTS, run_fault

HOSTS = {"a-1": "a", "a-2": "a", "b-1": "b", "c-1": "c"}
DOMAINS = {"a": "north", "b": "north", "c": "south"}
FOUR_DOMAINS = {**DOMAINS, "d": "south"}
VARIANTS = ((DOMAINS, 4), (FOUR_DOMAINS, 4), (DOMAINS, 3))
LIMITS = {"big": Limit(50_000, 20), "small": Limit(3_000, 2)}
STEP_US = millis(10)


def build_world(seed: int = 1) -> RateWorld:
    """Return a world in which all leases are held and all buckets are full."""
    world = RateWorld(LIMITS, HOSTS, DOMAINS, seed)
    world.run(seconds(12))
    return world


class RateTests(TestCase):
    def send(self, world, host, account, count, gap):
        for _ in range(count):
            world.ask(host, account)
            world.run(gap)
        world.run(seconds(2))

    def assert_bounds(self, world):
        for account in world.limits:
            self.assertEqual(world.count_overshoot(account), 0, account)

    def test_one_host_gets_the_whole_rate(self):
        for host in HOSTS:
            world = build_world()
            self.send(world, host, "big", 200, millis(21))
            admitted = [q for q in world.requests.values() if q.admitted is not None]
            self.assertEqual(len(admitted), 200, host)
            self.assert_bounds(world)

    def test_burst_at_one_host_is_admitted(self):
        for host in HOSTS:
            world = build_world()
            self.send(world, host, "big", 20, 0)
            self.assertEqual(world.list_wrongly_refused("big"), [], host)
            self.assert_bounds(world)

    def test_requests_above_the_rate_are_refused_with_a_retry_time(self):
        world = build_world()
        self.send(world, "c-1", "small", 30, millis(20))
        refused = [q for q in world.requests.values() if q.refused is not None]
        self.assertGreater(len(refused), 20)
        self.assertGreater(min(q.retry_after for q in refused), 0)
        self.assert_bounds(world)

    def test_cut_off_domain_serves_its_own_share(self):
        world = build_world()
        world.network.isolate("c")
        world.run(seconds(8))
        before = len(world.requests)
        self.send(world, "c-1", "big", 400, millis(20))
        asked = list(world.requests.values())[before:]
        admitted = sum(q.admitted is not None for q in asked)
        self.assertGreaterEqual(admitted, 400 * 0.02 * 50 / 3 * 0.95)
        self.assert_bounds(world)

    def test_new_division_takes_effect_on_every_host(self):
        world = build_world()
        world.apply(build_rate_text(LIMITS, VARIANTS[1][0], VARIANTS[1][1]))
        world.run(seconds(15))
        for host in world.hosts.values():
            self.assertEqual(host.state.limits.versions.reached_by_all, 2)
        self.send(world, "a-2", "big", 15, 0)
        self.assertEqual(world.list_wrongly_refused("big"), [])
        self.assert_bounds(world)

    def test_share_does_not_grow_while_a_host_may_use_the_old_version(self):
        world = RateWorld(LIMITS, HOSTS, FOUR_DOMAINS)
        world.run(seconds(12))
        shares = self.find_bursts(world, "b-1")
        world.network.isolate("a")
        world.apply(build_rate_text(LIMITS, DOMAINS))
        world.run(seconds(12))
        self.assertEqual(world.hosts["a-1"].state.settings.version, 1)
        self.assertEqual(world.hosts["b-1"].state.settings.version, 2)
        self.assertEqual(self.find_bursts(world, "b-1"), shares)
        world.network.heal()
        world.run(seconds(15))
        self.assertGreater(self.find_bursts(world, "b-1"), shares)

    def find_bursts(self, world, host):
        return find_share(world.hosts[host].state, "account:big").burst

    @settings(derandomize=True, deadline=None, max_examples=25)
    @given(
        st.integers(0, 1000),
        st.lists(
            st.tuples(
                st.sampled_from(("none", "cut", "heal", "pause", "resume", "crash")),
                st.sampled_from(sorted(HOSTS)),
                st.integers(0, 3),
                st.integers(10, 60),
            ),
            min_size=3,
            max_size=8,
        ),
    )
    def test_no_window_is_exceeded_while_versions_overlap(self, seed, changes):
        world = build_world(seed)
        for fault, name, variant, steps in changes:
            run_fault(world, fault, name)
            if variant < len(VARIANTS):
                domains, partitions = VARIANTS[variant]
                world.apply(build_rate_text(LIMITS, domains, partitions))
            for _ in range(steps):
                for host in HOSTS:
                    world.ask(host, "big")
                world.run(STEP_US * 8)
        world.run(seconds(2))
        self.assert_bounds(world)

    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(
        st.integers(0, 1000),
        st.lists(
            st.tuples(
                st.sampled_from((*FAULTS, "isolate")),
                st.sampled_from(sorted(HOSTS)),
                st.integers(1, 40),
                st.integers(0, 3),
            ),
            min_size=3,
            max_size=12,
        ),
    )
    def test_no_window_admits_more_than_the_limit(self, seed, faults):
        world = build_world(seed)
        world.network.loss = 0.05
        world.network.repeat = 0.1
        world.network.jitter = millis(20)
        for fault, name, steps, gap in faults:
            if fault == "isolate":
                world.network.isolate(world.hosts[name].entry.failure_domain)
            run_fault(world, fault, name)
            for step in range(steps):
                for host in ("a-1", "c-1", name):
                    world.ask(host, "big")
                if step % 5 == 0:
                    world.ask(name, "small")
                world.run(STEP_US * (1 + gap * gap * 4))
        world.run(seconds(2))
        self.assert_bounds(world)

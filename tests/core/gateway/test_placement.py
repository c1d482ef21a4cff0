from __future__ import annotations

import random
from collections import Counter
from unittest import TestCase
from unittest.mock import patch

from attrs import evolve

from almondgap_core.gateway import health, placement
from almondgap_core.gateway.configuration import Account
from almondgap_core.gateway.effects import Send
from almondgap_core.gateway.events import AttemptFailed, Failure, TargetAnswered
from almondgap_core.units import millis, seconds
from almondgap_core.verdict import Verdict
from almondgap_testkit.gateways.builders import (
    KEY,
    GatewayHarness,
    announce,
    build_configuration,
    build_location,
    build_route,
)
from almondgap_testkit.gateways.simulation import Simulation

TARGETS = tuple(announce(f"t{number}") for number in range(8))


def answer(bench: GatewayHarness, send: Send, took: int, **changes) -> None:
    """Let a target answer an attempt after some time."""
    bench.now += took
    fields = {
        "status": 200,
        "not_executed": False,
        "misdirected": False,
        "sealed": True,
        "load": (0, 0),
    }
    bench.feed(TargetAnswered, send.call, send.attempt, **{**fields, **changes})


class PlacementTests(TestCase):
    def test_object_goes_to_the_same_target_from_every_host(self):
        chosen = set()
        for seed in range(5):
            bench = GatewayHarness.build(TARGETS, seed=seed)
            bench.call(affinity_key="42")
            chosen.add(bench.find(Send)[0].target)
        self.assertEqual(len(chosen), 1)

    def test_objects_spread_over_targets(self):
        bench = GatewayHarness.build(TARGETS)
        chosen = set()
        for affinity_key in range(100):
            bench.call(affinity_key=str(affinity_key))
            send = bench.find(Send)[0]
            chosen.add(send.target)
            answer(bench, send, millis(100))
        self.assertEqual(len(chosen), len(TARGETS))

    def test_full_target_is_passed_over(self):
        cfg = build_configuration(routes=(build_route(sticky=False),))
        bench = GatewayHarness.build(TARGETS, cfg)
        chosen = []
        for _ in range(2 * len(TARGETS)):
            bench.call()
            chosen.append(bench.find(Send)[0].target)
        self.assertEqual(set(Counter(chosen).values()), {2})

    def test_object_waits_for_its_target_no_longer_than_fetching_it_takes(self):
        bench = GatewayHarness.build(TARGETS)
        chosen = []
        for _ in range(8):
            bench.call()
            chosen.append(bench.find(Send)[0].target)
        self.assertEqual(len(set(chosen[:3])), 1)
        self.assertLessEqual(chosen.count(chosen[0]), 4)

    def test_slow_target_is_avoided_and_tried_again(self):
        bench = GatewayHarness.build(TARGETS)
        bench.call()
        slow = bench.find(Send)[0]
        answer(bench, slow, millis(900))
        for _ in range(4):
            bench.call()
            send = bench.find(Send)[0]
            slow_took = send.target == slow.target
            answer(bench, send, millis(900 if slow_took else 150))
        bench.call()
        self.assertNotEqual(bench.find(Send)[0].target, slow.target)

    def test_failing_target_is_avoided(self):
        bench = GatewayHarness.build(TARGETS)
        bench.call()
        first = bench.find(Send)[0]
        answer(bench, first, millis(100), status=500)
        bench.call()
        self.assertNotEqual(bench.find(Send)[0].target, first.target)

    def test_target_without_connection_is_down(self):
        bench = GatewayHarness.build(TARGETS[:1])
        bench.call()
        send = bench.find(Send)[0]
        lost = (Failure.NOT_CONNECTED, Verdict.NOT_RUN)
        bench.feed(AttemptFailed, send.call, send.attempt, *lost)
        bench.call()
        self.assertEqual(bench.find(Send), [])


class HomeTests(TestCase):
    def test_route_with_homes_stays_there(self):
        route = build_route(regions=frozenset({"b"}))
        cfg = build_configuration(routes=(route,))
        targets = (*TARGETS, announce("home", failure_domain="b2"))
        bench = GatewayHarness.build(targets, cfg)
        for affinity_key in range(20):
            bench.call(affinity_key=str(affinity_key))
            send = bench.find(Send)[0]
            self.assertEqual(send.target, "home")
            answer(bench, send, millis(50))

    def test_homes_of_route_and_account_both_bind(self):
        account = Account("one", frozenset({KEY}), regions=frozenset({"a"}))
        cfg = build_configuration(accounts={"one": account})
        far = announce("far", failure_domain="b1")
        bench = GatewayHarness.build((far,), cfg)
        bench.call()
        self.assertEqual(bench.find(Send), [])
        route = build_route(regions=frozenset({"b"}))
        both = evolve(
            build_configuration(2, routes=(route,)), accounts={"one": account}
        )
        bench = GatewayHarness.build((far, *TARGETS), both)
        bench.call()
        self.assertEqual(bench.find(Send), [])


HOSTS = {"h1": "a1", "h2": "a1", "h3": "a2", "h4": "a2"}


def replay_objects(seed: int, duration: int = seconds(17)) -> Simulation:
    """Return a world in which callers ask for objects that nobody has yet.

    Load pattern of a played day's first seconds: 100 objects at 90 requests a second,
    ten targets with three slots, 150 ms for a warm object and 500 ms for another one,
    which is late; from the fifth second on one answer in a hundred is a failure.
    """
    cfg = build_configuration(accounts={"one": Account("one", frozenset({KEY}))})
    sim = Simulation(cfg, rng=random.Random(seed))
    for number in range(10):
        sim.add_target(announce(f"t{number}", slots=3), service_time=millis(150))
    for name, failure_domain in HOSTS.items():
        sim.add_host(name, failure_domain)
    sim.generate_load(list(HOSTS), 90.0, seconds(15), things=100)
    for second in range(5, 15):
        target = sim.targets[f"t{second % 10}"]
        start = sim.clock.now + seconds(second)
        sim.clock.call_at(
            start, lambda target=target: setattr(target, "mode", "failing")
        )
        end = start + millis(100)
        sim.clock.call_at(end, lambda target=target: setattr(target, "mode", "well"))
    sim.run(duration)
    return sim


def count_cache_misses(sim: Simulation) -> int:
    """Return how often an object was fetched at a target."""
    return sum(target.cache_misses for target in sim.targets.values())


def count_on_time(sim: Simulation) -> int:
    """Return the answers of targets within the goal."""
    return sum(
        outcome.status == 200 and outcome.latency <= millis(400)
        for outcome in sim.outcomes
    )


def find_slowdown_error(sim: Simulation) -> float:
    """Return by how much hosts misjudge targets that are all equally fast."""
    paces = [
        target.slowdown.read(sim.clock.now)
        for host in sim.hosts.values()
        for target in host.state.targets.values()
    ]
    return sum(abs(pace - 1.0) for pace in paces) / len(paces)


def estimate_former_factor(call, target, rank: int, now: int) -> float:
    """Rate the next targets of an object as nearly as good as the first."""
    if rank < 4:
        return (1.0, 1.25, 1.6, 2.2)[rank]
    return 1.0 if target.has_recent_object(call.affinity_key, now) else 3.0


class FetchTests(TestCase):
    def test_objects_are_fetched_less_than_when_next_targets_count_as_warm(self):
        for seed in (1, 2):
            now = replay_objects(seed)
            with patch.object(
                placement, "_estimate_service_factor", estimate_former_factor
            ):
                former = replay_objects(seed)
            self.assertLess(count_cache_misses(now), 0.6 * count_cache_misses(former))
            self.assertGreater(count_on_time(now), 1.2 * count_on_time(former))

    def test_targets_are_not_taken_to_be_slow_when_all_objects_are_new(self):
        for seed in (1, 2):
            now = replay_objects(seed, duration=seconds(1.5))
            with patch.object(health, "discount_cache_miss", lambda call, ratio: ratio):
                former = replay_objects(seed, duration=seconds(1.5))
            self.assertLess(find_slowdown_error(now), 0.5 * find_slowdown_error(former))

    def test_a_target_that_fetches_counts_as_no_slower(self):
        bench = GatewayHarness.build(TARGETS[:1])
        for affinity_key in range(6):
            bench.call(affinity_key=str(affinity_key))
            answer(bench, bench.find(Send)[0], millis(540))
        pace = bench.state.targets[TARGETS[0].target].slowdown.read(bench.now)
        self.assertLess(pace, 1.3)

    def test_a_target_that_is_slow_with_what_it_keeps_counts_as_slow(self):
        bench = GatewayHarness.build(TARGETS[:1])
        for _ in range(6):
            bench.call()
            answer(bench, bench.find(Send)[0], millis(540))
        pace = bench.state.targets[TARGETS[0].target].slowdown.read(bench.now)
        self.assertGreater(pace, 1.5)


class HomeWeightTests(TestCase):
    """Load pattern: callers in two regions, one of which has twice the targets."""

    def place(self, failure_domain: str) -> Counter:
        """Return the objects of a host's callers by region of their target."""
        targets = tuple(announce(f"a{number}") for number in range(8))
        targets += tuple(
            announce(f"b{number}", failure_domain="b1") for number in range(4)
        )
        bench = GatewayHarness.build(
            targets, location=build_location("h1", failure_domain)
        )
        counts = Counter()
        for affinity_key in range(400):
            bench.call(affinity_key=f"{failure_domain}{affinity_key}")
            send = bench.find(Send)[0]
            counts[send.target[0]] += 1
            answer(bench, send, millis(100))
        return counts

    def test_most_objects_stay_in_the_region_of_their_callers(self):
        homed = self.place("a1")["a"] + self.place("b1")["b"]
        with patch.object(placement, "LOCAL_REGION_WEIGHT", 1.0):
            former = self.place("a1")["a"] + self.place("b1")["b"]
        self.assertGreater(homed, 0.6 * 800)
        self.assertGreater(homed, 1.2 * former)

    def test_regions_of_unequal_size_stay_loaded_alike(self):
        both = self.place("a1") + self.place("b1")
        fair = 800 / 12
        self.assertLess(both["b"] / 4, 1.3 * fair)
        self.assertLess(both["a"] / 8, 1.3 * fair)

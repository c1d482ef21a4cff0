from __future__ import annotations

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from almondgap_core.events import PeerMessage
from almondgap_core.limits.leases import LEASE_DURATION_US, find_held
from almondgap_core.limits.messages import PromiseRequest
from almondgap_core.limits.partitions import Partition, list_partitions
from almondgap_core.limits.rows import LeaseRow, make_row_key
from almondgap_core.reducer import step
from almondgap_core.units import millis, seconds
from almondgap_testkit.builders import build_text
from almondgap_testkit.fakes.world import World

HOSTS = {"a-1": "a", "a-2": "a", "a-3": "a", "b-1": "b"}
STEP_US = seconds(0.5)
FAULTS = ("none", "crash", "start", "pause", "resume", "cut", "heal", "down", "lose")
HOLD_US = seconds(600)


def list_holders(world: World, domain: str) -> dict[int, list[tuple[str, int]]]:
    """Return the running hosts with a valid lease on each partition, with the epoch."""
    held: dict[int, list[tuple[str, int]]] = {}
    for partition in list_partitions(world.inventory, domain):
        held[partition.index] = []
        for name, host in world.hosts.items():
            if host.state is None:
                continue
            lease = find_held(host.state, partition, world.read_clock(name))
            if lease is not None:
                held[partition.index].append((name, lease.epoch))
    return held


def run_fault(world: World, fault: str, name: str) -> None:
    """Inject a fault by name, or end one; impossible ones are skipped."""
    host = world.hosts[name]
    match fault:
        case "crash":
            world.crash(name)
        case "start" if host.state is None:
            world.start(name)
        case "pause" if host.state is not None:
            world.pause(name)
        case "resume" if host.state is not None:
            world.resume(name)
        case "cut":
            world.network.cut(host.entry.failure_domain, "platform")
        case "heal":
            world.network.heal()
            world.platform.down = False
        case "down":
            world.platform.down = True
        case "lose":
            world.platform.lose_answers += 2


class LeaseTests(TestCase):
    def build_world(self, seed: int = 1) -> World:
        world = World(build_text(), HOSTS, seed)
        world.run(seconds(5))
        return world

    def assert_one_holder(self, world: World, domain: str = "a") -> None:
        for index, holders in list_holders(world, domain).items():
            self.assertEqual(len(holders), 1, f"{domain}/{index}: {holders}")

    def test_every_partition_gets_one_holder(self):
        world = self.build_world()
        self.assert_one_holder(world, "a")
        self.assert_one_holder(world, "b")
        parts = list_holders(world, "a").values()
        names = [name for ((name, _),) in parts]
        self.assertLessEqual(max(names.count(name) for name in names), 2)

    def test_crashed_host_is_replaced_after_its_leases_expire(self):
        world = self.build_world()
        before = list_holders(world, "a")
        name = before[0][0][0]
        world.crash(name)
        world.run(LEASE_DURATION_US // 2)
        self.assertEqual(list_holders(world, "a")[0], [])
        world.run(seconds(15))
        self.assert_one_holder(world)
        self.assertGreater(list_holders(world, "a")[0][0][1], before[0][0][1])

    def test_planned_stop_hands_partitions_over(self):
        world = self.build_world()
        name = list_holders(world, "a")[0][0][0]
        world.drain(name)
        world.run(seconds(world.inventory.lookup_ttl))
        self.assert_one_holder(world)
        world.run(seconds(5))
        self.assertIsNone(world.hosts[name].state)
        self.assert_one_holder(world)

    def test_paused_holder_resumes_without_leases(self):
        world = self.build_world()
        name = list_holders(world, "a")[0][0][0]
        world.pause(name)
        world.run(seconds(20))
        state = world.hosts[name].state
        for partition in list_partitions(world.inventory, "a"):
            self.assertIsNone(find_held(state, partition, world.read_clock(name)))
        world.resume(name)
        self.assertNotIn(
            name, [n for h in list_holders(world, "a").values() for n, _ in h]
        )

    def test_lost_answer_does_not_change_the_epoch(self):
        world = World(build_text(), HOSTS)
        world.platform.lose_answers = 6
        world.run(seconds(20))
        self.assert_one_holder(world)
        epochs = {h[0][1] for h in list_holders(world, "b").values()}
        self.assertEqual(epochs, {1})

    def test_lone_host_waits_for_its_own_lease_after_a_crash(self):
        world = self.build_world()
        world.crash("b-1")
        world.start("b-1")
        world.run(seconds(100))
        self.assertEqual(list_holders(world, "b")[0], [])
        world.run(seconds(45))
        self.assert_one_holder(world, "b")

    def test_joining_host_gets_partitions(self):
        world = World(build_text(), HOSTS)
        world.crash("a-3")
        world.run(seconds(20))
        world.start("a-3")
        world.run(seconds(40))
        names = [h[0][0] for h in list_holders(world, "a").values()]
        self.assertIn("a-3", names)
        self.assert_one_holder(world)

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.integers(0, 1000),
        st.lists(
            st.tuples(
                st.sampled_from(FAULTS),
                st.sampled_from(sorted(HOSTS)),
                st.integers(1, 30),
            ),
            min_size=3,
            max_size=14,
        ),
    )
    def test_no_partition_has_two_holders(self, seed, faults):
        world = World(build_text(), HOSTS, seed)
        world.network.loss = 0.05
        world.network.repeat = 0.1
        epochs: dict[tuple[str, int], int] = {}
        for fault, name, steps in faults:
            run_fault(world, fault, name)
            for _ in range(steps):
                world.run(STEP_US)
                for domain in ("a", "b"):
                    self.check_holders(world, domain, epochs)

    def check_holders(self, world, domain, epochs):
        for index, holders in list_holders(world, domain).items():
            self.assertLessEqual(len(holders), 1, holders)
            for _, epoch in holders:
                key = (domain, index)
                self.assertGreaterEqual(epoch, epochs.get(key, 0))
                epochs[key] = epoch


class OutageTests(TestCase):
    def build_world(self) -> World:
        world = World(build_text(), HOSTS)
        world.run(seconds(8))
        return world

    def test_leases_stay_valid_in_an_outage_of_a_minute(self):
        world = self.build_world()
        world.platform.down = True
        for _ in range(60):
            world.run(seconds(1))
            for domain in ("a", "b"):
                for index, holders in list_holders(world, domain).items():
                    self.assertEqual(len(holders), 1, f"{domain}/{index}")

    def test_crashed_witness_ends_the_extension(self):
        world = self.build_world()
        world.platform.down = True
        world.run(seconds(20))
        world.crash("a-3")
        world.run(seconds(20))
        held = [h for h in list_holders(world, "a").values() if h]
        self.assertEqual(held, [])

    def test_promises_extend_leases_of_a_holder_without_the_store(self):
        world = self.build_world()
        world.network.cut("a", "platform")
        world.run(seconds(100))
        for holders in list_holders(world, "a").values():
            self.assertEqual(len(holders), 1)

    def test_extension_ends_with_the_hold(self):
        world = self.build_world()
        world.network.cut("b", "platform")
        world.run(seconds(140))
        self.assertEqual([h for h in list_holders(world, "b").values() if h], [])

    def test_first_row_after_expiry_allows_no_early_takeover(self):
        world = self.build_world()
        holder = list_holders(world, "a")[0][0][0]
        old = self.read_row(world)
        world.crash(holder)
        fresh = old
        while fresh.epoch == old.epoch:
            world.run(millis(1))
            fresh = self.read_row(world)
        self.assertEqual(fresh.witnesses, ())
        self.assertGreaterEqual(fresh.hold, old.hold)
        world.run(seconds(4))
        self.assertNotEqual(self.read_row(world).witnesses, ())

    def read_row(self, world: World) -> LeaseRow:
        key = make_row_key(Partition("a", 0))
        return LeaseRow.from_text(world.platform.tables.read(key).value)

    def test_no_promise_for_a_past_epoch(self):
        world = self.build_world()
        holder = list_holders(world, "a")[0][0][0]
        other = next(name for name in ("a-1", "a-2") if name != holder)
        state = world.hosts[other].state
        now = world.read_clock(other)
        epoch = self.read_row(world).epoch
        for asked, answers in ((epoch, 1), (epoch - 1, 0)):
            ask = PromiseRequest(1, seconds(7), (0,), (asked,))
            effects = step(state, PeerMessage(now, holder, ask))
            self.assertEqual(len(effects), answers)

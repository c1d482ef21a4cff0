"""Break each safety rule of slots once; the overload check must detect it."""

from __future__ import annotations

import random
from unittest import TestCase
from unittest.mock import patch

from almondgap_core.events import CallerGone
from almondgap_core.limits.leases import HeldLease
from almondgap_core.state import HostState
from almondgap_core.steering import (
    acquisition,
    ejection,
    ownership,
    slots,
    target_selection,
)
from almondgap_core.steering.slot_result import SlotResult
from almondgap_core.units import millis, seconds
from almondgap_testkit.pressure import Pressure, build_world, count_overloads


def run_takeover() -> int:
    """Crash an owner whose slots are in use for longer than its lease."""
    world = build_world(
        domains=1,
        hosts=2,
        slots=1,
        targets_per_domain=4,
        deadline_ms=30_000,
        open_to_all=True,
    )
    for target in world.targets.values():
        target.service_time = seconds(25)
    load = Pressure(world, random.Random(2))
    load.add("anyone", 10, seconds(30), ["h1"])
    world.run(seconds(3))
    world.crash("h0")
    world.run(seconds(30))
    return count_overloads(world)


def run_planned_stop() -> int:
    """Stop an owner by plan while another host's requests use its slots."""
    world = build_world(
        domains=1,
        hosts=2,
        slots=1,
        targets_per_domain=4,
        deadline_ms=30_000,
        open_to_all=True,
    )
    for target in world.targets.values():
        target.service_time = seconds(25)
    load = Pressure(world, random.Random(2))
    load.add("anyone", 10, seconds(40), ["h1"])
    world.run(seconds(3))
    world.drain("h0")
    world.run(seconds(40))
    return count_overloads(world)


def run_paused_owner() -> int:
    """Pause an owner until another host has taken its partitions, three times."""
    world = build_world(
        domains=1, hosts=2, slots=1, targets_per_domain=8, open_to_all=True
    )
    for target in world.targets.values():
        target.service_time = millis(1_200)
    load = Pressure(world, random.Random(3))
    load.add("anyone", 40, seconds(120), ["h0", "h1"])
    for _ in range(3):
        world.run(seconds(14))
        world.pause("h0")
        world.run(seconds(22))
        world.resume("h0")
    load.finish()
    return count_overloads(world)


def run_repeats() -> int:
    """Let every message arrive twice, and late."""
    world = build_world(domains=2, hosts=4, slots=1)
    for target in world.targets.values():
        target.service_time = millis(400)
    world.network.repeat = 1.0
    world.network.jitter = millis(20)
    load = Pressure(world, random.Random(4))
    load.add("c0", 20, seconds(5), list(world.hosts))
    load.finish()
    return count_overloads(world)


def run_impatient_callers() -> int:
    """Let callers leave while a target does not notice closed connections."""
    world = build_world(domains=1, hosts=1, slots=1)
    target = world.targets["t0-0-0"]
    target.service_time = millis(1_500)
    target.ignores_cancel = True
    req = world.call("h0", "s0", "c0")
    world.run(millis(100))
    world.feed("h0", CallerGone(world.read_clock("h0"), req))
    world.call("h0", "s0", "c0")
    world.run(seconds(3))
    return count_overloads(world)


SCENARIOS = (
    run_takeover,
    run_planned_stop,
    run_paused_owner,
    run_repeats,
    run_impatient_callers,
)


class Forgetful(dict):
    """A dictionary that never says that it holds a key."""

    def __contains__(self, key: object) -> bool:
        return False


def find_held_for_ever(state, partition, now):
    """Return the lease on a partition that this host ever held."""
    lease = state.limits.leases.own.get(partition)
    return None if lease is None else HeldLease(partition, lease.epoch)


class MutationTests(TestCase):
    def test_rules_hold_unbroken(self):
        counts = {scenario.__name__: scenario() for scenario in SCENARIOS}
        self.assertEqual(set(counts.values()), {0}, counts)

    def test_new_holder_that_does_not_wait_is_caught(self):
        def never(state, target, now):
            return False

        with (
            patch.object(ejection, "is_blocked", never),
            patch.object(target_selection, "is_blocked", never),
        ):
            self.assertGreater(run_takeover(), 0)

    def test_lease_released_as_clean_with_slots_in_use_is_caught(self):
        busy = property(lambda state: bool(state.requests.open))
        with patch.object(HostState, "is_busy", busy):
            self.assertGreater(run_planned_stop(), 0)

    def test_owner_that_does_not_check_its_lease_is_caught(self):
        with patch.object(ownership, "find_held", find_held_for_ever):
            self.assertGreater(run_paused_owner(), 0)

    def test_slot_freed_before_the_deadline_is_caught(self):
        with patch.object(slots, "add_clock_margin", lambda duration: millis(10)):
            self.assertGreater(run_repeats(), 0)

    def test_slot_freed_by_a_cancelled_attempt_is_caught(self):
        with patch.object(SlotResult, "frees_slot", True):
            self.assertGreater(run_impatient_callers(), 0)

    def test_repeated_grant_that_gives_the_slot_back_is_caught(self):
        handle = acquisition.handle_grant

        def forget(state, host, message, now):
            state.slots.used_numbers = Forgetful(state.slots.used_numbers)
            handle(state, host, message, now)

        handlers = acquisition.MESSAGE_HANDLERS | {acquisition.SlotGrant: forget}
        with patch.dict("almondgap_core.reducer.MESSAGE_HANDLERS", handlers):
            self.assertGreater(run_repeats(), 0)

    def test_owner_that_counts_no_slots_is_caught(self):
        with patch.object(target_selection, "compute_slot_limit", lambda *_: 1_000):
            self.assertGreater(run_repeats(), 0)

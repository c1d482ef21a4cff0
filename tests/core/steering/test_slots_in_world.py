from __future__ import annotations

import json
import random
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from almondgap_core.units import millis, seconds
from almondgap_core.verdict import Verdict
from almondgap_testkit.fakes.world import World
from almondgap_testkit.fleets import build_fleet_document, place_hosts
from almondgap_testkit.pressure import (
    SETTLE_US,
    Pressure,
    build_world,
    count_overloads,
    list_unanswered,
)

FAULTS = ("loss", "repeat", "cut", "pause", "crash", "shed", "stall", "break", "slow")


def do_fault(world, rng: random.Random, fault: str) -> None:
    """Let a fault happen; all of them together must never overload a target."""
    host = rng.choice(list(world.hosts))
    target = rng.choice(list(world.targets.values()))
    match fault:
        case "loss":
            world.network.loss = 0.1
        case "repeat":
            world.network.repeat = 0.3
            world.network.jitter = millis(30)
        case "cut":
            world.network.isolate(rng.choice(["d0", "d1", "d2"]))
        case "pause":
            if world.hosts[host].state is not None and not world.hosts[host].paused:
                world.pause(host)
                world.clock.call_later(seconds(3), lambda: world.resume(host))
        case "crash":
            if world.hosts[host].state is not None and not world.hosts[host].paused:
                world.crash(host)
                world.clock.call_later(seconds(1), lambda: world.start(host))
        case "shed":
            target.shed = not target.shed
        case "stall":
            target.stalled = not target.stalled
        case "break":
            target.broken = not target.broken
        case "slow":
            target.service_time = millis(rng.choice([5, 200, 1_500]))


class SlotTests(TestCase):
    def test_free_slots_of_other_domains_are_used(self):
        world = build_world(domains=3, slots=2)
        load = Pressure(world, random.Random(1))
        for target in world.targets.values():
            target.service_time = millis(500)
        for _ in range(6):
            load.calls.setdefault("c0", []).append(world.call("h0", "s0", "c0"))
        world.run(seconds(3))
        statuses = [answer.status for answer in load.list_answers("c0")]
        self.assertEqual(statuses, [200] * 6)
        self.assertEqual([t.overloads for t in world.targets.values()], [0] * 3)
        used = [len(target.started) for target in world.targets.values()]
        self.assertEqual(used, [2, 2, 2])

    def test_request_waits_for_a_slot_and_is_refused_as_not_run_without_one(self):
        world = build_world(domains=1, hosts=1, slots=1)
        target = world.targets["t0-0-0"]
        target.service_time = millis(300)
        asked = [world.call("h0", "s0", "c0") for _ in range(9)]
        world.run(seconds(3))
        answers = [world.answers[req] for req in asked]
        served = [answer for answer in answers if answer.status == 200]
        refused = [answer for answer in answers if answer.status == 503]
        self.assertEqual(len(served) + len(refused), 9)
        self.assertGreaterEqual(len(served), 6)
        for answer in refused:
            self.assertIs(answer.verdict, Verdict.NOT_RUN)
            self.assertGreater(answer.refusal.retry_after, 0)
        self.assertEqual(target.overloads, 0)

    def test_slots_beyond_the_connections_are_not_used(self):
        document = build_fleet_document(1, slots=6)
        document["services"]["s0"]["targets"][0]["connections"] = 2
        world = World(json.dumps(document), place_hosts(1, 1))
        world.run(SETTLE_US)
        target = world.targets["t0-0-0"]
        target.service_time = millis(500)
        for _ in range(6):
            world.call("h0", "s0", "c0")
        world.run(millis(100))
        self.assertEqual(target.running, 2)

    def test_slot_of_a_crashed_asker_is_busy_until_its_deadline(self):
        world = build_world(domains=2, hosts=2, slots=1)
        world.targets["t0-0-0"].stalled = True
        world.targets["t0-1-0"].unreachable = True
        world.call("h1", "s0", "c0")
        world.run(millis(300))
        self.assertEqual(world.targets["t0-0-0"].running, 1)
        world.crash("h1")
        world.targets["t0-0-0"].stalled = False
        early = world.call("h0", "s0", "c0")
        world.run(millis(1_000))
        self.assertEqual(world.answers[early].status, 0)
        world.run(seconds(3))
        late = world.call("h0", "s0", "c0")
        world.run(seconds(1))
        self.assertEqual(world.answers[late].status, 200)
        self.assertEqual(count_overloads(world), 0)

    def test_unclean_takeover_waits_out_the_slots_in_use(self):
        world = build_world(domains=1, hosts=2, slots=1, targets_per_domain=4)
        for target in world.targets.values():
            target.service_time = millis(1_900)
        load = Pressure(world, random.Random(2))
        load.add("c0", 20, seconds(20), ["h1"])
        world.run(seconds(3))
        world.crash("h0")
        load.finish()
        self.assertEqual(count_overloads(world), 0)
        last = load.list_answers("c0")[-30:]
        self.assertTrue(any(answer.status == 200 for answer in last))
        self.assertEqual(list_unanswered(world), [])

    @settings(derandomize=True, deadline=None, max_examples=25)
    @given(st.integers(0, 2**32), st.lists(st.sampled_from(FAULTS), max_size=6))
    def test_nothing_overloads_a_target(self, seed, faults):
        rng = random.Random(seed)
        world = build_world(slots=2, seed=seed, accounts=2)
        for target in world.targets.values():
            target.service_time = millis(rng.choice([10, 100, 700]))
        load = Pressure(world, rng)
        hosts = list(world.hosts)
        load.add("c0", 30, seconds(10), hosts, method="POST")
        load.add("c1", 15, seconds(10), hosts)
        for number, fault in enumerate(faults):
            at = world.clock.now + seconds(1 + number * 8 / 6)
            world.clock.call_at(at, lambda fault=fault: do_fault(world, rng, fault))
        world.run(seconds(10))
        world.network.heal()
        load.finish()
        world.run(seconds(4))
        self.assertEqual(count_overloads(world), 0)
        for host in world.hosts.values():
            if host.state is not None:
                used = host.state.slots.slots_used
                self.assertEqual(set(used.values()) - {0}, set())
            for queue in host.state.slots.queues.values() if host.state else ():
                self.assertLessEqual(len(queue), queue.limit)
        if "crash" not in faults:
            self.assertEqual(list_unanswered(world), [])
        for label, target in ((k, t) for t in world.targets.values() for k in t.ran):
            answer = world.answers[label]
            if target.ran[label]:
                self.assertIsNot(answer.verdict, Verdict.NOT_RUN, label)

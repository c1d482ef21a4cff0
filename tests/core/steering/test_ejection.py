from __future__ import annotations

import json
import random
from unittest import TestCase
from unittest.mock import patch

from attrs import evolve

from almondgap_core.settings import inventory
from almondgap_core.steering import ejection
from almondgap_core.steering.service_loads import measure_loads
from almondgap_core.units import millis, seconds
from almondgap_testkit.fleets import build_fleet_document
from almondgap_testkit.pressure import (
    Pressure,
    build_world,
    count_overloads,
    list_unanswered,
)

FLEET = {"slots": 4, "targets_per_domain": 4}


def run_liar() -> list[int]:
    """Return the statuses of 300 answers while one of four targets only fails."""
    world = build_world(domains=1, hosts=1, **FLEET)
    world.targets["t0-0-0"].status = 500
    load = Pressure(world, random.Random(1))
    load.add("c0", 30, seconds(10), ["h0"])
    load.finish()
    return [answer.status for answer in load.list_answers("c0")]


class EjectionTests(TestCase):
    def test_target_that_only_fails_is_ejected(self):
        statuses = run_liar()
        self.assertLessEqual(statuses.count(500), 10)

    def test_target_that_is_never_ejected_is_caught(self):
        with patch.object(ejection, "_is_failing", lambda *_: False):
            self.assertGreater(run_liar().count(500), 10)

    def test_at_most_half_is_ejected(self):
        world = build_world(domains=1, hosts=2, **FLEET)
        for target in world.targets.values():
            target.status = 500
        load = Pressure(world, random.Random(2))
        load.add("c0", 60, seconds(15), list(world.hosts))
        worst = 0
        for _ in range(60):
            world.run(millis(250))
            worst = max(worst, self.count_ejected(world))
        self.assertGreater(worst, 0)
        self.assertLessEqual(worst, 2)

    def test_target_that_recovers_comes_back_by_one_probe_and_a_ramp(self):
        world = build_world(domains=1, hosts=1, **FLEET)
        target = world.targets["t0-0-0"]
        target.status = 500
        load = Pressure(world, random.Random(3))
        load.add("c0", 40, seconds(40), ["h0"])
        world.run(seconds(4))
        self.assertEqual(self.count_ejected(world), 1)
        target.status = 200
        target.service_time = millis(400)
        peak = 0
        while self.count_ejected(world):
            world.run(millis(10))
            peak = max(peak, target.running)
        self.assertLessEqual(peak, 1)
        target.service_time = millis(10)
        load.finish()
        self.assertGreater(len([at for at in target.started if at > seconds(30)]), 20)

    def test_stuck_slots_of_an_ejected_target_do_not_make_the_others_seem_full(self):
        world = build_world(domains=1, hosts=1, **FLEET)
        world.targets["t0-0-0"].stalled = True
        load = Pressure(world, random.Random(8))
        load.add("c0", 40, seconds(6), ["h0"])
        world.run(seconds(2.3))
        self.assertEqual(self.count_ejected(world), 1)
        state = world.hosts["h0"].state
        self.assertEqual(state.slots.slots_used["t0-0-0"], 4)
        (load,) = measure_loads(state, world.read_clock("h0"))
        self.assertEqual(load.slots, 12)
        self.assertLess(load.used, 4)

    def test_flapping_target_is_tried_ever_less_often(self):
        world = build_world(domains=1, hosts=1, **FLEET)
        target = world.targets["t0-0-0"]
        target.status = 500
        load = Pressure(world, random.Random(4))
        load.add("c0", 40, seconds(60), ["h0"])
        load.finish()
        bad = [answer for answer in load.list_answers("c0") if answer.status == 500]
        self.assertLessEqual(len(bad), 15)

    def count_ejected(self, world) -> int:
        return sum(
            health.ejected_until is not None
            for host in world.hosts.values()
            for health in host.state.slots.target_health.values()
        )


class ShedTests(TestCase):
    def test_shed_answers_move_the_request(self):
        world = build_world(domains=2, hosts=2, slots=4)
        world.targets["t0-0-0"].shed = True
        load = Pressure(world, random.Random(5))
        load.add("c0", 5, seconds(10), ["h0"], method="POST")
        load.finish()
        statuses = [answer.status for answer in load.list_answers("c0")]
        self.assertGreaterEqual(statuses.count(200), 0.9 * len(statuses))
        ran = [t.ran.get(label, 0) for t in world.targets.values() for label in t.ran]
        self.assertEqual(set(ran), {1})


class DrainTests(TestCase):
    def run_drain(self, cut: bool):
        document = build_fleet_document(3, slots=4, targets_per_domain=2)
        world = build_world(domains=3, hosts=6, slots=4, targets_per_domain=2)
        target = world.targets["t0-0-0"]
        for other in world.targets.values():
            other.service_time = millis(300)
        load = Pressure(world, random.Random(6))
        load.add("c0", 40, seconds(10), list(world.hosts))
        world.run(seconds(2))
        self.assertGreater(len(target.started), 3)
        document["services"]["s0"]["targets"][0]["draining"] = True
        world.apply(json.dumps(document))
        at = world.clock.now
        if cut:
            world.network.isolate("d1")
        load.finish()
        return world, max(target.started) - at

    def test_leaving_target_gets_nothing_new_after_three_seconds(self):
        for cut in (False, True):
            world, last = self.run_drain(cut)
            self.assertLessEqual(last, seconds(3))
            self.assertEqual(count_overloads(world), 0)
            self.assertEqual(list_unanswered(world), [])
            self.assertEqual(world.targets["t0-0-0"].running, 0)

    def test_owner_that_ignores_the_drain_is_caught(self):
        read = inventory._read_target

        def forget(*args):
            return evolve(read(*args), draining=False)

        with patch.object(inventory, "_read_target", forget):
            _, last = self.run_drain(False)
        self.assertGreater(last, seconds(3))

    def test_target_back_from_a_drain_begins_with_little(self):
        document = build_fleet_document(1, **FLEET)
        document["services"]["s0"]["targets"][0]["draining"] = True
        world = build_world(domains=1, hosts=1, **FLEET)
        world.apply(json.dumps(document))
        world.run(seconds(4))
        for target in world.targets.values():
            target.service_time = millis(500)
        document["services"]["s0"]["targets"][0]["draining"] = False
        load = Pressure(world, random.Random(7))
        load.add("c0", 60, seconds(25), ["h0"])
        world.apply(json.dumps(document))
        target = world.targets["t0-0-0"]
        begun = []
        for _ in range(250):
            world.run(millis(100))
            begun.append(target.running)
        early = next(n for n, running in enumerate(begun) if running)
        self.assertLessEqual(max(begun[early : early + 20]), 1)
        self.assertEqual(max(begun), 4)

"""Fairness over client accounts, drains, cost of a slot, and hedging by a model."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Iterator

from almondgap_core.events import SlotAsked
from almondgap_core.reducer import step
from almondgap_core.units import MICROS_PER_MILLI, MICROS_PER_SECOND, millis, seconds
from almondgap_testkit.bench.figure import Figure
from almondgap_testkit.builders import build_state
from almondgap_testkit.fleets import build_fleet_document
from almondgap_testkit.pressure import Pressure, build_world, count_overloads

ACCOUNTS = 8
DOMAINS = 6
HOSTS = 10
RATE_PER_S = 40.0
LOUD_FACTOR = 5
DURATION_US = seconds(20)
FLEET = {"domains": DOMAINS, "hosts": HOSTS, "slots": 6, "targets_per_domain": 2}

#: Longest time until a leaving target gets nothing new.
DRAIN_BOUND_S = 3.0

#: Most that the loud account may add to the 99th percentile of the others.
P99_RATIO = 1.10

STATUS_NO_CAPACITY = 503

DECISIONS = 10_000
MICROS_PER_DECISION = 1e6


def measure() -> Iterator[Figure]:
    """Yield the figures of slots and targets, in simulated time but for the cost."""
    yield from _measure_fairness()
    yield from _measure_scarcity()
    yield from _measure_drain()
    yield from _measure_stall()
    yield Figure("targets.decision_cpu", _measure_decision(), "us")


def _measure_fairness() -> Iterator[Figure]:
    """Yield what one account at five times its rate costs seven others."""
    quiet = _run_accounts(1, rate_per_s=RATE_PER_S, burst=40)
    loud = _run_accounts(LOUD_FACTOR, rate_per_s=RATE_PER_S, burst=40)
    yield Figure("targets.loud.refusals_of_others", _count_refused(loud), "requests", 0)
    late = _count_refused(loud, STATUS_NO_CAPACITY)
    yield Figure("targets.loud.no_slot_for_others", late, "requests", 0)
    ratio = _measure_p99(loud) / _measure_p99(quiet)
    yield Figure("targets.loud.p99_of_others", ratio, "ratio", P99_RATIO)
    overloads = count_overloads(loud.world) + count_overloads(quiet.world)
    yield Figure("targets.loud.overloads", overloads, "requests", 0)


def _measure_scarcity() -> Iterator[Figure]:
    """Yield the same with no rate but the queue to hold the loud account back.

    Nine tenths of the slots are in use without it, and four thirds of all with it.
    """
    slow = {"service_time": millis(400)}
    quiet = _run_accounts(1, **slow)
    loud = _run_accounts(LOUD_FACTOR, **slow)
    others = sum(len(loud.calls[name]) for name in _list_others(loud))
    share = _count_refused(loud) / others
    yield Figure("targets.scarce.refused_of_others", share, "share")
    ratio = _measure_p99(loud) / _measure_p99(quiet)
    yield Figure("targets.scarce.p99_of_others", ratio, "ratio")
    served = [len(loud.list_times(name)) for name in sorted(loud.calls)]
    fair = served[0] / max(served[1:])
    yield Figure("targets.scarce.loud_served_to_others", fair, "ratio")
    overloads = count_overloads(loud.world) + count_overloads(quiet.world)
    yield Figure("targets.scarce.overloads", overloads, "requests", 0)


def _run_accounts(factor: int, service_time: int = millis(20), **fields) -> Pressure:
    world = build_world(accounts=ACCOUNTS, seed=5, **FLEET, **fields)
    for target in world.targets.values():
        target.service_time = service_time
    load = Pressure(world, random.Random(5))
    rate = 20.0
    for number in range(ACCOUNTS):
        own = rate * factor if number == 0 else rate
        load.add(f"c{number}", own, DURATION_US, list(world.hosts))
    load.finish()
    return load


def _list_others(load: Pressure) -> list[str]:
    return sorted(load.calls)[1:]


def _count_refused(load: Pressure, status: int | None = None) -> int:
    answers = [a for name in _list_others(load) for a in load.list_answers(name)]
    refusals = [answer.refusal for answer in answers if answer.refusal is not None]
    return sum(status in (None, refusal.status) for refusal in refusals)


def _measure_p99(load: Pressure) -> float:
    times = sorted(t for name in _list_others(load) for t in load.list_times(name))
    return times[len(times) * 99 // 100] / MICROS_PER_MILLI


def _measure_drain() -> Iterator[Figure]:
    """Yield when a leaving target got its last new request, over several seeds."""
    latest = 0.0
    for seed in range(5):
        world = build_world(seed=seed, **FLEET)
        load = Pressure(world, random.Random(seed))
        load.add("c0", 200, seconds(8), list(world.hosts))
        world.run(seconds(2))
        document = build_fleet_document(DOMAINS, slots=6, targets_per_domain=2)
        document["services"]["s0"]["targets"][0]["draining"] = True
        world.apply(json.dumps(document))
        at = world.clock.now
        load.finish()
        last = max(world.targets["t0-0-0"].started, default=0) - at
        latest = max(latest, last / MICROS_PER_SECOND)
    yield Figure("targets.drain_last_new", latest, "s", DRAIN_BOUND_S)


def _measure_stall() -> Iterator[Figure]:
    """Yield what hedging could win: the requests that a stalled target holds up.

    One of twelve targets stops answering five seconds into the run. A hedged request
    could end soon after the others' 99th percentile, so every request that took three
    times as long, or failed, is one that hedging could mend.
    """
    quiet = _run_stall(stalled=False)
    stall = _run_stall(stalled=True)
    usual = _list_all_times(quiet)
    limit = 3 * usual[len(usual) * 99 // 100]
    times = _list_all_times(stall)
    slow = sum(took > limit for took in times) / len(times)
    yield Figure("targets.stall.held_up", slow, "share")
    ratio = times[len(times) * 99 // 100] / usual[len(usual) * 99 // 100]
    yield Figure("targets.stall.p99", ratio, "ratio")
    ratio = times[len(times) * 999 // 1000] / usual[len(usual) * 999 // 1000]
    yield Figure("targets.stall.p999", ratio, "ratio")


def _run_stall(stalled: bool) -> Pressure:
    world = build_world(seed=6, **FLEET)
    load = Pressure(world, random.Random(6))
    load.add("c0", RATE_PER_S * 4, DURATION_US, list(world.hosts))
    world.run(seconds(5))
    world.targets["t0-0-0"].stalled = stalled
    load.finish()
    return load


def _list_all_times(load: Pressure) -> list[int]:
    """Return the sorted times to any answer."""
    answers = load.list_answers("c0")
    return sorted(answer.answered - answer.asked for answer in answers)


def _measure_decision() -> float:
    """Return the processor time to hand out and take back one slot, in microseconds.

    No request is known under the name, so the slot goes back in the same step.
    """
    state = build_state()
    began = time.process_time()
    for number in range(DECISIONS):
        now = seconds(1) + number * MICROS_PER_MILLI
        req = f"r{number}"
        step(state, SlotAsked(now, req, "shop", "one", now + seconds(2)))
    return (time.process_time() - began) / DECISIONS * MICROS_PER_DECISION

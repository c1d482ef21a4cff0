"""Mechanisms of placing and rejecting, each switched off, on deployments of our own.

The deployments differ in what targets keep, what a hit gains, and how long requests
take. The load is a calm part, a surge to twice the room, and targets that turn slow or
fail, one after the other.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import AbstractContextManager, nullcontext
from itertools import product
from unittest.mock import patch

from attrs import frozen

from almondgap_core.gateway import calls, health, overload, placement
from almondgap_core.gateway.configuration import Account
from almondgap_core.gateway.target import FailureShare, Target
from almondgap_core.units import MICROS_PER_SECOND, millis, seconds
from almondgap_testkit.bench.figure import Figure
from almondgap_testkit.gateways.builders import (
    KEY,
    announce,
    build_configuration,
    build_route,
)
from almondgap_testkit.gateways.simulation import Simulation

HOSTS = {"h1": "a1", "h2": "a2", "h3": "b1", "h4": "b2"}
TARGETS, SLOTS = 12, 3
SEEDS = (1, 2)

#: Lengths of the parts of the load, and the time after it for the last answers.
CALM_US, SURGE_US, TROUBLE_US, END_US = seconds(6), seconds(4), seconds(6), seconds(3)

#: Load in relation to what the targets serve with all objects cached.
CALM_LOAD, SURGE_LOAD = 0.4, 1.6

#: Worth of a late answer relative to one within the goal.
LATE_WORTH = 0.2


@frozen
class Deployment:
    """A deployment of the model; times in microseconds.

    :ivar max_cached: objects in the cache of a target.
    :ivar miss_cost: service time of a cache miss relative to a hit.
    :ivar objects: objects that callers of a region ask for.
    :ivar shared: whether callers of all regions ask for the same objects.
    """

    max_cached: int
    miss_cost: float
    service_time: int
    goal: int
    objects: int
    shared: bool = False


DEPLOYMENTS = {
    "cache_8": Deployment(8, 3.0, millis(110), millis(300), 30),
    "cache_64": Deployment(64, 3.0, millis(110), millis(300), 120),
    "cache_500": Deployment(500, 3.0, millis(110), millis(300), 120),
    "no_gain": Deployment(64, 1.0, millis(150), millis(400), 60),
    "gain_2": Deployment(64, 2.0, millis(150), millis(400), 60),
    "gain_10": Deployment(64, 10.0, millis(60), millis(400), 60),
    "long_work": Deployment(24, 3.0, millis(400), millis(1_200), 60),
    "shared": Deployment(64, 3.0, millis(110), millis(300), 120, shared=True),
}


def measure() -> Iterator[Figure]:
    """Yield the worth of the load with all mechanisms, and without each."""
    for name, deployment in DEPLOYMENTS.items():
        baseline = None
        for mechanism, switch_off in MECHANISMS.items():
            with switch_off():
                worth = sum(_play(deployment, seed) for seed in SEEDS) / len(SEEDS)
            baseline = worth if baseline is None else baseline
            yield Figure(
                f"ablation.{name}.{mechanism}", worth, "part", baseline=baseline
            )


def _play(deployment: Deployment, seed: int) -> float:
    """Return the worth of the answers in relation to that of all requests in time."""
    goal = deployment.goal
    routes = tuple(
        build_route(
            name=name,
            prefix=f"/{name}/",
            idempotent=idempotent,
            priority=priority,
            goal=goal,
            timeout=5 * goal,
        )
        for name, idempotent, priority in (("reads", True, 2), ("orders", False, 0))
    )
    accounts = {"one": Account("one", frozenset({KEY}))}
    sim = Simulation(
        build_configuration(routes=routes, accounts=accounts), rng=random.Random(seed)
    )
    domains = list(HOSTS.values())
    for number in range(TARGETS):
        sim.add_target(
            announce(
                f"t{number}",
                failure_domain=domains[number % len(domains)],
                slots=SLOTS,
            ),
            service_time=deployment.service_time,
            max_cached=deployment.max_cached,
            miss_cost=deployment.miss_cost,
        )
    for name, failure_domain in HOSTS.items():
        sim.add_host(name, failure_domain)
    _schedule_load(sim, deployment)
    _schedule_trouble(sim)
    sim.run(CALM_US + SURGE_US + TROUBLE_US + END_US)
    in_time = sum(
        outcome.status == 200 and outcome.latency <= goal for outcome in sim.outcomes
    )
    late = sum(
        outcome.status == 200 and outcome.latency > goal for outcome in sim.outcomes
    )
    return (in_time + LATE_WORTH * late) / len(sim.outcomes)


def _schedule_load(sim: Simulation, deployment: Deployment) -> None:
    room = TARGETS * SLOTS * MICROS_PER_SECOND / deployment.service_time
    parts = (
        (0, CALM_US, CALM_LOAD),
        (CALM_US, SURGE_US, SURGE_LOAD),
        (CALM_US + SURGE_US, TROUBLE_US, CALM_LOAD),
    )
    for start, duration, load in parts:
        for path, region in product(("/reads/1", "/orders/1"), ("a", "b")):
            sim.generate_load(
                [host for host, domain in HOSTS.items() if domain[0] == region],
                load * room / 4,
                duration,
                start,
                path=path,
                things=deployment.objects,
                object_prefix="" if deployment.shared else region,
                caller_timeout=5 * deployment.goal,
            )


def _schedule_trouble(sim: Simulation) -> None:
    """Let one target fail, one reject, and one turn slow, each for two seconds."""
    start = sim.clock.now + CALM_US + SURGE_US
    for number, mode in enumerate(("failing", "shedding")):
        target = sim.targets[f"t{number}"]
        at = start + number * seconds(2)
        sim.clock.call_at(
            at, lambda target=target, mode=mode: setattr(target, "mode", mode)
        )
        sim.clock.call_at(
            at + seconds(2), lambda target=target: setattr(target, "mode", "well")
        )
    slow = sim.targets["t2"]
    usual = slow.service_time
    at = start + seconds(4)
    sim.clock.call_at(at, lambda: setattr(slow, "service_time", 5 * usual))
    sim.clock.call_at(at + seconds(2), lambda: setattr(slow, "service_time", usual))


def _share_by_room(region: str, demand, room) -> dict[str, float]:
    total = sum(room.values())
    return {name: value / total for name, value in room.items()}


def _patch(owner: object, name: str, value) -> AbstractContextManager:
    return patch.object(owner, name, value)


#: What switches off each mechanism; the first switches off nothing.
MECHANISMS = {
    "all": nullcontext,
    "rank": lambda: _patch(placement, "_estimate_service_factor", lambda *_: 1.0),
    "region_plan": lambda: _patch(placement, "plan_shares", _share_by_room),
    "slowdown": lambda: _patch(health, "_clamp", lambda ratio: 1.0),
    "miss_discount": lambda: _patch(
        health, "discount_cache_miss", lambda call, ratio: ratio
    ),
    "failures": lambda: _patch(FailureShare, "read", lambda *_: 0.0),
    "reported_load": lambda: _patch(Target, "record_load", lambda *_: None),
    "backoff": lambda: _patch(health, "REJECTION_BACKOFF_US", 0),
    "rejecting": lambda: _patch(calls, "check_overload", lambda *_: None),
    "priorities": lambda: _patch(overload, "GOAL_FRACTIONS", (0.95,)),
    "retries": lambda: _patch(calls, "_may_retry", lambda *_: False),
}

"""Rules of placing requests at targets, compared from half to twice the room."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

from almondgap_core.gateway import dispatch, eligibility, placement
from almondgap_core.gateway.configuration import Account
from almondgap_core.gateway.placement import Choice
from almondgap_core.units import MICROS_PER_SECOND, millis, seconds
from almondgap_testkit.bench.figure import Figure
from almondgap_testkit.gateways.builders import (
    KEY,
    announce,
    build_configuration,
)
from almondgap_testkit.gateways.simulation import Simulation

#: As on a calm day of the users' deployments: work that is late if the object is not
#: warm, and some hundred objects in two kinds of requests.
TARGETS, SLOTS, WORK_US, GOAL_US, OBJECTS = 12, 3, millis(130), millis(400), 48
HOSTS = {"h1": "a1", "h2": "a2", "h3": "b1", "h4": "b2"}
DURATION_US = seconds(12)
SEEDS = (1, 2)

#: Requests per second that the targets serve if all objects are warm.
ROOM = TARGETS * SLOTS * MICROS_PER_SECOND / WORK_US

#: What must be served on time in relation to an order by hash alone.
LEAST_GAIN = 1.5

#: Load in relation to the room.
LOADS = (0.5, 0.9, 1.2, 2.0)


def measure() -> Iterator[Figure]:
    """Yield what is served on time, late and refused, and the worst-served part."""
    for load in LOADS:
        parts_by_rule: dict[str, dict[str, float]] = {}
        for rule, use in RULES.items():
            with use():
                parts = parts_by_rule[rule] = _measure_load(load)
            for name, value in parts.items():
                yield Figure(
                    f"placement.{rule}.load_{load:g}.{name}",
                    value,
                    "part",
                    _find_bound(rule, name, parts_by_rule),
                    least=True,
                    baseline=parts_by_rule.get("least_of_two", {}).get(name),
                )


def _find_bound(
    rule: str, name: str, parts: dict[str, dict[str, float]]
) -> float | None:
    if rule != "own" or name not in ("on_time", "worst_on_time"):
        return None
    return LEAST_GAIN * parts["hash"][name]


def _measure_load(load: float) -> dict[str, float]:
    on_time, late, refused = 0, 0, 0
    groups: dict[tuple, list[bool]] = defaultdict(list)
    for seed in SEEDS:
        sim = _build_simulation(seed)
        for path in ("/reads/1", "/orders/1"):
            rate = load * ROOM / 2
            sim.generate_load(list(HOSTS), rate, DURATION_US, path=path, things=OBJECTS)
        sim.run(DURATION_US + seconds(3))
        for outcome in sim.outcomes:
            served = outcome.status == 200
            timely = served and outcome.latency <= GOAL_US
            on_time += timely
            late += served and not timely
            refused += not served
            groups["kind", outcome.idempotent].append(timely)
            groups["failure domain", HOSTS[outcome.host]].append(timely)
    total = on_time + late + refused
    worst = min(sum(group) / len(group) for group in groups.values())
    return {
        "on_time": on_time / total,
        "late": late / total,
        "refused": refused / total,
        "worst_on_time": worst,
    }


def _build_simulation(seed: int) -> Simulation:
    cfg = build_configuration(accounts={"one": Account("one", frozenset({KEY}))})
    sim = Simulation(cfg, rng=random.Random(seed))
    domains = list(HOSTS.values())
    for number in range(TARGETS):
        domain = domains[number % len(domains)]
        announcement = announce(f"t{number}", failure_domain=domain, slots=SLOTS)
        sim.add_target(announcement, service_time=WORK_US)
    for name, failure_domain in HOSTS.items():
        sim.add_host(name, failure_domain)
    return sim


def _list_usable(state, call, now: int) -> list:
    return [
        target
        for target in placement._rank_targets(state, call, call.affinity_key)
        if target.name not in call.sent_to and eligibility.is_usable(state, target, now)
    ]


def _choose_least_of_two(state, call, now: int) -> Choice | None:
    """Draw two targets and take the one with less to do."""
    usable = _list_usable(state, call, now)
    if not usable:
        return None
    drawn = [usable[state.draw_random(len(usable))] for _ in range(2)]
    target = min(drawn, key=lambda target: target.compute_load(now))
    return Choice(target, 0.0, 0, 0, WORK_US)


def _choose_by_hash(state, call, now: int) -> Choice | None:
    """Take the first target of the object's order that has a free slot."""
    usable = _list_usable(state, call, now)
    free = (target for target in usable if target.compute_load(now) < SLOTS)
    target = next(free, usable[0] if usable else None)
    return Choice(target, 0.0, 0, 0, WORK_US) if target else None


@contextmanager
def _use_least_of_two():
    with (
        patch.object(dispatch, "choose_target", _choose_least_of_two),
        patch.object(dispatch, "check_overload", lambda *_: None),
    ):
        yield


@contextmanager
def _use_hash():
    with (
        patch.object(dispatch, "choose_target", _choose_by_hash),
        patch.object(dispatch, "check_overload", lambda *_: None),
    ):
        yield


@contextmanager
def _use_own():
    yield


#: Rules by name; the first is the baseline.
RULES = {"least_of_two": _use_least_of_two, "hash": _use_hash, "own": _use_own}

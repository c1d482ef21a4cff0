"""The region plan through the loss of a region, and a curve order against a table.

The loss is simulated: hosts decide with the code of the daemon, callers follow answers
over the time to live, and a region answers as slowly as its load makes it.
"""

from __future__ import annotations

import itertools
import math
import random
import time
from collections.abc import Callable, Iterator

from attrs import define

from almondgap_core.settings.topology import Position
from almondgap_core.steering.distances import measure_distance
from almondgap_core.steering.plan import (
    REFUSED,
    SHARE_UNIT,
    FlowKey,
    PlanInputs,
    RegionLoad,
    ServiceUsage,
)
from almondgap_core.steering.plan_decision import decide_plan
from almondgap_core.units import seconds
from almondgap_testkit.bench.figure import Figure
from almondgap_testkit.builders import build_inventory
from almondgap_testkit.curve import CurveIndex, find_exactly
from almondgap_testkit.steering_checks import find_faults
from almondgap_testkit.steering_fleet import (
    SERVICE_MS,
    SteeringFleet,
    build_regions,
)

CAPACITIES = {"north": 1000, "south": 1000, "west": 1000, "east": 1000}
DEMAND = {"north": 600, "south": 450, "west": 650, "east": 500}
HOSTS = 8
LOST = "north"
CALM_S = 60
LOSS_S = 600

#: Wait after which a request that found no slot is given up.
DEADLINE_MS = 2_000

HEADROOM_BOUND = 0.2
EXTENT = 100.0
QUERIES = 2_000


@define
class Passage:
    """What callers saw while a region was lost.

    :ivar headroom: least part of a region's capacity that was free.
    :ivar unserved: part of the requests that got no answer of a target.
    """

    p99_ms: float
    headroom: float
    unserved: float


def measure() -> Iterator[Figure]:
    """Yield the figures of the loss and of the curve."""
    yield from _measure_loss()
    for count in (75, 3_000):
        yield from _measure_curve(count)


def _measure_loss() -> Iterator[Figure]:
    fleet = SteeringFleet.from_document(
        build_regions(CAPACITIES), DEMAND, [1.0] * HOSTS
    )
    fleet.run(CALM_S)
    fleet.down.add(LOST)
    planned = _pass_through(fleet, _list_planned)
    nearest = _pass_through(fleet, _list_nearest, LOSS_S)
    yield Figure(
        "regions.loss_p99", planned.p99_ms, "ms", nearest.p99_ms, False, nearest.p99_ms
    )
    yield Figure(
        "regions.loss_headroom",
        round(planned.headroom, 4),
        "",
        HEADROOM_BOUND,
        least=True,
        baseline=nearest.headroom,
    )
    yield Figure(
        "regions.loss_unserved",
        planned.unserved,
        "",
        nearest.unserved,
        baseline=nearest.unserved,
    )
    settled = fleet.refused[-1] / sum(fleet.demand.values())
    yield Figure("regions.loss_refused_at_end", settled, "", 0.0)
    yield Figure("regions.loss_rules_broken", len(find_faults(fleet)), "", 0)
    yield Figure("regions.decision_cpu_at_400", _time_decision(), "ms")


def _time_decision() -> float:
    """Return milliseconds of one decision with 400 hosts, 8 regions and 20 services."""
    names = [f"r{number}" for number in range(8)]
    document = build_regions({name: 1000 for name in CAPACITIES})
    region = document["regions"]["north"]
    target = document["services"]["shop"]["targets"][0]
    document["regions"] = {
        name: {
            **region,
            "failure_domains": [f"{name}-a"],
            "position_ms": {"east": number * 5, "north": number * number},
        }
        for number, name in enumerate(names)
    }
    document["links"] = [
        {"regions": list(pair)} for pair in itertools.combinations(names, 2)
    ]
    document["services"] = {
        f"s{number}": {
            "targets": [
                {**target, "name": f"{number}-{name}", "failure_domain": f"{name}-a"}
                for name in names
            ]
        }
        for number in range(20)
    }
    inventory = build_inventory(document)
    hosts = tuple(f"h{number}" for number in range(400))
    demand = {
        FlowKey(service, name): 1_000
        for service in inventory.services
        for name in names
    }
    measure = ServiceUsage(100, 10, 45_000, 0)
    spent = []
    plan = None
    for number in range(1, 6):
        now = seconds(number * 20)
        loads = {
            name: RegionLoad(now, dict.fromkeys(inventory.services, measure))
            for name in names
        }
        inputs = PlanInputs("h7", hosts, demand, loads)
        began = time.process_time()
        plan = decide_plan(inventory, inputs, plan, now)
        spent.append(time.process_time() - began)
    return min(spent[1:]) * 1e3


Flows = list[tuple[str, str, float]]


def _pass_through(
    fleet: SteeringFleet, list_flows: Callable[[SteeringFleet], Flows], count: int = 0
) -> Passage:
    """Let the loss last; return what callers saw.

    :param list_flows: gives origin, region and rate of all requests of a second.
    :param count: seconds for flows that stay the same, 0 to run the fleet.
    """
    samples: list[tuple[float, float]] = []
    headroom, unserved, total = 1.0, 0.0, 0.0
    for _ in range(LOSS_S):
        if not count:
            fleet.step()
        loads = dict.fromkeys(CAPACITIES, 0.0)
        flows = list_flows(fleet)
        for _, region, rate in flows:
            if region in loads:
                loads[region] += rate
        for origin, region, rate in flows:
            total += rate
            if region == REFUSED or region in fleet.down:
                unserved += rate
                continue
            load = loads[region] / (CAPACITIES[region] * 1000)
            headroom = min(headroom, 1 - load)
            unserved += rate * max(1 - 1 / load, 0) if load else 0
            samples.append((_measure_latency(fleet, origin, region, load), rate))
    return Passage(_find_p99(samples), headroom, unserved / total)


def _list_planned(fleet: SteeringFleet) -> Flows:
    flows = []
    for host in fleet.hosts:
        for shares_by_key in host.recent:
            for key, shares in shares_by_key.items():
                rate = fleet.demand[key.origin] * host.part / len(host.recent)
                for region, share in shares.items():
                    flows.append((key.origin, region, rate * share / SHARE_UNIT))
    return flows


def _list_nearest(fleet: SteeringFleet) -> Flows:
    """Return flows of callers that go to the nearest region that is up."""
    flows = []
    for origin, rate in fleet.demand.items():
        up = [name for name in CAPACITIES if name not in fleet.down]
        nearest = min(up, key=lambda name: _measure_way(fleet, origin, name))
        flows.append((origin, nearest, float(rate)))
    return flows


def _measure_way(fleet: SteeringFleet, origin: str, region: str) -> int:
    regions = fleet.inventory.regions
    return measure_distance(regions[origin].position, regions[region].position)


def _measure_latency(
    fleet: SteeringFleet, origin: str, region: str, load: float
) -> float:
    """Return milliseconds there and back, with the wait that the load makes."""
    way = 2 * _measure_way(fleet, origin, region) / 1000
    if load >= 1:
        return way + DEADLINE_MS
    return way + min(SERVICE_MS / (1 - load), DEADLINE_MS)


def _find_p99(samples: list[tuple[float, float]]) -> float:
    samples.sort()
    left = sum(rate for _, rate in samples) * 0.99
    for latency, rate in samples:
        left -= rate
        if left <= 0:
            return latency
    return samples[-1][0]


def _measure_curve(count: int) -> Iterator[Figure]:
    rng = random.Random(count)

    def draw() -> Position:
        return (rng.uniform(-EXTENT, EXTENT), rng.uniform(-EXTENT, EXTENT))

    positions = [draw() for _ in range(count)]
    queries = [draw() for _ in range(QUERIES)]
    mean = sum(math.dist(draw(), draw()) for _ in range(QUERIES)) / QUERIES
    exact, exact_us = _time(lambda at: find_exactly(positions, at), queries)
    table = dict(enumerate(exact))
    _, table_us = _time(table.__getitem__, range(QUERIES))
    yield Figure(f"curve.exact_scan_{count}", exact_us, "us")
    yield Figure(f"curve.exact_table_{count}", table_us, "us")
    for candidates in (1, 4):
        index = CurveIndex(positions, EXTENT, candidates)
        found, spent = _time(index.find, queries)
        errors = [
            (math.dist(at, positions[one]) - math.dist(at, positions[best])) / mean
            for at, one, best in zip(queries, found, exact, strict=True)
        ]
        name = f"curve.order_{count}_of_{2 * candidates}"
        yield Figure(f"{name}_error", sum(errors) / QUERIES, "", baseline=0.0)
        wrong = sum(error > 0 for error in errors) / QUERIES
        yield Figure(f"{name}_wrong", wrong, "", baseline=0.0)
        yield Figure(f"{name}_cpu", spent, "us", baseline=table_us)


def _time(work: Callable, queries) -> tuple[list, float]:
    began = time.process_time()
    found = [work(query) for query in queries]
    return found, (time.process_time() - began) / len(found) * 1e6

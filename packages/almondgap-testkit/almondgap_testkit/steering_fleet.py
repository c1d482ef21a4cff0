"""Many hosts that each decide a region plan, with callers that follow the look-ups.

Time goes in steps of a second. Callers keep an answer for the time to live, so that a
host's shares reach its callers evenly over it. Loads reach all hosts with a lag.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from typing import Any

from attrs import Factory, define, evolve

from almondgap_core.settings.inventory import Inventory
from almondgap_core.steering.distances import rank_regions
from almondgap_core.steering.plan import (
    REFUSED,
    SHARE_UNIT,
    FlowKey,
    Move,
    PlanInputs,
    RegionLoad,
    RegionPlan,
    ServiceUsage,
)
from almondgap_core.steering.plan_decision import decide_plan
from almondgap_core.units import MICROS_PER_SECOND
from almondgap_testkit.builders import build_document, build_inventory

SERVICE = "shop"
SLOTS = 400

#: Time that a request holds a slot, in thousandths of a second.
SERVICE_MS = 100

_POSITIONS = {"north": (0, 0), "south": (12, 0), "west": (6, 10), "east": (20, 8)}


def build_regions(
    capacities: dict[str, int], sections: dict[str, Any] | None = None
) -> dict[str, Any]:
    """Return a document of one service with a target in each region.

    :param capacities: requests per second by region.
    :param sections: further sections of the document.
    """
    document = build_document()
    target = document["services"][SERVICE]["targets"][0]
    document["regions"] = {}
    targets = []
    for name, capacity in capacities.items():
        east, north = _POSITIONS[name]
        document["regions"][name] = {
            "failure_domains": [f"{name}-a"],
            "capacity_per_s": capacity,
            "position_ms": {"east": east, "north": north},
        }
        place = {"name": f"shop-{name}", "failure_domain": f"{name}-a"}
        targets.append({**target, **place, "slots": SLOTS})
    document["services"][SERVICE]["targets"] = targets
    return {**document, **(sections or {})}


@define
class PlanningHost:
    """One host and its plan.

    :ivar caller_share: this host's part of each origin's callers.
    :ivar phase: second of each interval in which it decides.
    :ivar inventory: version in force there, or None for the fleet's.
    :ivar recent: shares of the last seconds, one entry for each in the time to live.
    """

    name: str
    caller_share: float
    phase: int
    inventory: Inventory | None = None
    plan: RegionPlan | None = None
    recent: deque = Factory(deque)


@define
class RecordedMove:
    """A move, when it was decided, and by whom."""

    second: int
    host: str
    move: Move


@define
class SteeringFleet:
    """Hosts, callers and regions.

    :ivar demand: requests per second by origin, in thousandths.
    :ivar lag: seconds by which loads are late.
    :ivar down: regions that serve nothing and report nothing.
    :ivar silent: regions that serve and report nothing.
    :ivar alter_load: changes what a region reports.
    :ivar committed: by second and region, load once all callers follow.
    :ivar served: by second and region, load of that second.
    """

    inventory: Inventory
    demand: dict[str, int]
    hosts: list[PlanningHost]
    lag: int = 1
    down: set[str] = Factory(set)
    silent: set[str] = Factory(set)
    alter_load: Callable[[str, RegionLoad], RegionLoad] = lambda region, load: load
    second: int = 0
    moves: list[RecordedMove] = Factory(list)
    served: list[dict[str, int]] = Factory(list)
    refused: list[int] = Factory(list)
    _reports: dict[str, list[tuple[int, RegionLoad]]] = Factory(dict)

    @classmethod
    def from_document(
        cls, document: dict[str, Any], demand: dict[str, int], parts: list[float]
    ) -> SteeringFleet:
        """Return a fleet at rest.

        :param demand: requests per second by origin.
        :param parts: relative part of the callers of each host.
        """
        inventory = build_inventory(document)
        interval = inventory.topology.rules.interval // MICROS_PER_SECOND
        total = sum(parts)
        hosts = [
            PlanningHost(f"h{number}", part / total, number * 7 % interval)
            for number, part in enumerate(parts)
        ]
        millis = {origin: rate * 1000 for origin, rate in demand.items()}
        return cls(inventory, millis, hosts)

    def run(self, seconds: int) -> None:
        """Let seconds pass."""
        for _ in range(seconds):
            self.step()

    def step(self) -> None:
        """Let one second pass: callers follow, loads are told, hosts decide."""
        self.second += 1
        served, refused = self._serve()
        self.served.append(served)
        self.refused.append(refused)
        self._report(served)
        interval = self.inventory.topology.rules.interval // MICROS_PER_SECOND
        for host in self.hosts:
            if self.second > 3 and self.second % interval == host.phase:
                self._decide(host)

    def compute_committed_load(self, region: str) -> int:
        """Return the load of a region once all callers follow the plans in force."""
        total = 0
        for host in self.hosts:
            for key, shares in self._get_shares(host).items():
                rate = self.demand.get(key.origin, 0) * host.caller_share
                total += rate * shares.get(region, 0) / SHARE_UNIT
        return round(total)

    def iterate_interval_totals(self, forced: bool) -> Iterator[tuple[int, str, int]]:
        """Yield second, region and rate moved in for each interval that ends there."""
        interval = self.inventory.topology.rules.interval // MICROS_PER_SECOND
        for end in range(1, self.second + 1):
            totals: dict[str, int] = {}
            for entry in self.moves:
                if end - interval < entry.second <= end:
                    if forced or not entry.move.forced:
                        region = entry.move.destination
                        totals[region] = totals.get(region, 0) + entry.move.rate
            for region, rate in totals.items():
                yield end, region, rate

    def apply(self, document: dict[str, Any]) -> None:
        """Put another inventory in force."""
        self.inventory = build_inventory(document)

    def _get_shares(self, host: PlanningHost):
        if host.plan is not None:
            return host.plan.shares
        nearest = {}
        for origin in self.inventory.regions:
            position = self.inventory.regions[origin].position
            first = rank_regions(self.inventory, position)[0]
            nearest[FlowKey(SERVICE, origin)] = {first: SHARE_UNIT}
        return nearest

    def _serve(self) -> tuple[dict[str, int], int]:
        served = dict.fromkeys(self.inventory.regions, 0.0)
        refused = 0.0
        ttl = self.inventory.lookup_ttl
        for host in self.hosts:
            host.recent.append(self._get_shares(host))
            if len(host.recent) > ttl:
                host.recent.popleft()
            for shares_by_key in host.recent:
                for key, shares in shares_by_key.items():
                    rate = self.demand.get(key.origin, 0) * host.caller_share
                    for region, share in shares.items():
                        part = rate * share / SHARE_UNIT / len(host.recent)
                        if region == REFUSED or region in self.down:
                            refused += part
                        else:
                            served[region] += part
        return {region: round(rate) for region, rate in served.items()}, round(refused)

    def _report(self, served: dict[str, int]) -> None:
        for region, rate in served.items():
            if region in self.down or region in self.silent:
                continue
            used = min(rate * SERVICE_MS // 1_000_000, SLOTS)
            usage = ServiceUsage(SLOTS, used, rate, 0)
            at = self.second * MICROS_PER_SECOND
            load = self.alter_load(region, RegionLoad(at, {SERVICE: usage}))
            self._reports.setdefault(region, []).append((self.second, load))

    def _read(self) -> dict[str, RegionLoad]:
        found = {}
        for region, reports in self._reports.items():
            visible = [load for at, load in reports if at <= self.second - self.lag]
            if visible:
                found[region] = visible[-1]
        return found

    def _decide(self, host: PlanningHost) -> None:
        names = tuple(other.name for other in self.hosts)
        demand = {
            FlowKey(SERVICE, origin): round(rate * host.caller_share)
            for origin, rate in self.demand.items()
        }
        inputs = PlanInputs(host.name, names, demand, self._read())
        now = self.second * MICROS_PER_SECOND
        inventory = host.inventory or self.inventory
        host.plan = decide_plan(inventory, inputs, host.plan, now)
        for move in host.plan.moves:
            self.moves.append(RecordedMove(self.second, host.name, move))


def report_idle(region: str) -> Callable[[str, RegionLoad], RegionLoad]:
    """Return a distortion: ``region`` claims free slots, and all requests fail."""

    def distort(name: str, load: RegionLoad) -> RegionLoad:
        if name != region:
            return load
        usage = load.services[SERVICE]
        altered = evolve(usage, used=0, errors=max(usage.admitted, 1))
        return evolve(load, services={SERVICE: altered})

    return distort

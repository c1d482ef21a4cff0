"""Headroom: what each region can still take, as one host knows it."""

from __future__ import annotations

from attrs import frozen

from almondgap_core.state import HostState
from almondgap_core.steering.plan_budgets import (
    compute_capacity,
    compute_limit,
    compute_standings,
)
from almondgap_core.steering.planner import collect_loads
from almondgap_core.units import MILLIS_PER_UNIT


@frozen
class RegionHeadroom:
    """Load of a region; rates are in requests per second.

    :ivar capacity: what the reachable part of the region can take.
    :ivar limit: up to which decisions may fill it.
    :ivar admitted: what it takes now.
    :ivar headroom: capacity less what is admitted.
    :ivar slots: slots of targets that may take work, and ``used`` those taken.
    :ivar age: age of the report in milliseconds, or None if there is none.
    :ivar standing: fresh, returning, old or lost.
    """

    region: str
    capacity: float
    limit: float
    admitted: float
    headroom: float
    slots: int
    used: int
    age: int | None
    standing: str
    draining: bool


def describe_headroom(state: HostState, now: int) -> list[RegionHeadroom]:
    """Return the headroom of each region, in the order of names."""
    inventory = state.inventory
    loads = collect_loads(state, now)
    standings = compute_standings(inventory, loads, state.steering.plan, now)
    found = []
    for name in sorted(inventory.regions):
        region = inventory.regions[name]
        standing = standings[name].standing.value
        load = loads.get(name)
        if load is None:
            entry = RegionHeadroom(
                name, 0, 0, 0, 0, 0, 0, None, standing, region.draining
            )
            found.append(entry)
            continue
        capacity = compute_capacity(inventory, name, load)
        entry = RegionHeadroom(
            name,
            capacity / MILLIS_PER_UNIT,
            compute_limit(inventory, name, load) / MILLIS_PER_UNIT,
            load.admitted / MILLIS_PER_UNIT,
            (capacity - load.admitted) / MILLIS_PER_UNIT,
            sum(usage.slots for usage in load.services.values()),
            sum(usage.used for usage in load.services.values()),
            (now - load.measured_at) // MILLIS_PER_UNIT,
            standing,
            region.draining,
        )
        found.append(entry)
    return found

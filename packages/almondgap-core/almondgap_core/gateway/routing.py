"""From a request to a target: the region whose turn it is, then the target."""

from __future__ import annotations

from almondgap_core.gateway.events import GatewayEvent, Ticked
from almondgap_core.gateway.fleet import sum_demand
from almondgap_core.gateway.placement import (
    Choice,
    choose_target,
    is_candidate,
    list_regions,
)
from almondgap_core.gateway.regions import RegionSplit, plan_shares
from almondgap_core.gateway.state import Call, GatewayState
from almondgap_core.units import MICROS_PER_SECOND, millis

#: Time between two looks at how requests are shared over regions.
PLAN_US = millis(500)

#: Work of a request before any was measured, in seconds.
FIRST_WORK_S = 0.2


def find_choice(state: GatewayState, call: Call, now: int) -> Choice | None:
    """Return the target for a request, None if no target can be used."""
    return choose_target(state, call, now, None)
    split = find_split(state, call.service, now)
    region = split.choose(list_regions(state, call))
    choice = choose_target(state, call, now, region) if region is not None else None
    if choice is not None:
        return choice
    return choose_target(state, call, now, None)


def find_split(state: GatewayState, service: str, now: int) -> RegionSplit:
    """Return how a service's requests are shared over regions."""
    split = state.splits.get(service)
    if split is None:
        split = state.splits[service] = RegionSplit(moved_at=now)
        _plan(state, service, split, now)
    return split


def handle_tick(state: GatewayState, event: Ticked) -> None:
    """Move the shares of all services towards what they should be."""
    for service, split in state.splits.items():
        if event.now - split.moved_at >= PLAN_US:
            _plan(state, service, split, event.now)


def _plan(state: GatewayState, service: str, split: RegionSplit, now: int) -> None:
    slots: dict[str, int] = {}
    for target in state.targets.values():
        announced = target.announced
        if announced.service != service or not is_candidate(state, target):
            continue
        if target.down_since is not None or now < target.cold_until:
            continue
        region = state.find_region(announced.failure_domain)
        slots[region] = slots.get(region, 0) + announced.slots
    demand = sum_demand(state, service, now)
    work_s = _estimate_work(state, service, now)
    wanted = plan_shares(state.place.region, slots, demand, work_s)
    split.move(wanted, slots, state.bounds.max_shift, now)


def _estimate_work(state: GatewayState, service: str, now: int) -> float:
    if state.configuration is None:
        return FIRST_WORK_S
    known = [
        state.work[route.name].read(now) / MICROS_PER_SECOND
        for route in state.configuration.routes
        if route.name in state.work and route.backends[0].service == service
    ]
    return max(known, default=FIRST_WORK_S)


EVENT_HANDLERS: dict[type[GatewayEvent], object] = {Ticked: handle_tick}

"""Schedule and inputs of the region plan at one host, and ranking by the plan."""

from __future__ import annotations

from collections.abc import Iterable

from almondgap_core.effects import LogEntry
from almondgap_core.events import Tick
from almondgap_core.membership.summary import LoadSummary, compute_key
from almondgap_core.settings.inventory import Inventory
from almondgap_core.state import HostState
from almondgap_core.steering.distances import rank_regions
from almondgap_core.steering.plan import (
    FlowKey,
    PlanInputs,
    RegionLoad,
    ServiceUsage,
)
from almondgap_core.steering.plan_budgets import LOST_AGE_FACTOR
from almondgap_core.steering.plan_decision import decide_plan
from almondgap_core.units import MICROS_PER_SECOND, MILLIS_PER_UNIT


def handle_tick(state: HostState, event: Tick) -> None:
    """Decide the next plan once per interval.

    The first decision is delayed by an interval and a random part of one, so that the
    load reports of other failure domains arrive first.
    """
    steering = state.steering
    if state.inventory is None or event.now < steering.next_plan:
        return
    interval = state.inventory.topology.rules.interval
    first = not steering.counted_since
    window = event.now - steering.counted_since
    steering.counted_since = event.now
    steering.next_plan = event.now + interval
    demand = _collect_demand(state, window)
    if first:
        steering.next_plan += state.draw(interval)
        return
    hosts = tuple(sorted({*state.members.listed, state.host}))
    loads = collect_loads(state, event.now)
    inputs = PlanInputs(state.host, hosts, demand, loads)
    plan = decide_plan(state.inventory, inputs, steering.plan, event.now)
    steering.plan = plan
    if plan.moves:
        rate = sum(move.rate for move in plan.moves)
        fields = (("moves", len(plan.moves)), ("rate_millis", rate))
        state.perform(LogEntry("callers shifted", fields))


def rank_domains(
    state: HostState, service: str, origin: str, now: int
) -> tuple[str, ...]:
    """Return failure domains with targets of a service, in order of preference.

    This host's own comes first, then those of its region, then by the plan's share for
    the origin, then by distance. Other domains with an old load come last,
    in the same order.

    :param origin: region that the caller is assigned to.
    """
    inventory = state.inventory
    targets = map(inventory.targets.get, inventory.services[service].targets)
    serving = {t.failure_domain for t in targets if not t.draining}
    position = inventory.regions[origin].position
    nearest = rank_regions(inventory, position)
    plan = state.steering.plan
    shares = {} if plan is None else plan.find_shares(service, origin)
    own = inventory.failure_domains.get(state.failure_domain)
    limit = inventory.topology.rules.load_age

    def build_sort_key(domain: str) -> tuple:
        region = inventory.failure_domains[domain].region
        summary = state.members.summaries.get(domain)
        old = summary is None or summary.measure_age(now) > limit
        return (
            domain != state.failure_domain,
            old,
            own is None or region != own.region,
            -shares.get(region, 0),
            nearest.index(region),
            domain,
        )

    return tuple(sorted(serving, key=build_sort_key))


def collect_loads(state: HostState, now: int) -> dict[str, RegionLoad]:
    """Return the load of each region from the summaries of its failure domains."""
    inventory = state.inventory
    populated = {entry.failure_domain for entry in state.members.listed.values()}
    populated.add(state.failure_domain)
    limit = LOST_AGE_FACTOR * inventory.topology.rules.load_age
    loads = {}
    for region in inventory.regions.values():
        domains = [name for name in region.failure_domains if name in populated]
        known = [state.members.summaries.get(name) for name in domains]
        found = [summary for summary in known if summary is not None]
        reached = [s for s in found if s.measure_age(now) <= limit]
        if reached:
            measured = now - max(s.measure_age(now) for s in reached)
            reach = MILLIS_PER_UNIT * len(reached) // len(domains)
            services = _sum_services(inventory, reached)
            loads[region.name] = RegionLoad(measured, services, reach)
    return loads


def _sum_services(
    inventory: Inventory, summaries: Iterable[LoadSummary]
) -> dict[str, ServiceUsage]:
    summaries = list(summaries)
    services = {}
    for name in inventory.services:
        key = compute_key(name)
        parts = [s.services[key] for s in summaries if key in s.services]
        if parts:
            services[name] = ServiceUsage(
                sum(part.slots for part in parts),
                sum(part.used for part in parts),
                sum(part.admitted for part in parts) * MILLIS_PER_UNIT,
                sum(part.errors for part in parts) * MILLIS_PER_UNIT,
            )
    return services


def _collect_demand(state: HostState, window: int) -> dict[FlowKey, int]:
    """Return the demand implied by look-ups since the last decision; reset counters."""
    per_lookup = state.inventory.topology.rules.requests_per_lookup
    demand = {}
    for key, count in state.steering.lookup_counters.items():
        if count.lookups:
            asked = count.lookups * per_lookup * MICROS_PER_SECOND
            demand[key] = asked // max(window, 1)
            count.lookups = 0
    return demand


EVENT_HANDLERS = {Tick: handle_tick}

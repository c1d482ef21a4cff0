"""The region plan at a host: when it is decided, from what, and who asks for it."""

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
    """Decide the next plan when it is time.

    The first decision waits for an interval, so that the others can be heard.
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
    """Return failure domains with targets of a service, the first to be asked first.

    This host's own comes first, then those of its region, then by the plan's share for
    the origin, then by distance. Domains with an old load come last, in that order.

    :param origin: region that the caller counts to.
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
    """Return the load of each region, from what its failure domains say."""
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
    """Return the rate that follows the look-ups since the last decision."""
    per_lookup = state.inventory.topology.rules.requests_per_lookup
    demand = {}
    for key, count in state.steering.counts.items():
        if count.asked:
            asked = count.asked * per_lookup * MICROS_PER_SECOND
            demand[key] = asked // max(window, 1)
            count.asked = 0
    return demand


EVENT_HANDLERS = {Tick: handle_tick}

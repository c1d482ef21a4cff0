"""Choice of the target that serves a request.

Handles a few popular objects on targets that serve fastest what they have in their
caches, while targets slow down, fail or fill up. Each target is rated by its expected
latency: the service time, its slowdown, its estimated load, its failure rate and its
distance. A cache miss takes three times as long as a hit, so a request moves to another
target only when its own is slower than that, and objects stay in the region of their
callers as far as the targets there can take the load.
"""

from __future__ import annotations

from collections import Counter

from attrs import frozen

from almondgap_core.gateway.call import Call
from almondgap_core.gateway.eligibility import is_candidate, is_usable
from almondgap_core.gateway.quarantine import list_suspected_targets
from almondgap_core.gateway.ranking import compute_score
from almondgap_core.gateway.region_plan import plan_shares
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.target import (
    MAX_SLOWDOWN,
    MIN_SLOWDOWN,
    DecayingAverage,
    FailureShare,
    Target,
)
from almondgap_core.units import millis

#: Service time of a cache miss relative to a hit.
CACHE_MISS_COST = 3.0

#: Expected service time relative to a cache hit by the rank of the target, when this
#: host did not send the object there recently. The first target of an object has it
#: cached; the next ones do only if another host sent it there while the first was busy.
COST_BY_RANK = (1.0, 2.0, 2.5, 3.0)

#: Relative service time at a lower-ranked target to which this host sent the object
#: recently: its cache has it as well, but one copy per object is preferred.
CACHED_ELSEWHERE_COST = 1.05

#: Initial estimate of a route's service time, as a fraction of its latency goal, until
#: one has been measured.
INITIAL_SERVICE_TIME_FRACTION = 0.45

#: Round-trip times to a target in the same failure domain, another one, and another
#: region, as the users specify them.
SAME_DOMAIN_RTT_US = millis(0.2)
SAME_REGION_RTT_US = millis(7)
OTHER_REGION_RTT_US = millis(24)

#: Cost of a certain failure, in latency goals: the request is lost or waits for a
#: second answer.
FAILURE_COST = 3.0

#: Number of targets that are rated in rank order, and that are sampled from the rest.
MAX_RANKED = 10
MAX_SAMPLED = 6

#: Maximum number of objects whose target order is cached.
MAX_CACHED_ORDERS = 4_000


@frozen
class Choice:
    """A target for a request, with the expected latency; times in microseconds.

    :ivar cost: rating of the target, lower is better.
    :ivar expected: expected latency.
    :ivar queued: part of the expected latency that is spent in the target's queue.
    :ivar expected_if_cached: expected latency if the target has the object cached.
    :ivar rank: position of the target in the object's order of preference, from 0.
    """

    target: Target
    cost: float
    expected: int
    queued: int
    expected_if_cached: int
    rank: int = 0


def choose_target(state: GatewayState, call: Call, now: int) -> Choice | None:
    """Return the target with the lowest cost, None if no target can be used."""
    affinity_key = call.affinity_key if call.route.sticky else ""
    ranked = list_candidates(state, call)
    candidates = _pick_candidates(state, call, ranked, affinity_key, now)
    usable = [entry for entry in candidates if is_usable(state, entry[1], now)]
    suspected = list_suspected_targets(state, call)
    usable = [entry for entry in usable if entry[1].name not in suspected] or usable
    # Targets whose announcement is missing are the last resort: after an outage of the
    # store, all of them may be missing.
    listed = [
        entry for entry in usable if entry[1].name not in state.missing_targets
    ] or usable
    service_time = get_service_time(state, call.route).read(now)
    usual_failures = get_failure_share(state, call.service).read(now)
    choices = (
        _rate_target(state, call, target, rank, service_time, usual_failures, now)
        for rank, target in listed
    )
    return min(choices, key=lambda choice: choice.cost, default=None)


def list_limited_targets(state: GatewayState, call: Call) -> list[Target]:
    """Return the targets that are up, or none unless all of them limit their rate."""
    up = [
        target for target in list_candidates(state, call) if target.down_since is None
    ]
    return up if all(target.limit.in_force for target in up) else []


def list_candidates(state: GatewayState, call: Call) -> list[Target]:
    """Return the targets in service that may serve a request, healthy or not."""
    return _rank_targets(state, call, call.affinity_key if call.route.sticky else "")


def get_service_time(state: GatewayState, route) -> DecayingAverage:
    """Return the service time of a route for objects that the target has cached."""
    service_time = state.service_times.get(route.name)
    if service_time is None:
        first = route.goal * INITIAL_SERVICE_TIME_FRACTION
        service_time = state.service_times[route.name] = DecayingAverage(first, first)
    return service_time


def get_failure_share(state: GatewayState, service: str) -> FailureShare:
    """Return the share of failures at all targets of a service."""
    return state.failure_shares.setdefault(service, FailureShare())


def list_regions(state: GatewayState, call: Call) -> set[str]:
    """Return the regions in which a request may be served."""
    regions = {*state.regions.values(), state.location.region}
    if call.route.regions:
        regions &= call.route.regions
    if call.account is not None and call.account.regions:
        regions &= call.account.regions
    return regions


def _rank_targets(state: GatewayState, call: Call, affinity_key: str) -> list[Target]:
    allowed = frozenset(list_regions(state, call))
    key = (call.service, allowed, call.route.name if affinity_key else "", affinity_key)
    cached = state.rank_cache.get(key)
    if cached is not None and cached[0] == state.targets_epoch:
        return cached[1]
    targets = [
        target
        for target in state.targets.values()
        if target.announcement.service == call.service
        and is_candidate(state, target)
        and state.find_region(target.announcement.failure_domain) in allowed
    ]
    if affinity_key:
        name = f"{call.route.name}\0{affinity_key}"
        weights = _weigh_regions(state, call.service, allowed)
        targets.sort(key=lambda target: -_compute_score(state, name, target, weights))
    if len(state.rank_cache) >= MAX_CACHED_ORDERS:
        state.rank_cache.clear()
    state.rank_cache[key] = (state.targets_epoch, targets)
    return targets


def _weigh_regions(
    state: GatewayState, service: str, allowed: frozenset[str]
) -> dict[str, float]:
    """Return the weight of a slot in each region for this region's callers."""
    key = (service, allowed)
    cached = state.region_weights_cache.get(key)
    if cached is not None and cached[0] == state.targets_epoch:
        return cached[1]
    room = Counter()
    for target in state.targets.values():
        region = state.find_region(target.announcement.failure_domain)
        is_offered = target.announcement.service == service and region in allowed
        if is_offered and is_candidate(state, target):
            room[region] += target.announcement.slots
    demand = Counter(state.regions.values())
    shares = plan_shares(state.location.region, demand, room)
    weights = {region: share / room[region] for region, share in shares.items()}
    state.region_weights_cache[key] = (state.targets_epoch, weights)
    return weights


def _compute_score(
    state: GatewayState, name: str, target: Target, weights: dict[str, float]
) -> float:
    announcement = target.announcement
    weight = weights[state.find_region(announcement.failure_domain)]
    return compute_score(name, target.name, weight * announcement.slots)


def _pick_candidates(
    state: GatewayState, call: Call, ranked: list[Target], affinity_key: str, now: int
) -> list[tuple[int, Target]]:
    untried = [
        (rank, target)
        for rank, target in enumerate(ranked)
        if target.name not in call.sent_to
    ]
    if len(untried) <= MAX_RANKED + MAX_SAMPLED:
        return untried
    top = untried[:MAX_RANKED] if affinity_key else []
    rest = untried[len(top) :]
    sample_size = MAX_RANKED + MAX_SAMPLED - len(top)
    return top + [rest[state.draw_random(len(rest))] for _ in range(sample_size)]


def _rate_target(
    state: GatewayState,
    call: Call,
    target: Target,
    rank: int,
    service_time: float,
    usual_failures: float,
    now: int,
) -> Choice:
    announcement = target.announcement
    hit_time = service_time * min(
        max(target.slowdown.read(now), MIN_SLOWDOWN), MAX_SLOWDOWN
    )
    slots = max(1, announcement.slots)
    waiting = max(0.0, target.compute_load(now) + 1 - slots)
    queued = hit_time * waiting / slots
    failures = target.failure_share.read(now, usual_failures)
    failure_cost = failures * FAILURE_COST * call.route.goal
    overhead = queued + _find_rtt(state, announcement.failure_domain)
    expected = hit_time * _estimate_service_factor(call, target, rank, now) + overhead
    return Choice(
        target,
        expected + failure_cost,
        round(expected),
        round(queued),
        round(hit_time + overhead),
        rank,
    )


def _estimate_service_factor(call: Call, target: Target, rank: int, now: int) -> float:
    """Return the expected service time at a target relative to a cache hit."""
    if rank == 0 or not (call.affinity_key and call.route.sticky):
        return 1.0
    if target.has_recent_object(call.affinity_key, now):
        return CACHED_ELSEWHERE_COST
    return COST_BY_RANK[rank] if rank < len(COST_BY_RANK) else CACHE_MISS_COST


def _find_rtt(state: GatewayState, failure_domain: str) -> int:
    if failure_domain == state.location.failure_domain:
        return SAME_DOMAIN_RTT_US
    if state.find_region(failure_domain) == state.location.region:
        return SAME_REGION_RTT_US
    return OTHER_REGION_RTT_US

"""Which target serves a request.

Answers the load of a few much asked objects on targets that serve fastest what they
served lately, while targets slow down, fail or fill up: each target is rated by the
time in which it would answer, from the work (little if the object is warm there), its
own pace, the requests it is thought to have, its failures and its distance. A target
that has to fetch the object first takes three times as long, so a target is left for
another one only when it is slower than that, and objects stay in the region of their
callers as far as its targets bear it.
"""

from __future__ import annotations

from attrs import frozen

from almondgap_core.gateway.ranking import compute_score
from almondgap_core.gateway.state import Call, GatewayState
from almondgap_core.gateway.target import (
    MAX_SLOWDOWN,
    MIN_SLOWDOWN,
    DecayingAverage,
    Target,
)
from almondgap_core.gateway.warmup import is_warming_up, may_send_warmup
from almondgap_core.units import millis

#: Work on an object that is not warm, in relation to one that is.
CACHE_MISS_COST = 3.0

#: Work in relation to a warm object by the rank of the target, when this host did not
#: send it there lately. The first one of an object keeps it; those after it have it
#: only if another host sent it there when the first one was busy.
COST_BY_RANK = (1.0, 2.0, 2.5, 3.0)

#: Work in relation to the first target at one after it that got the object from this
#: host lately: it is as warm there, but an object is better kept in one place.
CACHED_ELSEWHERE_COST = 1.05

#: Preference of targets in the caller's region. At four times, a surge to three times
#: the rate moves a tenth of a region's requests to another one within two seconds, at
#: twice it is half as much; the platform allows 0.15.
LOCAL_REGION_WEIGHT = 2.0

#: Part of the response-time goal that a warm request is taken to need before any has
#: been measured.
INITIAL_SERVICE_TIME_FRACTION = 0.45

#: Time there and back to a target in the same failure domain, another one, and another
#: region, as the users give them.
SAME_DOMAIN_RTT_US = millis(0.2)
SAME_REGION_RTT_US = millis(7)
OTHER_REGION_RTT_US = millis(24)

#: What a sure failure adds to the rating, in response-time goals: the request is lost
#: or waits for a second answer.
FAILURE_COST = 3.0

#: Targets of an order that are rated, and others that are drawn beside them.
MAX_RANKED = 10
MAX_SAMPLED = 6

#: Objects whose order is kept.
MAX_CACHED_ORDERS = 4_000


@frozen
class Choice:
    """A target for a request and what is expected of it.

    :ivar cost: rating of the target, less is better; microseconds.
    :ivar expected: time in which an answer is expected, in microseconds.
    :ivar queued: part of that time in which the request waits.
    :ivar expected_warm: the same if the target keeps the object warm.
    """

    target: Target
    cost: float
    expected: int
    queued: int
    expected_if_cached: int


def choose_target(state: GatewayState, call: Call, now: int) -> Choice | None:
    """Return the target that would answer soonest, None if none can be used."""
    affinity_key = call.affinity_key if call.route.sticky else ""
    ranked = _rank_targets(state, call, affinity_key)
    rated = _pick_candidates(state, call, ranked, affinity_key, now)
    usable = [entry for entry in rated if is_usable(state, entry[1], now)]
    # Targets whose announcement is missing are the last resort: after an outage of the
    # store it may be that of all of them.
    sure = [
        entry for entry in usable if entry[1].name not in state.missing_targets
    ] or usable
    service_time = get_service_time(state, call.route).read(now)
    choices = (
        _rate_target(state, call, target, rank, service_time, now)
        for rank, target in sure
    )
    return min(choices, key=lambda choice: choice.cost, default=None)


def is_usable(state: GatewayState, target: Target, now: int) -> bool:
    """Return whether a target may get a request now."""
    if target.down_since is not None or now < target.backoff_until:
        return False
    return not is_warming_up(target, now) or may_send_warmup(state, target, now)


def is_candidate(state: GatewayState, target: Target) -> bool:
    """Return whether a target is there to be used, however it fares."""
    announcement = target.announcement
    return (
        not announcement.draining and announcement.failure_domain not in state.evacuated
    )


def get_service_time(state: GatewayState, route) -> DecayingAverage:
    """Return the time that a warm request of a route keeps a target busy."""
    service_time = state.service_times.get(route.name)
    if service_time is None:
        first = route.goal * INITIAL_SERVICE_TIME_FRACTION
        service_time = state.service_times[route.name] = DecayingAverage(first, first)
    return service_time


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
    kept = state.rank_cache.get(key)
    if kept is not None and kept[0] == state.targets_epoch:
        return kept[1]
    targets = [
        target
        for target in state.targets.values()
        if target.announcement.service == call.service
        and is_candidate(state, target)
        and state.find_region(target.announcement.failure_domain) in allowed
    ]
    if affinity_key:
        name = f"{call.route.name}\0{affinity_key}"
        targets.sort(key=lambda target: -_compute_score(state, name, target))
    if len(state.rank_cache) >= MAX_CACHED_ORDERS:
        state.rank_cache.clear()
    state.rank_cache[key] = (state.targets_epoch, targets)
    return targets


def _compute_score(state: GatewayState, name: str, target: Target) -> float:
    region = state.find_region(target.announcement.failure_domain)
    weight = LOCAL_REGION_WEIGHT if region == state.location.region else 1.0
    return compute_score(name, target.name, weight)


def _pick_candidates(
    state: GatewayState, call: Call, ranked: list[Target], affinity_key: str, now: int
) -> list[tuple[int, Target]]:
    fresh = [
        (rank, target)
        for rank, target in enumerate(ranked)
        if target.name not in call.sent_to
    ]
    if len(fresh) <= MAX_RANKED + MAX_SAMPLED:
        return fresh
    head = fresh[:MAX_RANKED] if affinity_key else []
    rest = fresh[len(head) :]
    drawn = MAX_RANKED + MAX_SAMPLED - len(head)
    return head + [rest[state.draw_random(len(rest))] for _ in range(drawn)]


def _rate_target(
    state: GatewayState,
    call: Call,
    target: Target,
    rank: int,
    service_time: float,
    now: int,
) -> Choice:
    announcement = target.announcement
    warm = service_time * min(
        max(target.slowdown.read(now), MIN_SLOWDOWN), MAX_SLOWDOWN
    )
    slots = max(1, announcement.slots)
    waiting = max(0.0, target.compute_load(now) + 1 - slots)
    queued = warm * waiting / slots
    failing = target.failure_rate.read(now) * FAILURE_COST * call.route.goal
    spent = queued + _find_rtt(state, announcement.failure_domain)
    expected = warm * _estimate_service_factor(call, target, rank, now) + spent
    return Choice(
        target,
        expected + failing,
        round(expected),
        round(queued),
        round(warm + spent),
    )


def _estimate_service_factor(call: Call, target: Target, rank: int, now: int) -> float:
    """Return the work at a target in relation to one that keeps the object warm."""
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

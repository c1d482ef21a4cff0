"""Passive and active health checks of targets.

What this host observes takes precedence over a target's own claims: a target that fails
requests is avoided although its health check succeeds. A target that accepts no
connections is marked as down and probed, with exponential back-off, until it answers.
"""

from __future__ import annotations

from almondgap_core.gateway.call import Call
from almondgap_core.gateway.discovery import WARMUP_MARGIN_US
from almondgap_core.gateway.effects import CloseIdleConnections, Probe
from almondgap_core.gateway.eligibility import find_probe_obstacle
from almondgap_core.gateway.events import (
    ConnectionChecked,
    GatewayEvent,
    ProbeEnded,
    TargetAnswered,
    Ticked,
)
from almondgap_core.gateway.placement import (
    CACHE_MISS_COST,
    get_failure_share,
    get_service_time,
)
from almondgap_core.gateway.reports import TargetChanged
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.target import Target
from almondgap_core.gateway.target_limits import (
    record_rate_limit,
    take_limit_token,
)
from almondgap_core.units import MICROS_PER_MILLI, millis, seconds

#: Delay before the first probe of a target that is down, and maximum interval between
#: probes.
INITIAL_PROBE_DELAY_US = millis(300)
MAX_PROBE_INTERVAL_US = seconds(2)

#: Time without new requests after a target rejected one.
REJECTION_BACKOFF_US = millis(60)

#: Bounds of a single slowdown sample.
MIN_SLOWDOWN_SAMPLE = 0.2
MAX_SLOWDOWN_SAMPLE = 20.0

#: Weight of a "not executed" answer as a failure: the request can still be served
#: elsewhere.
REJECTION_WEIGHT = 0.4

#: Latency that separates cache misses from hits, relative to a hit: the geometric mean
#: of both.
CACHE_MISS_THRESHOLD = CACHE_MISS_COST**0.5

#: Maximum queue length at which an answer's latency counts as a service-time sample.
MAX_QUEUE_FOR_SAMPLE = 0


def record_answer(
    state: GatewayState, call: Call, target: Target, event: TargetAnswered
) -> None:
    """Update a target's state from an answer, whatever its status."""
    now = event.now
    target.in_flight = max(0, target.in_flight - 1)
    target.consecutive_timeouts = 0
    if event.load is not None:
        target.record_load(*event.load, now)
    if event.misdirected:
        return
    if event.rate_limit is not None:
        record_rate_limit(state, target, event.rate_limit, now)
    if event.not_executed:
        if event.load is None or sum(event.load) >= target.announcement.slots:
            # It is full; one that rejects requests with slots free would do so later
            # as well.
            target.backoff_until = now + REJECTION_BACKOFF_US
        record_outcome(state, target, REJECTION_WEIGHT, now)
        return
    failed = event.status >= 500 or not event.sealed
    record_outcome(state, target, 1.0 if failed else 0.0, now)
    if failed:
        return
    took = now - call.sent_at
    ratio = discount_cache_miss(call, took / max(1, call.expected_if_cached))
    target.slowdown.add(_clamp(ratio) * target.slowdown.read(now), now)
    waiting = event.load[1] if event.load is not None else 0
    if waiting <= MAX_QUEUE_FOR_SAMPLE:
        _learn_service_time(state, call, took, now)


def record_outcome(
    state: GatewayState, target: Target, failure: float, now: int
) -> None:
    """Count an answer of a target for it and for its service.

    :param failure: 1 for a failure, 0 for a success, or between.
    """
    target.failure_share.add(failure, now)
    get_failure_share(state, target.announcement.service).add(failure, now)


def record_misdirected(state: GatewayState, call: Call, now: int) -> None:
    """Mark a target as down whose address belongs to another one."""
    target = state.targets.get(call.target)
    if target is not None:
        mark_down(state, target, now, "address belongs to another target")


def mark_down(state: GatewayState, target: Target, now: int, cause: str) -> None:
    """Send nothing to a target until a probe succeeds."""
    if target.down_since is not None:
        return
    target.down_since = now
    target.failed_probes = 0
    target.next_probe_at = now + INITIAL_PROBE_DELAY_US
    state.perform(CloseIdleConnections(target.name))
    silent = (now - state.last_contact_at) // MICROS_PER_MILLI
    _report(state, target, "down", cause, silent if state.last_contact_at else None)


def handle_tick(state: GatewayState, event: Ticked) -> None:
    """Probe targets that are down and due."""
    if state.configuration is None:
        return
    for target in state.targets.values():
        if target.down_since is None or event.now < target.next_probe_at:
            continue
        service = state.configuration.services.get(target.announcement.service)
        if service is None or find_probe_obstacle(state, target, event.now):
            continue
        take_limit_token(state, target, event.now)
        interval = min(
            INITIAL_PROBE_DELAY_US << min(target.failed_probes, 4),
            MAX_PROBE_INTERVAL_US,
        )
        target.next_probe_at = event.now + interval
        state.perform(
            Probe(target.name, target.announcement.address, service.health_path)
        )


def handle_probe_ended(state: GatewayState, event: ProbeEnded) -> None:
    """Put a target back into service after a successful probe."""
    target = state.targets.get(event.target)
    if target is None or target.down_since is None:
        return
    if event.rate_limit is not None:
        record_rate_limit(state, target, event.rate_limit, event.now)
    if not event.healthy:
        target.failed_probes += 1
        return
    target.down_since = None
    target.consecutive_timeouts = 0
    target.backoff_until = 0
    if event.warmup_left > 0:
        warmup_until = event.now + event.warmup_left + WARMUP_MARGIN_US
        target.warmup_until = max(target.warmup_until, warmup_until)
    _report(state, target, "up", "probe succeeded")


def handle_connection_checked(state: GatewayState, event: ConnectionChecked) -> None:
    """Mark a target as down that refuses connections."""
    target = state.targets.get(event.target)
    if target is not None and event.accepted is False:
        mark_down(state, target, event.now, "connection refused")


def discount_cache_miss(call: Call, ratio: float) -> float:
    """Return how slow a target was, without the time for fetching an object.

    Handles many objects that all targets see for the first time: a target that has to
    fetch them is no slower than others, and moving to another one would have the
    objects fetched there as well.

    :param ratio: time that the target took, relative to a cache hit.
    """
    if call.route.sticky and not call.sent_recently and ratio > CACHE_MISS_THRESHOLD:
        return max(1.0, ratio / CACHE_MISS_COST)
    return ratio


def looks_fetched(call: Call, took: int) -> bool:
    """Return whether an attempt took as long as one that had to fetch its object.

    :param took: time from sending to the answer, in microseconds.
    """
    return call.route.sticky and took > call.expected_if_cached * CACHE_MISS_THRESHOLD


def _learn_service_time(state: GatewayState, call: Call, took: int, now: int) -> None:
    """Update a route's service time; a miss is converted to a hit's time first."""
    service_time = get_service_time(state, call.route)
    hit_time = service_time.read(now)
    sample = took if took < hit_time * CACHE_MISS_THRESHOLD else took / CACHE_MISS_COST
    service_time.add(
        min(
            max(sample, hit_time / CACHE_MISS_THRESHOLD),
            hit_time * CACHE_MISS_THRESHOLD,
        ),
        now,
    )
    # A route's service time is lasting, unlike a disturbance: let it not decay.
    service_time.baseline = service_time.value


def _clamp(ratio: float) -> float:
    return min(max(ratio, MIN_SLOWDOWN_SAMPLE), MAX_SLOWDOWN_SAMPLE)


def _report(
    state: GatewayState,
    target: Target,
    new_state: str,
    cause: str,
    silent_ms: int | None = None,
) -> None:
    service = target.announcement.service
    state.report(TargetChanged(target.name, service, new_state, cause, silent_ms))


EVENT_HANDLERS: dict[type[GatewayEvent], object] = {
    ConnectionChecked: handle_connection_checked,
    ProbeEnded: handle_probe_ended,
    Ticked: handle_tick,
}

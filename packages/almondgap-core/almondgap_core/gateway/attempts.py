"""Sending a request to a target, and what a failed attempt says about the target."""

from __future__ import annotations

from almondgap_core.gateway.call import Call
from almondgap_core.gateway.effects import Send
from almondgap_core.gateway.events import AttemptFailed, Failure
from almondgap_core.gateway.fleet import count_hosts
from almondgap_core.gateway.health import mark_down, record_outcome
from almondgap_core.gateway.placement import Choice
from almondgap_core.gateway.reachability import record_unreached
from almondgap_core.gateway.reports import RequestPlaced
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.target_limits import take_limit_token
from almondgap_core.gateway.warmup import is_warming_up, schedule_next_warmup
from almondgap_core.units import MICROS_PER_MILLI

#: Fraction of a target's connection limit that all hosts together may keep idle.
IDLE_FRACTION = 0.5

#: Maximum number of idle connections that one host keeps to one target.
MAX_IDLE_CONNECTIONS = 16

#: Consecutive time-outs after which a target is marked as down.
MAX_CONSECUTIVE_TIMEOUTS = 3


def send_call(state: GatewayState, call: Call, choice: Choice, now: int) -> None:
    """Send a request to a target."""
    target = choice.target
    call.attempt = len(call.sent_to) + call.failed_connects + call.relays + 1
    call.sent_to.append(target.name)
    call.sent_at = now
    call.expected_if_cached = choice.expected_if_cached
    call.sent_recently = target.has_recent_object(call.affinity_key, now)
    load = target.compute_load(now)
    target.in_flight += 1
    if call.affinity_key:
        target.record_object(call.affinity_key, now)
    if is_warming_up(target, now):
        schedule_next_warmup(state, target, now)
    take_limit_token(state, target, now)
    state.perform(
        Send(
            call.number,
            call.attempt,
            target.name,
            target.announcement.address,
            call.expires_at - now,
            call.account_name,
            not call.route.idempotent,
            _compute_max_idle(state, call.service),
        )
    )
    state.report(
        RequestPlaced(
            call.request_id,
            call.route.name,
            call.account_name,
            call.attempt,
            target.name,
            state.find_region(target.announcement.failure_domain),
            call.affinity_key,
            choice.rank,
            call.sent_recently,
            round(load, 1),
            (now - target.load_reported_at) // MICROS_PER_MILLI
            if target.load_reported_at
            else -1,
            choice.expected // MICROS_PER_MILLI,
            (call.expires_at - now) // MICROS_PER_MILLI,
            state.version,
        )
    )


def record_failure(state: GatewayState, call: Call, event: AttemptFailed) -> None:
    """Update a target's state after a failed attempt."""
    target = state.targets.get(call.target)
    if target is None:
        return
    target.in_flight = max(0, target.in_flight - 1)
    if event.failure is Failure.NO_SOCKET:
        # It says nothing about the target.
        return
    record_outcome(state, target, 1.0, event.now)
    if event.failure is Failure.NOT_CONNECTED:
        mark_down(state, target, event.now, "connection failed")
        record_unreached(state, target, event.now)


def record_timeout(state: GatewayState, call: Call, now: int) -> None:
    """Update a target's state after a request timed out there."""
    target = state.targets.get(call.target)
    if target is None:
        return
    target.slowdown.add(
        max(1.0, (now - call.sent_at) / max(1, call.expected_if_cached)), now
    )
    target.consecutive_timeouts += 1
    if target.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS:
        mark_down(
            state,
            target,
            now,
            f"{target.consecutive_timeouts} requests in a row timed out",
        )


def _compute_max_idle(state: GatewayState, name: str) -> int:
    service = state.configuration.services.get(name)
    max_connections = service.max_connections if service else MAX_IDLE_CONNECTIONS
    return min(
        MAX_IDLE_CONNECTIONS, int(max_connections * IDLE_FRACTION / count_hosts(state))
    )

"""Sending a request to a target, and what is learned when no answer comes."""

from __future__ import annotations

from almondgap_core.gateway.effects import Send
from almondgap_core.gateway.events import AttemptFailed, Failure
from almondgap_core.gateway.fleet import count_hosts
from almondgap_core.gateway.health import note_down
from almondgap_core.gateway.placement import Choice
from almondgap_core.gateway.reports import RequestPlaced
from almondgap_core.gateway.state import Call, GatewayState
from almondgap_core.gateway.warmup import is_warming_up, schedule_next_warmup
from almondgap_core.units import MICROS_PER_MILLI

#: Part of a target's connections that hosts keep idle together.
IDLE_PART = 0.5

#: Most idle connections to one target that one host keeps.
MOST_IDLE = 16

#: Requests in a row without any answer after which a target counts as down.
MOST_SILENT = 3


def send_call(state: GatewayState, call: Call, choice: Choice, now: int) -> None:
    """Send a request to a target."""
    target = choice.target
    call.attempt = len(call.sends) + call.connects + 1
    call.sends.append(target.name)
    call.sent_at = now
    call.expected_warm = choice.expected_warm
    call.known_warm = target.is_warm(call.thing, now)
    load = target.compute_load(now)
    target.running += 1
    if call.thing:
        target.note_object(call.thing, now)
    if is_warming_up(target, now):
        schedule_next_warmup(state, target, now)
    state.perform(
        Send(
            call.number,
            call.attempt,
            target.name,
            target.announced.address,
            call.expires - now,
            call.account_name,
            not call.route.idempotent,
            _count_idle(state, call.service),
        )
    )
    state.report(
        RequestPlaced(
            call.request_id,
            call.route.name,
            call.account_name,
            call.attempt,
            target.name,
            state.find_region(target.announced.failure_domain),
            round(load, 1),
            (now - target.told_at) // MICROS_PER_MILLI if target.told_at else -1,
            choice.expected // MICROS_PER_MILLI,
            (call.expires - now) // MICROS_PER_MILLI,
            state.version,
        )
    )


def note_failure(state: GatewayState, call: Call, event: AttemptFailed) -> None:
    """Learn from an attempt that failed."""
    target = state.targets.get(call.target)
    if target is None:
        return
    target.running = max(0, target.running - 1)
    target.failing.add(1.0, event.now)
    if event.failure is Failure.NOT_CONNECTED:
        note_down(state, target, event.now, "no connection")


def note_silence(state: GatewayState, call: Call, now: int) -> None:
    """Learn from a request whose time ran out at a target."""
    target = state.targets.get(call.target)
    if target is None:
        return
    target.pace.add(max(1.0, (now - call.sent_at) / max(1, call.expected_warm)), now)
    target.silent += 1
    if target.silent >= MOST_SILENT:
        note_down(state, target, now, f"{target.silent} requests without an answer")


def _count_idle(state: GatewayState, name: str) -> int:
    service = state.configuration.services.get(name)
    most = service.connections if service else MOST_IDLE
    return min(MOST_IDLE, int(most * IDLE_PART / count_hosts(state)))

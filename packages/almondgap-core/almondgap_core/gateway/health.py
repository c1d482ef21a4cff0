"""What answers, failures and probes tell of a target.

What this host sees of a target goes before what the target says of its health: a target
that fails requests is avoided though its health check is good. A target that takes no
connections is probed, ever more rarely, until it answers.
"""

from __future__ import annotations

from almondgap_core.gateway.discovery import WARMUP_MARGIN_US
from almondgap_core.gateway.effects import Forget, Probe
from almondgap_core.gateway.events import (
    GatewayEvent,
    ProbeEnded,
    TargetAnswered,
    Ticked,
)
from almondgap_core.gateway.placement import UNWARMED, find_work, is_candidate
from almondgap_core.gateway.reports import TargetChanged
from almondgap_core.gateway.state import Call, GatewayState
from almondgap_core.gateway.target import Target
from almondgap_core.units import millis, seconds

#: Time to the first probe of a target that is down, and the longest between two.
FIRST_PROBE_US = millis(300)
LONGEST_PROBE_US = seconds(2)

#: Time without new requests after a target said that it is full.
FULL_US = millis(60)

#: Bounds of one sample of pace.
LEAST_SAMPLE = 0.2
MOST_SAMPLE = 20.0

#: How much a refusal that says "not executed" counts as a failure: the request can
#: still be served elsewhere.
REFUSAL_PART = 0.4

#: What separates a warm request from one that is not, in relation to the warm one: the
#: geometric mean of both.
BETWEEN = UNWARMED**0.5

#: Requests waiting at a target up to which an answer tells how long the work takes.
MOST_WAITING = 0


def note_answer(
    state: GatewayState, call: Call, target: Target, event: TargetAnswered
) -> None:
    """Learn from an answer, whatever it says."""
    now = event.now
    target.running = max(0, target.running - 1)
    target.silent = 0
    if event.load is not None:
        target.note_load(*event.load, now)
    if event.misdirected:
        return
    if event.not_executed:
        target.full_until = now + FULL_US
        target.failing.add(REFUSAL_PART, now)
        return
    failed = event.status >= 500 or not event.sealed
    target.failing.add(1.0 if failed else 0.0, now)
    if failed:
        return
    took = now - call.sent_at
    ratio = discount_fetch(call, took / max(1, call.expected_warm))
    target.pace.add(_clip(ratio) * target.pace.read(now), now)
    waiting = event.load[1] if event.load is not None else 0
    if waiting <= MOST_WAITING:
        _learn_work(state, call, took, now)


def note_misdirected(state: GatewayState, call: Call, now: int) -> None:
    """Stop using a target whose address another one has."""
    target = state.targets.get(call.target)
    if target is not None:
        note_down(state, target, now, "another target has its address")


def note_down(state: GatewayState, target: Target, now: int, cause: str) -> None:
    """Send nothing to a target until a probe finds it well."""
    if target.down_since is not None:
        return
    target.down_since = now
    target.probes = 0
    target.probe_at = now + FIRST_PROBE_US
    state.perform(Forget(target.name))
    _report(state, target, "down", cause)


def handle_tick(state: GatewayState, event: Ticked) -> None:
    """Probe targets that are down."""
    if state.configuration is None:
        return
    for target in state.targets.values():
        if target.down_since is None or event.now < target.probe_at:
            continue
        if not is_candidate(state, target):
            continue
        service = state.configuration.services.get(target.announced.service)
        if service is None:
            continue
        pause = min(FIRST_PROBE_US << min(target.probes, 4), LONGEST_PROBE_US)
        target.probe_at = event.now + pause
        state.perform(Probe(target.name, target.announced.address, service.health_path))


def handle_probe_ended(state: GatewayState, event: ProbeEnded) -> None:
    """Use a target again that answered its probe."""
    target = state.targets.get(event.target)
    if target is None or target.down_since is None:
        return
    if not event.healthy:
        target.probes += 1
        return
    target.down_since = None
    target.silent = 0
    target.full_until = 0
    if event.warmup_left > 0:
        cold = event.now + event.warmup_left + WARMUP_MARGIN_US
        target.warmup_until = max(target.warmup_until, cold)
    _report(state, target, "up", "answered a probe")


def discount_fetch(call: Call, ratio: float) -> float:
    """Return how slow a target was, without the time that it fetched an object.

    Answers the load of objects that many targets see for the first time: a target that
    has to fetch them is no slower than others, and leaving it for another one would
    have the objects fetched there as well.

    :param ratio: time that the target took, in relation to a warm object.
    """
    if call.route.sticky and not call.known_warm and ratio > BETWEEN:
        return max(1.0, ratio / UNWARMED)
    return ratio


def _learn_work(state: GatewayState, call: Call, took: int, now: int) -> None:
    """Learn what a warm request takes; one that was not warm tells it as well."""
    work = find_work(state, call.route)
    warm = work.read(now)
    sample = took if took < warm * BETWEEN else took / UNWARMED
    work.add(min(max(sample, warm / BETWEEN), warm * BETWEEN), now)
    # The work of a route is no passing trouble: keep what was learned.
    work.rest = work.value


def _clip(ratio: float) -> float:
    return min(max(ratio, LEAST_SAMPLE), MOST_SAMPLE)


def _report(state: GatewayState, target: Target, now_is: str, cause: str) -> None:
    service = target.announced.service
    state.report(TargetChanged(target.name, service, now_is, cause))


EVENT_HANDLERS: dict[type[GatewayEvent], object] = {
    ProbeEnded: handle_probe_ended,
    Ticked: handle_tick,
}

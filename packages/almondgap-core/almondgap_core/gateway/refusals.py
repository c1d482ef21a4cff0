"""Answers that this host gives on behalf of a target, and their reports.

Handles targets that reject or lose single requests although they have slots free: the
next attempt has as good a chance at once as later, and only one at once may still be
answered within the latency goal. The caller is told to retry so soon as long as that is
possible; other callers later, when what hinders them may be over.
"""

from __future__ import annotations

from collections import Counter

from almondgap_core.gateway.call import Call
from almondgap_core.gateway.effects import Refuse
from almondgap_core.gateway.eligibility import Obstacle, find_obstacle
from almondgap_core.gateway.events import CallArrived
from almondgap_core.gateway.notices import find_next_return
from almondgap_core.gateway.placement import (
    get_service_time,
    list_candidates,
    list_limited_targets,
)
from almondgap_core.gateway.reports import RequestRefused
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.target_limits import plan_return
from almondgap_core.units import MICROS_PER_MILLI, millis
from almondgap_core.verdict import Reason, Refusal, Verdict

#: Retry delay after a failure that may be over soon; jitter of up to the same length is
#: added.
RETRY_AFTER_US = millis(250)

#: Retry delay of a caller that may still be answered within its goal; the same jitter
#: rule holds.
QUICK_RETRY_AFTER_US = millis(15)


def refuse_call(
    state: GatewayState,
    call: Call,
    now: int,
    status: int,
    reason: Reason,
    detail: str,
    retry_after: int | None = None,
) -> None:
    """Refuse a request; the verdict follows from the attempts made."""
    verdict = Verdict.MAY_HAVE_RUN if call.may_have_run else Verdict.NOT_RUN
    if verdict is Verdict.NOT_RUN and status == 504:
        status = 503
    elif verdict is Verdict.MAY_HAVE_RUN and status == 503:
        status = 502
    if status == 503 and retry_after is None:
        retry_after = _draw_delay(state, RETRY_AFTER_US)
    refusal = Refusal(status, reason, verdict, detail, retry_after)
    send_refusal(state, call, now, refusal)


def refuse_unplaced(state: GatewayState, call: Call, now: int) -> None:
    """Refuse a request for which there is no usable target."""
    limited = list_limited_targets(state, call)
    if limited:
        retry_after = plan_return(state, call.service, limited, now)
        detail = f"rate limits of {len(limited)} targets leave no room"
        refuse_call(state, call, now, 503, Reason.NO_CAPACITY, detail, retry_after)
        return
    candidates = list_candidates(state, call)
    counts = Counter(find_obstacle(state, target, now) for target in candidates)
    causes = [f"{count} {cause.value}" for cause, count in counts.items() if cause]
    detail = f"no usable target for the service: {', '.join(causes) or 'none listed'}"
    returns_at = find_next_return(state, candidates, now)
    retry_after = None
    if returns_at and counts[Obstacle.PAUSED]:
        retry_after = returns_at - now + _draw_delay(state, RETRY_AFTER_US)
    refuse_call(state, call, now, 503, Reason.NO_TARGET, detail, retry_after)


def plan_retry(state: GatewayState, call: Call, now: int) -> int:
    """Return the retry delay after a target failed while others may succeed."""
    target = state.targets.get(call.target)
    is_full = target is not None and now < target.backoff_until
    service_time = round(get_service_time(state, call.route).read(now))
    answered_at = now + 2 * QUICK_RETRY_AFTER_US + service_time
    if is_full or answered_at > call.arrived_at + call.route.goal:
        return _draw_delay(state, RETRY_AFTER_US)
    return _draw_delay(state, QUICK_RETRY_AFTER_US)


def send_refusal(state: GatewayState, call: Call, now: int, refusal: Refusal) -> None:
    """End a request with an answer of this host."""
    del state.calls[call.number]
    state.perform(Refuse(call.number, refusal))
    retry_after = refusal.retry_after
    state.report(
        RequestRefused(
            call.request_id,
            call.route.name,
            call.account_name,
            call.service,
            call.target,
            call.route.idempotent,
            refusal.status,
            refusal.reason.value,
            refusal.verdict.value,
            refusal.detail,
            None if retry_after is None else retry_after // MICROS_PER_MILLI,
            (now - call.arrived_at) // MICROS_PER_MILLI,
            len(call.sent_to) + call.failed_connects,
            state.version,
        )
    )


def refuse_arrival(state: GatewayState, event: CallArrived, refusal: Refusal) -> None:
    """Refuse a request that never became a call, so only its id is known."""
    state.perform(Refuse(event.call, refusal))
    retry_after = refusal.retry_after
    state.report(
        RequestRefused(
            event.request_id,
            "",
            "",
            "",
            "",
            False,
            refusal.status,
            refusal.reason.value,
            refusal.verdict.value,
            refusal.detail,
            None if retry_after is None else retry_after // MICROS_PER_MILLI,
            0,
            0,
            state.version,
        )
    )


def _draw_delay(state: GatewayState, minimum: int) -> int:
    return minimum + state.draw_random(minimum)

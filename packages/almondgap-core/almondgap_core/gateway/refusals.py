"""Answers that this host gives on behalf of a target, and their reports."""

from __future__ import annotations

from almondgap_core.gateway.effects import Refuse
from almondgap_core.gateway.events import CallArrived
from almondgap_core.gateway.reports import RequestRefused
from almondgap_core.gateway.state import Call, GatewayState
from almondgap_core.units import MICROS_PER_MILLI, millis
from almondgap_core.verdict import Reason, Refusal, Verdict

#: Retry delay after a failure that may be over soon; jitter of up to the same length is
#: added.
RETRY_AFTER_US = millis(250)


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
        retry_after = RETRY_AFTER_US + state.draw_random(RETRY_AFTER_US)
    refusal = Refusal(status, reason, verdict, detail, retry_after)
    send_refusal(state, call, now, refusal)


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

"""The life cycle of a caller's request: from its arrival to its answer.

Decides what each event means for the request: forward the answer, retry at another
target, or refuse. A request that may run only once is never sent again after it may
have run.
"""

from __future__ import annotations

from almondgap_core.gateway.admission import (
    check_call,
    get_token_bucket,
    take_token,
)
from almondgap_core.gateway.attempts import record_failure, record_timeout
from almondgap_core.gateway.call import Call
from almondgap_core.gateway.dispatch import (
    has_time,
    may_retry,
    place_call,
    report_attempt_lost,
    retry_call,
    retry_or_refuse,
)
from almondgap_core.gateway.effects import Abandon, Cancel, Deliver, StartExpiryTimer
from almondgap_core.gateway.events import (
    AttemptFailed,
    CallArrived,
    CallerLeft,
    CallExpired,
    ConfigurationRead,
    Failure,
    GatewayEvent,
    TableRead,
    TargetAnswered,
    TokensGranted,
    TokensRequested,
    TokensTimedOut,
)
from almondgap_core.gateway.fleet import count_hosts
from almondgap_core.gateway.health import (
    looks_fetched,
    record_answer,
    record_misdirected,
)
from almondgap_core.gateway.quarantine import (
    check_quarantine,
    clear_call,
    confirm_crashes,
    suspect_call,
)
from almondgap_core.gateway.refusals import (
    refuse_arrival,
    refuse_call,
    send_refusal,
)
from almondgap_core.gateway.relays import (
    choose_relay,
    end_relay,
    needs_relay,
)
from almondgap_core.gateway.reports import (
    CallerGone,
    RequestAnswered,
)
from almondgap_core.gateway.retry_budget import RetryBudget
from almondgap_core.gateway.startup import hold_arrival, release_arrivals
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.token_requests import (
    handle_timeout,
    handle_tokens_requested,
    receive_tokens,
    request_tokens,
)
from almondgap_core.units import MICROS_PER_MILLI
from almondgap_core.verdict import Reason, Refusal, Verdict

#: Statuses by which an answer claims that the request did not run. A target's claim
#: counts only with proof.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

#: Minimum status of a "not executed" answer: a success with that header proves nothing.
MIN_FAILURE_STATUS = 400

#: Connections that may fail before a request is refused; it was not sent on any of
#: them.
MAX_FAILED_CONNECTS = 3


def handle_call_arrived(state: GatewayState, event: CallArrived) -> None:
    """Admit and place a request, or refuse it immediately."""
    if not hold_arrival(state, event):
        _admit(state, event, event.now)


def handle_store_read(
    state: GatewayState, event: ConfigurationRead | TableRead
) -> None:
    """Admit the requests that arrived before the store was read."""
    for arrival in release_arrivals(state):
        _admit(state, arrival, event.now)


def handle_tokens_granted(state: GatewayState, event: TokensGranted) -> None:
    """Resume requests that waited for tokens."""
    _finish_waiting(state, receive_tokens(state, event), event.now)


def handle_tokens_timed_out(state: GatewayState, event: TokensTimedOut) -> None:
    """Request tokens from the next host, or refuse the requests that wait."""
    _finish_waiting(state, handle_timeout(state, event), event.now)


def handle_target_answered(state: GatewayState, event: TargetAnswered) -> None:
    """Forward an answer, or retry elsewhere if the request did not run."""
    call = state.calls.get(event.call)
    if call is None or call.attempt != event.attempt:
        return
    now = event.now
    target = state.targets.get(call.target)
    if target is not None:
        record_answer(state, call, target, event)
    confirm_crashes(state, now)
    call.attempt = 0
    if event.misdirected:
        record_misdirected(state, call, now)
        retry_or_refuse(state, call, now, "address belongs to another target")
    elif event.not_executed and event.status >= MIN_FAILURE_STATUS:
        report_attempt_lost(
            state, call, event.attempt, "not executed", Verdict.NOT_RUN, now
        )
        retry_or_refuse(
            state, call, now, f"target rejected the request with status {event.status}"
        )
    elif event.sealed and not event.not_executed and _is_deliverable(event.status):
        clear_call(state, call, now)
        _deliver(state, call, event)
    else:
        _handle_bad_answer(state, call, event)


def handle_attempt_failed(state: GatewayState, event: AttemptFailed) -> None:
    """Retry at another target if that is safe, otherwise refuse."""
    call = state.calls.get(event.call)
    if call is None or call.attempt != event.attempt:
        return
    now = event.now
    record_failure(state, call, event)
    call.attempt = 0
    failure = event.failure.value
    report_attempt_lost(state, call, event.attempt, failure, event.verdict, now)
    if event.failure is Failure.NO_SOCKET:
        refuse_call(state, call, now, 503, Reason.NO_CAPACITY, "no socket left")
        return
    if event.verdict is not Verdict.NOT_RUN:
        call.may_have_run = True
        target = state.targets.get(call.target)
        if event.failure is Failure.CONNECTION_LOST and target is not None:
            suspect_call(state, call, target, now)
    elif event.failure is Failure.NOT_CONNECTED:
        call.sent_to.pop()
        call.failed_connects += 1
        if call.failed_connects < MAX_FAILED_CONNECTS and has_time(state, call, now):
            place_call(state, call, now)
            return
    retry_or_refuse(state, call, now, failure)


def handle_caller_left(state: GatewayState, event: CallerLeft) -> None:
    """Cancel work that nobody waits for; a request that runs only once may finish."""
    state.early_arrivals.pop(event.call, None)
    call = state.calls.pop(event.call, None)
    if call is None:
        return
    stop_attempt(state, call, cancel=call.route.idempotent)
    took = (event.now - call.arrived_at) // MICROS_PER_MILLI
    cancelled = bool(call.attempt and call.route.idempotent)
    state.report(CallerGone(call.request_id, call.target, cancelled, took))


def handle_call_expired(state: GatewayState, event: CallExpired) -> None:
    """Refuse a request whose time limit was reached."""
    arrival = state.early_arrivals.pop(event.call, None)
    if arrival is not None:
        _admit(state, arrival, event.now)
        return
    call = state.calls.get(event.call)
    if call is None:
        return
    if call.attempt:
        if not call.relay_host:
            record_timeout(state, call, event.now)
        call.may_have_run = True
        stop_attempt(state, call, cancel=True)
        call.attempt = 0
    detail = "no answer from the target before the request expired"
    refuse_call(state, call, event.now, 504, Reason.DEADLINE_PASSED, detail)


def stop_attempt(state: GatewayState, call: Call, cancel: bool) -> None:
    """Stop waiting for the attempt in flight, if there is one.

    :param cancel: whether the target is to stop as well.
    """
    if not call.attempt:
        return
    if call.relay_host:
        end_relay(state, call)
    elif (target := state.targets.get(call.target)) is not None:
        target.in_flight = max(0, target.in_flight - 1)
    effect = Cancel if cancel else Abandon
    state.perform(effect(call.number, call.attempt))


def _admit(state: GatewayState, event: CallArrived, now: int) -> None:
    admitted = check_call(state, event)
    if isinstance(admitted, Refusal):
        refuse_arrival(state, event, admitted)
        return
    call = admitted
    state.calls[call.number] = call
    quarantined = check_quarantine(state, call, now)
    if quarantined is not None:
        send_refusal(state, call, now, quarantined)
        return
    state.perform(StartExpiryTimer(call.number, max(0, call.expires_at - now)))
    if needs_relay(state, call) and choose_relay(state, call, now) is not None:
        place_call(state, call, now)
        return
    if call.account is not None:
        bucket = get_token_bucket(state, call.account)
        bucket.demand.count(now)
    refusal = take_token(state, call, now)
    if refusal is None:
        _place_admitted(state, call, now)
    elif not request_tokens(state, call, refusal, now):
        send_refusal(state, call, now, refusal)


def _place_admitted(state: GatewayState, call: Call, now: int) -> None:
    _credit_retry_budget(state, call)
    place_call(state, call, now)


def _finish_waiting(
    state: GatewayState, resolved: list[tuple[Call, Refusal | None]], now: int
) -> None:
    for call, refusal in resolved:
        if call.number not in state.calls:
            # The caller left or the request expired meanwhile.
            continue
        if refusal is None:
            _place_admitted(state, call, now)
        else:
            send_refusal(state, call, now, refusal)


def _deliver(state: GatewayState, call: Call, event: TargetAnswered) -> None:
    del state.calls[call.number]
    state.perform(Deliver(call.number))
    took = event.now - call.arrived_at
    target_took = event.now - call.sent_at
    state.report(
        RequestAnswered(
            call.request_id,
            call.account_name,
            call.service,
            call.route.idempotent,
            call.target,
            event.status,
            took // MICROS_PER_MILLI,
            target_took // MICROS_PER_MILLI,
            looks_fetched(call, target_took),
            event.load[1] if event.load is not None else -1,
            took > call.route.goal,
            len(call.sent_to),
        )
    )


def _is_deliverable(status: int) -> bool:
    """Return whether a target's answer can be forwarded without further checks."""
    return status < 500 and status not in NOT_RUN_STATUSES


def _handle_bad_answer(state: GatewayState, call: Call, event: TargetAnswered) -> None:
    """Handle a server error of a target, or an answer without its seal."""
    call.may_have_run = True
    now = event.now
    if call.route.idempotent and may_retry(state, call, now):
        failure = f"answered {event.status}"
        verdict = Verdict.MAY_HAVE_RUN
        report_attempt_lost(state, call, event.attempt, failure, verdict, now)
        retry_call(state, call, now, failure)
    elif event.sealed and event.status not in NOT_RUN_STATUSES:
        # The target's own error; the caller receives it unchanged.
        _deliver(state, call, event)
    else:
        detail = (
            f"target answered {event.status} without proof that it handled the request"
        )
        refuse_call(state, call, now, 502, Reason.TARGET_FAILED, detail)


def _credit_retry_budget(state: GatewayState, call: Call) -> None:
    budget = state.retry_budgets.setdefault(call.service, RetryBudget())
    bounds = state.bounds
    budget.record_request(bounds.retry_ratio, bounds.retry_burst, count_hosts(state))


EVENT_HANDLERS: dict[type[GatewayEvent], object] = {
    CallArrived: handle_call_arrived,
    TargetAnswered: handle_target_answered,
    AttemptFailed: handle_attempt_failed,
    CallerLeft: handle_caller_left,
    TokensRequested: handle_tokens_requested,
    TokensGranted: handle_tokens_granted,
    TokensTimedOut: handle_tokens_timed_out,
    CallExpired: handle_call_expired,
    ConfigurationRead: handle_store_read,
    TableRead: handle_store_read,
}

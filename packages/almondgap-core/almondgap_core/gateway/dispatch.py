"""Where a request goes next: to a target, to another host, or back to its caller.

A request that may run only once is never sent again after it may have run.
"""

from __future__ import annotations

from almondgap_core.gateway.admission import return_token, take_token
from almondgap_core.gateway.attempts import send_call
from almondgap_core.gateway.call import Call
from almondgap_core.gateway.overload import check_overload
from almondgap_core.gateway.placement import choose_target
from almondgap_core.gateway.planned_stop import (
    STOPPING_DETAIL,
    STOPPING_RETRY_AFTER_US,
    may_outlast_stop,
)
from almondgap_core.gateway.quarantine import (
    check_quarantine,
    may_retry_suspect,
    record_trial,
)
from almondgap_core.gateway.refusals import (
    plan_retry,
    refuse_call,
    refuse_unplaced,
    send_refusal,
)
from almondgap_core.gateway.relays import choose_relay, needs_relay, relay_call
from almondgap_core.gateway.reports import AttemptLost, RequestRetried, RetryDenied
from almondgap_core.gateway.retry_budget import RetryBudget
from almondgap_core.gateway.state import GatewayState
from almondgap_core.units import MICROS_PER_MILLI
from almondgap_core.verdict import Reason, Verdict

#: Minimum remaining time for another attempt, as a fraction of the service time.
MIN_TIME_FRACTION = 0.8


def place_call(state: GatewayState, call: Call, now: int) -> None:
    """Send a request to the best target, or refuse it if it cannot be served."""
    refusal = check_quarantine(state, call, now)
    if refusal is not None:
        send_refusal(state, call, now, refusal)
        return
    if may_outlast_stop(state, call.expires_at, call.is_relayed, now):
        return_token(state, call)
        reason, wait = Reason.STOPPING, STOPPING_RETRY_AFTER_US
        refuse_call(state, call, now, 503, reason, STOPPING_DETAIL, wait)
        return
    if state.partitioned_since is not None:
        peer = choose_relay(state, call, now) if needs_relay(state, call) else None
        if peer is not None:
            # The other host takes the token of the client account.
            return_token(state, call)
            relay_call(state, call, peer, now)
            return
        if call.is_relayed or state.targets_silent:
            detail = "this host reaches no target, nor another host that does"
            refuse_call(state, call, now, 503, Reason.NO_TARGET, detail)
            return
    choice = choose_target(state, call, now)
    if choice is None:
        refuse_unplaced(state, call, now)
        return
    refusal = check_overload(state, call, choice, now)
    if refusal is None and not call.has_token:
        # A request that another host did not take has no token here.
        refusal = take_token(state, call, now)
        if refusal is not None and call.may_have_run:
            refuse_call(state, call, now, 502, refusal.reason, refusal.detail)
            return
    if refusal is None:
        record_trial(state, call, now)
        send_call(state, call, choice, now)
        return
    send_refusal(state, call, now, refusal)


def retry_or_refuse(state: GatewayState, call: Call, now: int, failure: str) -> None:
    """Retry a request after a failed attempt if that is safe, otherwise refuse it."""
    safe = call.route.idempotent or not call.may_have_run
    if safe and may_retry(state, call, now):
        retry_call(state, call, now, failure)
        return
    if call.may_have_run:
        refuse_call(state, call, now, 502, Reason.TARGET_FAILED, failure)
        return
    retry_after = plan_retry(state, call, now)
    refuse_call(state, call, now, 503, Reason.TARGET_FAILED, failure, retry_after)


def may_retry(state: GatewayState, call: Call, now: int) -> bool:
    """Take a retry from the budget and return whether a request may be retried."""
    attempts = len(call.sent_to) + call.prior_attempts
    if attempts >= call.route.max_attempts or not has_time(state, call, now):
        return False
    if not may_retry_suspect(state, call):
        return False
    budget = state.retry_budgets.setdefault(call.service, RetryBudget())
    if budget.take():
        return True
    left = round(budget.tokens, 2)
    state.report(RetryDenied(call.request_id, call.service, left))
    return False


def retry_call(state: GatewayState, call: Call, now: int, failure: str) -> None:
    """Place a request once more."""
    left = round(state.retry_budgets[call.service].tokens, 2)
    attempt = len(call.sent_to) + 1
    state.report(RequestRetried(call.request_id, attempt, failure, left))
    place_call(state, call, now)


def report_attempt_lost(
    state: GatewayState,
    call: Call,
    attempt: int,
    failure: str,
    verdict: Verdict,
    now: int,
) -> None:
    """Log that an attempt failed."""
    took = (now - call.sent_at) // MICROS_PER_MILLI
    state.report(
        AttemptLost(
            call.request_id,
            call.target,
            attempt,
            failure,
            verdict.value,
            took,
            call.fingerprint,
        )
    )


def has_time(state: GatewayState, call: Call, now: int) -> bool:
    service_time = state.service_times.get(call.route.name)
    needed = service_time.read(now) * MIN_TIME_FRACTION if service_time else 0
    return call.expires_at - now > needed

"""Admission: lets a request through when it gets a token of its client account.

A token comes from a credit, the local pool or the home of the limit. A request within
the rate waits for its token for a short time; one above the rate is refused with the
time after which a retry can succeed.
"""

from __future__ import annotations

from almondgap_core.effects import WakeAt
from almondgap_core.events import CallerGone, RateAsked, RateGranted, RateRefused, Tick
from almondgap_core.limits.catalogue import find_limit, name_account
from almondgap_core.limits.homes import suspect_home
from almondgap_core.limits.leases import CREDIT_TTL_US
from almondgap_core.limits.messages import TokenGrant, TokenRequest
from almondgap_core.limits.state import Credit, PendingTokenRequest, Waiter
from almondgap_core.limits.token_grants import Decision, decide
from almondgap_core.limits.token_requests import (
    choose_host,
    compute_spare,
    record_demand,
    report_settled,
    send_token_request,
    settle,
    take_credit,
)
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_SECOND, millis

#: Longest wait of a request within the rate for its token.
MAX_WAIT_US = millis(1000)

#: Largest number of waiting requests on one host.
MAX_WAITERS = 2_000

#: Time to wait for an answer before another host is tried.
REQUEST_TIMEOUT_US = millis(150)

#: Consecutive time-outs after which another home is chosen.
MAX_CONSECUTIVE_TIMEOUTS = 3

#: Shortest time between two token requests for one request.
MIN_RETRY_INTERVAL_US = millis(5)


def handle_rate_asked(state: HostState, event: RateAsked) -> None:
    """Admit the request with a local token, or let it wait for a remote one."""
    name = name_account(event.account)
    requests = state.limits.token_requests
    if (
        find_limit(state.inventory, name) is None
        or len(requests.waiters) >= MAX_WAITERS
    ):
        refused = RateRefused(event.now, event.req_id, MICROS_PER_SECOND)
        state.emit(refused)
        return
    record_demand(state, name, event.now)
    if take_credit(state, name, event.now, False):
        state.emit(RateGranted(event.now, event.req_id))
        return
    deadline = min(event.deadline, event.now + MAX_WAIT_US)
    waiter = Waiter(event.req_id, name, event.now, deadline)
    requests.waiters[event.req_id] = waiter
    _request_token(state, waiter, event.now)


def handle_tick(state: HostState, event: Tick) -> None:
    """Retry for waiting requests, drop lost token requests and report spent tokens."""
    requests = state.limits.token_requests
    if state.inventory is None:
        return
    for number, pending in list(requests.pending.items()):
        if event.now >= pending.sent + CREDIT_TTL_US:
            del requests.pending[number]
    for waiter in list(requests.waiters.values()):
        if event.now >= waiter.due and waiter.req_id in requests.waiters:
            _process_waiter(state, waiter, event.now)
    report_settled(state, event.now)


def handle_caller_gone(state: HostState, event: CallerGone) -> None:
    """Drop the waiting request; a token that still arrives goes to another one."""
    state.limits.token_requests.waiters.pop(event.req_id, None)


def handle_token_grant(
    state: HostState, host: str, message: TokenGrant, now: int
) -> None:
    """Spend granted tokens, or wait for as long as the granting host estimates."""
    requests = state.limits.token_requests
    pending = requests.pending.pop(message.number, None)
    if pending is None or pending.host != host:
        return
    requests.consecutive_timeouts.pop(host, None)
    waiter = requests.waiters.get(pending.req_id)
    if message.tokens:
        _use_grant(state, pending, message, waiter, now)
    elif waiter is not None and waiter.number == message.number:
        wait = None if message.wait < 0 else message.wait
        _refuse_or_wait(
            state,
            waiter,
            pending.home,
            Decision(0, wait, bool(message.within_rate)),
            now,
        )


def _request_token(state: HostState, waiter: Waiter, now: int) -> None:
    """Decide from the local pool if this host is chosen, else request a token."""
    host, home = choose_host(state, waiter, now)
    if host != state.host:
        spare = compute_spare(state, waiter.name)
        needed = _count_needed(state, waiter)
        waiter.number = send_token_request(
            state, waiter, host, home, needed, spare, now
        )
        waiter.due = now + REQUEST_TIMEOUT_US
        return
    request = TokenRequest(0, waiter.name, 1, 0, int(waiter.counted))
    decision = decide(state, waiter.name, request, None, now)
    if decision.tokens:
        _grant(state, waiter, now)
    else:
        _refuse_or_wait(state, waiter, home, decision, now)


def _process_waiter(state: HostState, waiter: Waiter, now: int) -> None:
    if now >= waiter.deadline:
        _refuse(state, waiter, MICROS_PER_SECOND, now)
        return
    if take_credit(state, waiter.name, now, True):
        _grant(state, waiter, now)
        return
    if waiter.number:
        _count_timeout(state, waiter, now)
    if waiter.counted and _find_first_counted(state, waiter.name) is not waiter:
        waiter.due = now + REQUEST_TIMEOUT_US
        return
    _request_token(state, waiter, now)


def _find_first_counted(state: HostState, name: str) -> Waiter | None:
    """Return the oldest request of a limit that a home told to wait.

    It requests tokens on behalf of all such requests.
    """
    for waiter in state.limits.token_requests.waiters.values():
        if waiter.name == name and waiter.counted:
            return waiter
    return None


def _count_needed(state: HostState, waiter: Waiter) -> int:
    if not waiter.counted:
        return 1
    waiters = state.limits.token_requests.waiters.values()
    return sum(other.name == waiter.name and other.counted for other in waiters)


def _count_timeout(state: HostState, waiter: Waiter, now: int) -> None:
    """Record that a token request timed out; suspect its home after several."""
    requests = state.limits.token_requests
    pending = requests.pending.get(waiter.number)
    waiter.number = 0
    waiter.attempts += 1
    if pending is None or not pending.home:
        return
    timeouts = requests.consecutive_timeouts.get(pending.host, 0) + 1
    requests.consecutive_timeouts[pending.host] = timeouts
    if timeouts >= MAX_CONSECUTIVE_TIMEOUTS:
        del requests.consecutive_timeouts[pending.host]
        suspect_home(state, pending.host, now)


def _use_grant(
    state,
    pending: PendingTokenRequest,
    message: TokenGrant,
    waiter: Waiter | None,
    now: int,
) -> None:
    until = pending.sent + CREDIT_TTL_US
    waiting = any(
        w.name == pending.name for w in state.limits.token_requests.waiters.values()
    )
    credit = Credit(message.number, pending.host, message.tokens, until)
    if now >= until or not waiting:
        settle(state, pending.name, credit)
        return
    state.limits.token_requests.credits.setdefault(pending.name, []).append(credit)
    if waiter is not None and take_credit(state, pending.name, now, True):
        _grant(state, waiter, now)
    for other in list(state.limits.token_requests.waiters.values()):
        if other.name == pending.name and take_credit(state, pending.name, now, True):
            _grant(state, other, now)


def _refuse_or_wait(
    state: HostState, waiter: Waiter, home: bool, decision: Decision, now: int
) -> None:
    """Wait if the request is within the rate and its token is due in time."""
    waiter.number = 0
    waiter.counted |= home
    wait = decision.wait
    if wait is None:
        waiter.attempts += 1
        wait = REQUEST_TIMEOUT_US
    elif home and not decision.within_rate:
        _refuse(state, waiter, wait, now)
        return
    waiter.due = now + max(wait, MIN_RETRY_INTERVAL_US)
    if waiter.due >= waiter.deadline:
        _refuse(state, waiter, wait, now)
        return
    state.perform(WakeAt(waiter.due))


def _grant(state: HostState, waiter: Waiter, now: int) -> None:
    del state.limits.token_requests.waiters[waiter.req_id]
    state.emit(RateGranted(now, waiter.req_id))
    _wake_next(state, waiter, now)


def _refuse(state: HostState, waiter: Waiter, wait: int, now: int) -> None:
    del state.limits.token_requests.waiters[waiter.req_id]
    state.emit(RateRefused(now, waiter.req_id, max(wait, 1)))
    _wake_next(state, waiter, now)


def _wake_next(state: HostState, waiter: Waiter, now: int) -> None:
    """Let the next waiting request send token requests instead of a finished one."""
    following = _find_first_counted(state, waiter.name) if waiter.counted else None
    if following is not None and not following.number:
        following.due = min(following.due, max(now, waiter.due))
        state.perform(WakeAt(following.due))


EVENT_HANDLERS = {
    RateAsked: handle_rate_asked,
    Tick: handle_tick,
    CallerGone: handle_caller_gone,
}
MESSAGE_HANDLERS = {TokenGrant: handle_token_grant}

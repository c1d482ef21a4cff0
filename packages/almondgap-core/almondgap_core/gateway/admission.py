"""Admission of callers' requests: route, API key, and the account's rate limit.

Also picks the service of a route that several services share by weight.
"""

from __future__ import annotations

from hashlib import blake2b

from almondgap_core.gateway.call import Call
from almondgap_core.gateway.configuration import Account, Route
from almondgap_core.gateway.events import CallArrived
from almondgap_core.gateway.limit_shares import compute_limit_share
from almondgap_core.gateway.planned_stop import (
    STOPPING_DETAIL,
    STOPPING_RETRY_AFTER_US,
    may_outlast_stop,
)
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.token_bucket import TokenBucket
from almondgap_core.units import MICROS_PER_SECOND, millis
from almondgap_core.verdict import Reason, Refusal, Verdict

#: Retry delay for callers of a host that has no current configuration yet.
NOT_READY_RETRY_AFTER_US = millis(300)

#: Maximum retry delay for callers above their rate limit.
MAX_RETRY_AFTER_US = 5 * MICROS_PER_SECOND

#: Fraction of an account's rate that a host without a share assumes when it computes
#: the retry delay: it gets tokens from other hosts in turn.
MIN_RATE_FRACTION = 0.1


def check_call(state: GatewayState, event: CallArrived) -> Call | Refusal:
    """Return the call for a valid request, or the refusal for another."""
    cfg = state.configuration
    if cfg is None or state.outdated or cfg.version < event.min_version:
        return _refuse(
            503,
            Reason.NOT_READY,
            "host has no current configuration yet",
            NOT_READY_RETRY_AFTER_US,
        )
    route = cfg.find_route(event.host, event.path)
    if route is None:
        return _refuse(404, Reason.NO_ROUTE, "no route for this host and path")
    account = cfg.find_account(event.key) if event.key else None
    if not route.public and cfg.accounts and account is None:
        reason = Reason.KEY_UNKNOWN if event.key else Reason.KEY_MISSING
        return _refuse(401, reason, "route requires the API key of a client account")
    if event.caller_timeout <= 0:
        return _refuse(503, Reason.DEADLINE_PASSED, "caller's deadline has passed")
    expires_at = event.now + min(route.timeout, event.caller_timeout)
    is_relayed = event.prior_attempts is not None
    if may_outlast_stop(state, expires_at, is_relayed, event.now):
        reason, wait = Reason.STOPPING, STOPPING_RETRY_AFTER_US
        return _refuse(503, reason, STOPPING_DETAIL, wait)
    return Call(
        number=event.call,
        request_id=event.request_id,
        arrived_at=event.now,
        expires_at=expires_at,
        caller_deadline=event.now + event.caller_timeout,
        route=route,
        account=account,
        service=choose_service(state, route),
        affinity_key=event.affinity_key,
        fingerprint=compute_fingerprint(account, event.content),
        is_relayed=is_relayed,
        prior_attempts=event.prior_attempts or 0,
    )


def compute_fingerprint(account: Account | None, content: str) -> str:
    """Return the fingerprint of an account's request, empty if there is none.

    :param content: digest of the request's content.
    """
    if not content:
        return ""
    name = account.name if account is not None else ""
    return blake2b(f"{name}\0{content}".encode(), digest_size=8).hexdigest()


def choose_service(state: GatewayState, route: Route) -> str:
    """Return the next service of a route by smooth weighted round robin."""
    if len(route.backends) == 1:
        return route.backends[0].service
    credits = state.backend_credit.setdefault(route.name, {})
    total = sum(backend.weight for backend in route.backends) or 1.0
    for backend in route.backends:
        previous = credits.get(backend.service, 0.0)
        credits[backend.service] = previous + backend.weight / total
    enabled = [backend.service for backend in route.backends if backend.weight > 0]
    chosen = max(enabled, key=lambda name: credits[name])
    credits[chosen] -= 1.0
    return chosen


def get_token_bucket(state: GatewayState, account: Account) -> TokenBucket:
    """Return the token bucket of an account on this host."""
    bucket = state.token_buckets.get(account.name)
    if bucket is None:
        bucket = state.token_buckets[account.name] = TokenBucket(state.serving_since)
    return bucket


def refill_tokens(state: GatewayState, account: Account, now: int) -> TokenBucket:
    """Return the token bucket of an account after refilling it."""
    bucket = get_token_bucket(state, account)
    bucket.refill(compute_limit_share(state, account), now)
    return bucket


def take_token(state: GatewayState, call: Call, now: int) -> Refusal | None:
    """Take a token of the request's account; return a refusal if there is none."""
    account = call.account
    if account is None or account.rate <= 0:
        return None
    bucket = refill_tokens(state, account, now)
    if bucket.take():
        call.has_token = True
        return None
    limit_share = compute_limit_share(state, account)
    detail = (
        f"rate limit exceeded, {account.rate:g}/s: {bucket.demand.read(now):.1f}/s "
        f"requested at this host, which holds share {limit_share.fraction:.3f}, "
        f"{bucket.level:.1f} tokens left"
    )
    accrual_s = (1.0 - bucket.level) / max(
        limit_share.rate, account.rate * MIN_RATE_FRACTION
    )
    wait = min(round(accrual_s * MICROS_PER_SECOND), MAX_RETRY_AFTER_US)
    return _refuse(429, Reason.OVER_RATE, detail, wait)


def return_token(state: GatewayState, call: Call) -> None:
    """Give back the token of a request that was sent to no target."""
    if call.has_token and not call.sent_to:
        call.has_token = False
        get_token_bucket(state, call.account).receive(1.0)


def _refuse(status: int, reason: Reason, detail: str, wait: int | None = None):
    return Refusal(status, reason, Verdict.NOT_RUN, detail, wait)

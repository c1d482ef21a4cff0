"""Whether a caller's request is accepted: route, key, and its account's limit."""

from __future__ import annotations

from almondgap_core.gateway.configuration import Account, Route
from almondgap_core.gateway.events import CallArrived
from almondgap_core.gateway.limit_shares import compute_limit_share
from almondgap_core.gateway.state import Call, GatewayState
from almondgap_core.gateway.token_bucket import TokenBucket
from almondgap_core.units import MICROS_PER_SECOND, millis
from almondgap_core.verdict import Reason, Refusal, Verdict

#: When a caller may come back to a host that has no configuration yet.
NOT_READY_RETRY_AFTER_US = millis(300)

#: Greatest time that a caller over its rate is told to wait.
MAX_RETRY_AFTER_US = 5 * MICROS_PER_SECOND

#: Part of an account's rate by which a host that holds none of it reckons when tokens
#: will be there: those of a holder come in turn.
MIN_RATE_FRACTION = 0.1


def check_call(state: GatewayState, event: CallArrived) -> Call | Refusal:
    """Return a request that route and key allow, or why it is refused."""
    cfg = state.configuration
    if cfg is None:
        return _refuse(
            503, Reason.NOT_READY, "no configuration yet", NOT_READY_RETRY_AFTER_US
        )
    route = cfg.find_route(event.host, event.path)
    if route is None:
        return _refuse(404, Reason.NO_ROUTE, "no route for this host and path")
    account = cfg.find_account(event.key) if event.key else None
    if not route.public and cfg.accounts and account is None:
        reason = Reason.KEY_UNKNOWN if event.key else Reason.KEY_MISSING
        return _refuse(401, reason, "the route asks for the key of an account")
    if event.caller_timeout <= 0:
        return _refuse(503, Reason.DEADLINE_PASSED, "the caller's time is over")
    return Call(
        number=event.call,
        request_id=event.request_id,
        arrived_at=event.now,
        expires_at=event.now + min(route.timeout, event.caller_timeout),
        caller_deadline=event.now + event.caller_timeout,
        route=route,
        account=account,
        service=choose_service(state, route),
        affinity_key=event.affinity_key,
    )


def choose_service(state: GatewayState, route: Route) -> str:
    """Return the service whose turn it is among those that share a route."""
    if len(route.backends) == 1:
        return route.backends[0].service
    credit = state.backend_credit.setdefault(route.name, {})
    total = sum(backend.weight for backend in route.backends) or 1.0
    for backend in route.backends:
        before = credit.get(backend.service, 0.0)
        credit[backend.service] = before + backend.weight / total
    listed = [backend.service for backend in route.backends if backend.weight > 0]
    chosen = max(listed, key=lambda name: credit[name])
    credit[chosen] -= 1.0
    return chosen


def get_token_bucket(state: GatewayState, account: Account) -> TokenBucket:
    """Return the tokens of an account on this host."""
    bucket = state.token_buckets.get(account.name)
    if bucket is None:
        bucket = state.token_buckets[account.name] = TokenBucket(state.serving_since)
    return bucket


def refill_tokens(state: GatewayState, account: Account, now: int) -> TokenBucket:
    """Return the tokens of an account on this host as they are now."""
    bucket = get_token_bucket(state, account)
    bucket.refill(compute_limit_share(state, account), now)
    return bucket


def take_token(state: GatewayState, call: Call, now: int) -> Refusal | None:
    """Take a token of a request's account; return why it is refused without one."""
    account = call.account
    if account is None or account.rate <= 0:
        return None
    bucket = refill_tokens(state, account, now)
    if bucket.take():
        return None
    limit_share = compute_limit_share(state, account)
    detail = (
        f"no token of {account.rate:g}/s: {bucket.demand.read(now):.1f}/s asked "
        f"here, part held here {limit_share.fraction:.3f}, "
        f"{bucket.level:.1f} tokens left"
    )
    missing = (1.0 - bucket.level) / max(
        limit_share.rate, account.rate * MIN_RATE_FRACTION
    )
    wait = min(round(missing * MICROS_PER_SECOND), MAX_RETRY_AFTER_US)
    return _refuse(429, Reason.OVER_RATE, detail, wait)


def _refuse(status: int, reason: Reason, detail: str, wait: int | None = None):
    return Refusal(status, reason, Verdict.NOT_RUN, detail, wait)

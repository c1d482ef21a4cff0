"""Whether a caller's request is accepted: route, key, and its account's limit."""

from __future__ import annotations

from almondgap_core.gateway.configuration import Route
from almondgap_core.gateway.events import CallArrived
from almondgap_core.gateway.shares import count_others, refill
from almondgap_core.gateway.state import Call, GatewayState
from almondgap_core.units import MICROS_PER_SECOND, millis
from almondgap_core.verdict import Reason, Refusal, Verdict

#: When a caller may come back to a host that has no configuration yet.
NOT_READY_US = millis(300)

#: Greatest time that a caller over its rate is told to wait.
MOST_WAIT_US = 5 * MICROS_PER_SECOND


def check_call(state: GatewayState, event: CallArrived) -> Call | Refusal:
    """Return a request that route and key allow, or why it is refused."""
    cfg = state.configuration
    if cfg is None:
        return _refuse(503, Reason.NOT_READY, "no configuration yet", NOT_READY_US)
    route = cfg.find_route(event.host, event.path)
    if route is None:
        return _refuse(404, Reason.NO_ROUTE, "no route for this host and path")
    account = cfg.find_account(event.key) if event.key else None
    if not route.public and cfg.accounts and account is None:
        reason = Reason.KEY_UNKNOWN if event.key else Reason.KEY_MISSING
        return _refuse(401, reason, "the route asks for the key of an account")
    if event.patience <= 0:
        return _refuse(503, Reason.DEADLINE_PASSED, "the caller's time is over")
    return Call(
        number=event.call,
        request_id=event.request_id,
        arrived=event.now,
        expires=event.now + min(route.timeout, event.patience),
        deadline=event.now + event.patience,
        route=route,
        account=account,
        service=choose_service(state, route),
        thing=event.thing,
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


def take_token(state: GatewayState, call: Call, now: int) -> Refusal | None:
    """Take a token of a request's account; return why it is refused without one."""
    account = call.account
    if account is None or account.rate <= 0:
        return None
    allotment = refill(state, account, now)
    if allotment.take():
        return None
    others = count_others(state)
    wait = min(allotment.compute_wait(account.rate, others), MOST_WAIT_US)
    detail = (
        f"account asks {allotment.asked.read(now):.1f}/s here "
        f"(told {allotment.told:.1f}/s) and "
        f"{allotment.elsewhere:.1f}/s elsewhere of {account.rate:g}/s; "
        f"share {allotment.find_share(account.rate, others):.3f}"
    )
    return _refuse(429, Reason.OVER_RATE, detail, wait)


def _refuse(status: int, reason: Reason, detail: str, wait: int | None = None):
    return Refusal(status, reason, Verdict.NOT_RUN, detail, wait)

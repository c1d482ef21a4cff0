"""Rate limits that targets advertise in their answers, shared by all hosts.

Handles overloaded targets that accept less than the hosts would send, down to fewer
requests per second than there are hosts. A few hosts in the target's region, found by
rendezvous hashing, share the limit in equal parts; the others send nothing. A host that
falls silent keeps its part for a while, since it may be partitioned and still sending.
Hosts exchange what targets advertised together with its age, so that the newest answer
counts everywhere. If no host has had an answer of a target for some time, one host
after another sends it a single request.
"""

from __future__ import annotations

from math import inf, isinf

from almondgap_core.gateway.effects import SendAdvertisedLimits
from almondgap_core.gateway.events import (
    AdvertisedLimitsReceived,
    GatewayEvent,
    Ticked,
)
from almondgap_core.gateway.heartbeats import AdvertisedLimit, AdvertisedLimits
from almondgap_core.gateway.ranking import sort_hosts
from almondgap_core.gateway.reports import TargetLimitChanged
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.target import Target, TargetLimit
from almondgap_core.units import MICROS_PER_SECOND, millis, seconds

#: Minimum useful share of a limit, in requests per second.
MIN_SHARE_RATE = 1.0

#: Time for which unused tokens accumulate; a host that has a share may hold one token.
BURST_US = seconds(1)

#: Time after an answer with a limit in which an answer without one does not end
#: it: answers may arrive in another order than they were given.
ABSENCE_GRACE_US = seconds(1)

#: Time without any answer of a limited target after which the first host sends it a
#: request without a token, and the delay of each further host.
STALE_US = seconds(5)
TURN_US = seconds(1)

#: Time for which a host sends peers what an answer advertised: longer than the interval
#: of its messages to any of them.
NEWS_TTL_US = seconds(10)

#: Maximum number of limits in a message.
MAX_LIMITS_PER_MESSAGE = 100

#: Relative change of a limit that is reported and sent to peers at once.
MIN_CHANGE = 0.25

#: Bounds of the retry delay of callers that find no room within the limits.
MIN_RETURN_US = millis(100)
MAX_RETURN_US = seconds(5)


def record_rate_limit(
    state: GatewayState, target: Target, rate: float, now: int
) -> None:
    """Record the limit that a target advertised in an answer to this host.

    :param rate: requests per second, infinity for no limit.
    """
    limit = target.limit
    if isinf(rate) and (
        not limit.in_force or now - limit.observed_at < ABSENCE_GRACE_US
    ):
        return
    if _set_limit(state, target, rate, now, now, state.location.host):
        state.limits_changed = True


def handle_advertised_limits(
    state: GatewayState, event: AdvertisedLimitsReceived
) -> None:
    """Take over limits of which another host has a newer answer."""
    for advertised in event.advertised.limits:
        target = state.targets.get(advertised.target)
        if target is None or target.announcement.incarnation != advertised.incarnation:
            continue
        limit = target.limit
        if isinf(advertised.rate) and not limit.in_force:
            continue
        observed_at = event.now - advertised.age
        if observed_at > limit.observed_at:
            source = event.advertised.host
            _set_limit(state, target, advertised.rate, observed_at, event.now, source)


def handle_tick(state: GatewayState, event: Ticked) -> None:
    """Send limits that changed in answers to this host to the hosts of the region."""
    if not state.limits_changed:
        return
    state.limits_changed = False
    addresses = tuple(
        peer.location.peer_address
        for peer in state.peers.values()
        if peer.location.region == state.location.region and not peer.departed
    )
    send_limits(state, addresses, event.now)


def send_limits(state: GatewayState, addresses: tuple[str, ...], now: int) -> None:
    """Send other hosts what targets advertised in recent answers to this one."""
    news = [
        target
        for target in state.targets.values()
        if target.limit.observed_here and now - target.limit.observed_at < NEWS_TTL_US
    ]
    _send(state, news, addresses, now)


def send_all_limits(state: GatewayState, addresses: tuple[str, ...], now: int) -> None:
    """Send all limits in force to hosts that have just started."""
    known = [target for target in state.targets.values() if target.limit.in_force]
    _send(state, known, addresses, now)


def _send(
    state: GatewayState, targets: list[Target], addresses: tuple[str, ...], now: int
) -> None:
    if not targets or not addresses:
        return
    targets.sort(key=lambda target: -target.limit.observed_at)
    limits = tuple(
        AdvertisedLimit(
            target.name,
            target.announcement.incarnation,
            target.limit.rate,
            now - target.limit.observed_at,
        )
        for target in targets[:MAX_LIMITS_PER_MESSAGE]
    )
    message = AdvertisedLimits(state.location.host, limits)
    state.perform(SendAdvertisedLimits(message, addresses))


def has_limit_token(state: GatewayState, target: Target, now: int) -> bool:
    """Return whether a target's limit lets this host send it a request now."""
    limit = target.limit
    if not limit.in_force:
        return True
    _refill(state, target, now)
    return limit.tokens >= 1.0 or _may_try(state, target, now)


def take_limit_token(state: GatewayState, target: Target, now: int) -> None:
    """Count a request that this host sends to a target against its limit."""
    limit = target.limit
    if not limit.in_force:
        return
    _refill(state, target, now)
    if limit.tokens >= 1.0:
        limit.tokens -= 1.0
    else:
        limit.tried_at = now


def plan_return(
    state: GatewayState, service: str, limited: list[Target], now: int
) -> int:
    """Return the delay after which a caller finds room within the targets' limits.

    Callers refused by all hosts together return at the rate that the targets take.

    :param limited: targets that could serve the caller but for their limits.
    """
    hosts = 1 + sum(not peer.departed for peer in state.peers.values())
    rate = sum(min(target.limit.rate, MICROS_PER_SECOND) for target in limited)
    interval = round(hosts / rate * MICROS_PER_SECOND) if rate else MAX_RETURN_US
    interval = min(interval, MAX_RETURN_US)
    due = max(now + MIN_RETURN_US, state.next_returns.get(service, 0))
    state.next_returns[service] = min(due + interval, now + MAX_RETURN_US)
    return due - now + state.draw_random(max(1, interval))


def _set_limit(
    state: GatewayState,
    target: Target,
    rate: float,
    observed_at: int,
    now: int,
    source: str,
) -> bool:
    """Set a target's limit and return whether it changed by much."""
    limit = target.limit
    previous = limit.rate
    if limit.in_force:
        _refill(state, target, now)
    elif rate != inf:
        target.limit = limit = TargetLimit(refilled_at=now)
    limit.rate = rate
    limit.observed_at = observed_at
    limit.observed_here = source == state.location.host
    if rate == previous or abs(rate - previous) < MIN_CHANGE * previous < inf:
        return False
    state.report(
        TargetLimitChanged(
            target.name,
            target.announcement.service,
            None if isinf(rate) else rate,
            None if isinf(previous) else previous,
            source,
        )
    )
    return True


def _refill(state: GatewayState, target: Target, now: int) -> None:
    limit = target.limit
    share = _compute_share(state, target)
    elapsed = max(0, now - limit.refilled_at) / MICROS_PER_SECOND
    limit.refilled_at = now
    capacity = max(1.0, share * BURST_US / MICROS_PER_SECOND) if share > 0 else 0.0
    limit.tokens = min(limit.tokens + elapsed * share, capacity)


def _compute_share(state: GatewayState, target: Target) -> float:
    """Return this host's share of a target's limit, in requests per second."""
    if not state.hosts_listed:
        return 0.0
    position, nearby = _find_position(state, target)
    holders = min(max(1, int(target.limit.rate / MIN_SHARE_RATE)), nearby)
    return target.limit.rate / holders if position < holders else 0.0


def _may_try(state: GatewayState, target: Target, now: int) -> bool:
    """Return whether it is this host's turn to ask a target of which none has heard."""
    if target.in_flight:
        return False
    position, _ = _find_position(state, target)
    quiet = now - max(target.limit.observed_at, target.limit.tried_at)
    return quiet >= STALE_US + position * TURN_US


def _find_position(state: GatewayState, target: Target) -> tuple[int, int]:
    """Return this host's position in the order of hosts in charge of a target.

    :return: position from 0, and number of hosts in the target's region, at least 1.
    """
    cached = state.limit_orders.get(target.name)
    if cached is not None and cached[0] == state.membership_epoch:
        return cached[1:]
    region = state.find_region(target.announcement.failure_domain)
    locations = [peer.location for peer in state.peers.values() if not peer.departed]
    hosts = sort_hosts([*locations, state.location], target.name, region)
    position = hosts.index(state.location)
    nearby = sum(location.region == region for location in hosts) or len(hosts)
    if len(state.limit_orders) > len(state.targets):
        state.limit_orders.clear()
    state.limit_orders[target.name] = (state.membership_epoch, position, nearby)
    return position, nearby


EVENT_HANDLERS: dict[type[GatewayEvent], object] = {
    AdvertisedLimitsReceived: handle_advertised_limits,
    Ticked: handle_tick,
}

"""Token grants: the side that answers token requests from its pool.

A host grants tokens of the shares that it owns or borrowed. A reference bucket per
limit, which counts all requests, tells those that are within the rate and should wait
for a token from those that one central bucket would refuse.
"""

from __future__ import annotations

from attrs import evolve, frozen

from almondgap_core.effects import SendMessage
from almondgap_core.limits.bucket import Bucket
from almondgap_core.limits.catalogue import (
    Limit,
    find_limit,
    list_limits,
)
from almondgap_core.limits.leases import RESERVATION_TTL_US, find_lendable
from almondgap_core.limits.messages import TokenGrant, TokenRequest, TokenUsed
from almondgap_core.limits.partitions import find_partition
from almondgap_core.limits.pool import OWN_SOURCE, Pool, Reservation, Source
from almondgap_core.limits.versions import find_share
from almondgap_core.state import HostState
from almondgap_core.units import TOKEN, millis

#: Spare tokens are granted only while more than 1/2 of the burst is available.
MIN_LEVEL_DIVISOR = 2

#: Spare tokens are limited to 1/8 of the burst, less the tokens already reserved.
SPARE_BURST_DIVISOR = 8


#: Largest reordering of token requests from different hosts that is allowed for.
MAX_REORDER_US = millis(60)


@frozen
class Decision:
    """Decision on a token request.

    :ivar tokens: tokens granted.
    :ivar wait: microseconds until a token is expected, None if none is.
    :ivar within_rate: whether one central bucket would have admitted the request.
    """

    tokens: int
    wait: int | None
    within_rate: bool


def open_pool(state: HostState, name: str, now: int) -> Pool:
    """Return the refilled pool of a limit, with its own share in or out of use."""
    pool = state.limits.pools.get(name)
    if pool is None:
        pool = Pool(now)
        state.limits.pools[name] = pool
    until = _find_own_validity_end(state, name, now)
    known = pool.sources.get(OWN_SOURCE)
    if known is not None and until is not None:
        pool.sources[OWN_SOURCE] = evolve(known, until=until)
    pool.advance(now)
    if until is None or until <= now:
        pool.remove(OWN_SOURCE)
        return pool
    share = find_own_share(state, name, now)
    known = pool.sources.get(OWN_SOURCE)
    if known is None or known.share != share:
        pool.put(OWN_SOURCE, Source(share, until))
    return pool


def list_held_limits(state: HostState, now: int) -> list[str]:
    """Return the limits of which this host holds a share, including lent ones."""
    limits = state.limits
    if limits.indexed is not state.inventory:
        limits.indexed = state.inventory
        limits.names = {}
        limits.shares = {}
        for name in list_limits(state.inventory):
            partition = find_partition(state.inventory, state.failure_domain, name)
            limits.names.setdefault(partition, []).append(name)
    held = [p for p in limits.names if find_lendable(state, p, now) is not None]
    return [name for partition in held for name in limits.names[partition]]


def find_own_share(state: HostState, name: str, now: int) -> Limit:
    """Return the share of a limit that this host may use while it holds the lease."""
    shares = state.limits.shares
    if state.limits.indexed is not state.inventory:
        list_held_limits(state, now)
        shares = state.limits.shares
    if name not in shares:
        shares[name] = find_share(state, name)
    return shares[name]


def decide(
    state: HostState,
    name: str,
    request: TokenRequest,
    key: tuple[str, int] | None,
    now: int,
) -> Decision:
    """Grant tokens from the pool, or return the time to wait.

    :param key: requesting host and number of its token request, under which granted
        tokens are reserved; None for a request of this host.
    """
    pool = open_pool(state, name, now)
    within_rate = _count_in_reference(state, name, request, now)
    tokens = min(max(request.needed, 0), pool.level // TOKEN)
    if not tokens:
        return Decision(0, pool.compute_wait(), within_rate)
    pool.take(tokens)
    spare = _limit_spare(pool, request.spare)
    pool.take(spare)
    if key is not None:
        until = now + RESERVATION_TTL_US
        pool.reserve(key, Reservation(tokens + spare, until))
    return Decision(tokens + spare, 0, within_rate)


def handle_token_request(
    state: HostState, host: str, message: TokenRequest, now: int
) -> None:
    """Answer a token request of another host; ignore a repeated message."""
    if state.inventory is None or find_limit(state.inventory, message.name) is None:
        return
    key = (host, message.number)
    pool = state.limits.pools.get(message.name)
    if pool is not None and key in pool.reservations:
        return
    decision = decide(state, message.name, message, key, now)
    wait = -1 if decision.wait is None else decision.wait
    grant = TokenGrant(message.number, decision.tokens, wait, int(decision.within_rate))
    state.perform(SendMessage(host, grant))


def handle_token_used(
    state: HostState, host: str, message: TokenUsed, now: int
) -> None:
    """End the reservations that the message settles."""
    columns = (message.names, message.numbers, message.returned, message.unasked)
    for name, number, returned, unasked in zip(*columns, strict=False):
        pool = state.limits.pools.get(name)
        if pool is None or (host, number) not in pool.reservations:
            continue
        pool.advance(now)
        pool.settle((host, number), returned)
        if name in state.limits.reference_buckets:
            state.limits.reference_buckets[name].count(now, unasked)


def _find_own_validity_end(state: HostState, name: str, now: int) -> int | None:
    if state.inventory is None:
        return None
    partition = find_partition(state.inventory, state.failure_domain, name)
    if find_lendable(state, partition, now) is None:
        return None
    lent = state.limits.lent.get(name)
    if lent is not None:
        if now < lent.ends:
            return None
        del state.limits.lent[name]
    return state.limits.leases.own[partition].valid_until - RESERVATION_TTL_US


def _count_in_reference(
    state: HostState, name: str, request: TokenRequest, now: int
) -> bool:
    """Count requests in the reference bucket and return whether it admits them.

    Token requests arrive out of order by up to ``MAX_REORDER_US``, so the reference
    bucket has a burst that is larger by as much.
    """
    limit = find_limit(state.inventory, name)
    slack = 1 + -(-limit.rate * MAX_REORDER_US // TOKEN)
    reference = state.limits.reference_buckets.get(name)
    if reference is None or (reference.rate, reference.burst) != (
        limit.rate,
        limit.burst + slack,
    ):
        reference = Bucket.full(limit.rate, limit.burst + slack, now)
        state.limits.reference_buckets[name] = reference
    return bool(request.counted) or reference.take(now, request.needed)


def _limit_spare(pool: Pool, wanted: int) -> int:
    room = pool.burst // SPARE_BURST_DIVISOR - pool.reserved
    return max(0, min(wanted, room, pool.level // TOKEN)) if _is_level_high(pool) else 0


def _is_level_high(pool: Pool) -> bool:
    return pool.compute_wait(1 + pool.burst // MIN_LEVEL_DIVISOR) == 0


MESSAGE_HANDLERS = {TokenRequest: handle_token_request, TokenUsed: handle_token_used}

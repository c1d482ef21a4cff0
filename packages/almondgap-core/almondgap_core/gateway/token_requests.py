"""Requests for tokens from other hosts before a caller's request is refused.

Handles an account whose callers are at other hosts than its tokens: at a host that
holds no share, or at one that gets more than its share of the requests. One round trip
brings tokens; the donor removes them from its bucket before it answers, so a lost
answer loses tokens and never creates any. If no host has any, the next request waits
for a back-off, so that an account at several times its rate costs few messages.
"""

from __future__ import annotations

from almondgap_core.gateway.admission import refill_tokens, take_token
from almondgap_core.gateway.call import Call, PendingTokenRequest
from almondgap_core.gateway.effects import GrantTokens, RequestTokens, StartTokenTimer
from almondgap_core.gateway.events import TokensGranted, TokensRequested, TokensTimedOut
from almondgap_core.gateway.limit_shares import list_donors
from almondgap_core.gateway.state import GatewayState
from almondgap_core.units import millis
from almondgap_core.verdict import Refusal

#: Maximum number of donors asked for the waiting requests of an account.
MAX_DONORS_ASKED = 3

#: Number of tokens to request: one for each waiting request, and those needed at the
#: current rate for some time ahead, so that a steady stream asks less often.
PREFETCH_S = 0.5
MAX_TOKENS_PER_REQUEST = 8.0

#: Time-outs for a donor in the same failure domain, the same region and another region:
#: a round trip, and time for a busy host.
SAME_DOMAIN_TIMEOUT_US = millis(20)
SAME_REGION_TIMEOUT_US = millis(35)
OTHER_REGION_TIMEOUT_US = millis(60)

#: Time for which a donor is skipped that granted less than was requested.
EMPTY_DONOR_BACKOFF_US = millis(250)

#: Time after a round of requests in vain until the next one.
REQUEST_BACKOFF_US = millis(100)


def request_tokens(state: GatewayState, call: Call, refusal: Refusal, now: int) -> bool:
    """Let a request wait for tokens of other hosts.

    :return: whether it waits; otherwise it is to be refused.
    """
    account = call.account
    pending = state.token_requests.get(account.name)
    if pending is not None:
        pending.calls.append((call, refusal))
        return True
    if now < state.token_buckets[account.name].next_request_at:
        return False
    empty = state.token_buckets[account.name].empty_donors
    donors = list_donors(state, account, empty, now)[:MAX_DONORS_ASKED]
    if not donors:
        return False
    pending = PendingTokenRequest([(call, refusal)], donors)
    state.token_requests[account.name] = pending
    _ask_next_donor(state, account.name, pending, now)
    return True


def handle_tokens_requested(state: GatewayState, event: TokensRequested) -> None:
    """Grant another host tokens from the local bucket, as far as it has any."""
    cfg = state.configuration
    account = cfg.accounts.get(event.account) if cfg is not None else None
    granted = 0.0
    if account is not None and account.rate > 0:
        bucket = refill_tokens(state, account, event.now)
        granted = bucket.donate(min(event.tokens, MAX_TOKENS_PER_REQUEST))
    state.perform(
        GrantTokens(event.address, event.account, event.correlation_id, granted)
    )


def receive_tokens(
    state: GatewayState, event: TokensGranted
) -> list[tuple[Call, Refusal | None]]:
    """Add granted tokens and return the requests that no longer wait."""
    bucket = state.token_buckets.get(event.account)
    if bucket is None or not 0.0 <= event.tokens <= MAX_TOKENS_PER_REQUEST:
        return []
    bucket.receive(event.tokens)
    pending = state.token_requests.get(event.account)
    if pending is not None and pending.correlation_id == event.correlation_id:
        if event.tokens < pending.requested:
            bucket.empty_donors[pending.asked_host] = event.now + EMPTY_DONOR_BACKOFF_US
    return _resume(state, event.account, event.correlation_id, event.now)


def handle_timeout(
    state: GatewayState, event: TokensTimedOut
) -> list[tuple[Call, Refusal | None]]:
    """Ask the next donor and return the requests that no longer wait."""
    return _resume(state, event.account, event.correlation_id, event.now)


def _resume(
    state: GatewayState, account: str, correlation_id: int, now: int
) -> list[tuple[Call, Refusal | None]]:
    pending = state.token_requests.get(account)
    if pending is None or pending.correlation_id != correlation_id:
        return []
    resolved: list[tuple[Call, Refusal | None]] = []
    while pending.calls:
        call, _ = pending.calls[0]
        if call.number in state.calls:
            if take_token(state, call, now) is not None:
                break
            resolved.append((call, None))
        pending.calls.pop(0)
    if pending.calls and pending.donors:
        _ask_next_donor(state, account, pending, now)
        return resolved
    del state.token_requests[account]
    if pending.calls:
        state.token_buckets[account].next_request_at = now + REQUEST_BACKOFF_US
        resolved += pending.calls
    return resolved


def _ask_next_donor(
    state: GatewayState, account: str, pending: PendingTokenRequest, now: int
) -> None:
    donor = pending.donors.pop(0).location
    pending.asked_host = donor.host
    state.last_correlation_id += 1
    pending.correlation_id = state.last_correlation_id
    prefetch = state.token_buckets[account].demand.read(now) * PREFETCH_S
    pending.requested = min(
        MAX_TOKENS_PER_REQUEST, float(int(len(pending.calls) + prefetch))
    )
    state.perform(
        RequestTokens(
            donor.peer_address, account, pending.correlation_id, pending.requested
        )
    )
    delay = OTHER_REGION_TIMEOUT_US
    if donor.failure_domain == state.location.failure_domain:
        delay = SAME_DOMAIN_TIMEOUT_US
    elif donor.region == state.location.region:
        delay = SAME_REGION_TIMEOUT_US
    state.perform(StartTokenTimer(account, pending.correlation_id, delay))

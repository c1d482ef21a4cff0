"""Loan borrower: a home requests, renews and returns the shares that owners lend it.

A loan is valid from when its request was sent, so that it ends at the home before the
owner uses the share again. Loans are renewed half-way; with many lenders they are
longer, to send fewer messages.
"""

from __future__ import annotations

from almondgap_core.effects import SendMessage
from almondgap_core.events import Tick
from almondgap_core.limits.catalogue import Limit
from almondgap_core.limits.leases import RESERVATION_TTL_US
from almondgap_core.limits.messages import (
    LoanGrant,
    LoanOffer,
    LoanRecall,
    LoanRequest,
    LoanReturn,
)
from almondgap_core.limits.pool import Source
from almondgap_core.limits.state import Lender
from almondgap_core.limits.token_grants import open_pool
from almondgap_core.state import HostState
from almondgap_core.units import millis, seconds

#: Length of a loan from its request: with few lenders, and with many.
LOAN_DURATION_US = seconds(2)
LONG_LOAN_DURATION_US = seconds(6)

#: With more lenders than this loans are long, to limit the number of messages.
LONG_LOAN_MIN_LENDERS = 40

#: Shortest time between two requests to one lender.
MIN_REQUEST_INTERVAL_US = millis(100)


def handle_tick(state: HostState, event: Tick) -> None:
    """Renew loans half-way, and return shares on a stop or a recall."""
    lenders = state.limits.lenders
    for host, lender in list(lenders.items()):
        if state.stopping and lender.return_at is None:
            _stop_using(state, host, lender, event.now)
        if lender.return_at is not None:
            if event.now >= lender.return_at:
                _give_back(state, host, lender)
                del lenders[host]
        elif event.now >= lender.until + LOAN_DURATION_US:
            del lenders[host]
        elif event.now >= lender.next_request:
            _request_loan(state, host, lender, event.now)


def handle_loan_offer(
    state: HostState, host: str, message: LoanOffer, now: int
) -> None:
    """Request the loan."""
    if state.stopping or state.inventory is None:
        return
    lender = state.limits.lenders.get(host)
    if lender is None:
        lender = Lender(until=now)
        state.limits.lenders[host] = lender
    if (
        lender.return_at is None
        and now >= lender.next_request - _choose_duration(state) // 2
    ):
        _request_loan(state, host, lender, now)


def handle_loan_grant(
    state: HostState, host: str, message: LoanGrant, now: int
) -> None:
    """Use the shares that an owner lent; ignore a repeated or reordered grant."""
    lender = state.limits.lenders.get(host)
    if (
        lender is None
        or lender.return_at is not None
        or message.number <= lender.last_grant
    ):
        return
    sent = lender.pending.pop(message.number, None)
    if sent is None:
        return
    lender.last_grant = message.number
    lender.pending = {n: at for n, at in lender.pending.items() if n > message.number}
    until = sent + message.duration - RESERVATION_TTL_US
    if message.base:
        if message.base == lender.listed:
            _extend(state, host, lender, until, now)
        return
    lender.listed = message.number
    lender.until = until
    _replace(state, host, lender, message, now)


def handle_loan_recall(
    state: HostState, host: str, message: LoanRecall, now: int
) -> None:
    """Stop using an owner's shares and schedule their return."""
    lender = state.limits.lenders.get(host)
    if lender is not None and lender.return_at is None:
        _stop_using(state, host, lender, now)


def _choose_duration(state: HostState) -> int:
    return (
        LONG_LOAN_DURATION_US
        if len(state.limits.lenders) > LONG_LOAN_MIN_LENDERS
        else LOAN_DURATION_US
    )


def _request_loan(state: HostState, host: str, lender: Lender, now: int) -> None:
    duration = _choose_duration(state)
    number = max(lender.number, state.limits.last_loan_request) + 1
    state.limits.last_loan_request = number
    lender.number = number
    lender.pending[number] = now
    lender.next_request = now + duration // 2
    message = LoanRequest(state.incarnation, number, duration, lender.listed)
    state.perform(SendMessage(host, message))


def _extend(state: HostState, host: str, lender: Lender, until: int, now: int) -> None:
    lender.until = until
    for name in lender.names:
        pool = open_pool(state, name, now)
        source = pool.sources.get(host)
        if source is None:
            lender.listed = 0
        elif now < until:
            pool.put(host, Source(source.share, until))


def _replace(state, host: str, lender: Lender, message: LoanGrant, now: int) -> None:
    entries = zip(
        message.names, message.rates, message.bursts, message.tokens, strict=True
    )
    for name in set(lender.names) - set(message.names):
        open_pool(state, name, now).remove(host)
    lender.names = message.names
    for name, rate, burst, tokens in entries:
        pool = open_pool(state, name, now)
        if now < lender.until:
            pool.put(host, Source(Limit(rate, burst), lender.until), tokens)


def _stop_using(state: HostState, host: str, lender: Lender, now: int) -> None:
    """Stop using the shares, and return them once tokens granted from them expired."""
    lender.return_at = now + RESERVATION_TTL_US
    for name in lender.names:
        lender.tokens[name] = open_pool(state, name, now).remove(host)


def _give_back(state: HostState, host: str, lender: Lender) -> None:
    names = tuple(lender.tokens)
    tokens = tuple(lender.tokens.values())
    message = LoanReturn(state.incarnation, lender.number, names, tokens)
    state.perform(SendMessage(host, message))


EVENT_HANDLERS = {Tick: handle_tick}
MESSAGE_HANDLERS = {
    LoanOffer: handle_loan_offer,
    LoanGrant: handle_loan_grant,
    LoanRecall: handle_loan_recall,
}

"""Loan lender: an owner offers, lends and recalls its shares.

An owner stops using a share before it lends it, and uses it again only when the loan
has ended by its own clock with a margin for drift, or when the home returned it.
"""

from __future__ import annotations

from almondgap_core.effects import SendMessage
from almondgap_core.events import Tick
from almondgap_core.limits.catalogue import Limit
from almondgap_core.limits.events import LeaseTaken
from almondgap_core.limits.homes import find_home, suspect_home
from almondgap_core.limits.messages import (
    LoanGrant,
    LoanOffer,
    LoanRecall,
    LoanRequest,
    LoanReturn,
)
from almondgap_core.limits.partitions import find_partition
from almondgap_core.limits.pool import OWN_SOURCE
from almondgap_core.limits.state import Borrower, LentShare
from almondgap_core.limits.token_grants import (
    find_own_share,
    list_held_limits,
    open_pool,
)
from almondgap_core.state import HostState
from almondgap_core.units import TOKEN, millis

OFFER_INTERVAL_US = millis(200)

#: Offers without a request after which the home is suspected not to answer.
MAX_UNANSWERED_OFFERS = 4

#: Loans shorter than this are not granted: they are not worth their messages.
MIN_LOAN_DURATION_US = millis(600)

#: An owner waits beyond the end of a loan for a fixed time plus 1/50 of its length, to
#: allow for clock drift.
LOAN_DRIFT_US = millis(20)
LOAN_DRIFT_DIVISOR = 50


def handle_tick(state: HostState, event: Tick) -> None:
    """Offer shares to their homes and recall those lent to another host."""
    limits = state.limits
    if state.inventory is None or event.now < limits.next_offers:
        return
    limits.next_offers = event.now + OFFER_INTERVAL_US
    wanting = set()
    misplaced = set()
    for name in list_held_limits(state, event.now):
        _classify_share(state, name, event.now, wanting, misplaced)
    for host in sorted(misplaced):
        state.perform(SendMessage(host, LoanRecall(0)))
    for host in sorted(wanting):
        _offer(state, host, event.now)


def handle_lease_taken(state: HostState, event: LeaseTaken) -> None:
    """Open the pools of the partition's limits, so that tokens begin to accrue."""
    state.limits.next_offers = event.now
    state.limits.shares.clear()
    for name in list_held_limits(state, event.now):
        open_pool(state, name, event.now)


def handle_loan_request(
    state: HostState, host: str, message: LoanRequest, now: int
) -> None:
    """Stop using the shares, then lend them; ignore an old request."""
    if state.inventory is None:
        return
    borrower = state.limits.borrowers.setdefault(host, Borrower())
    place = (message.incarnation, message.number)
    if place <= (borrower.incarnation, borrower.number):
        return
    if message.incarnation > borrower.incarnation:
        borrower.grant = 0
    borrower.incarnation, borrower.number = place
    borrower.unanswered = 0
    names = _list_lendable(state, host, now)
    duration = _limit_duration(state, names, message.duration, now)
    if duration < MIN_LOAN_DURATION_US:
        names = []
    tokens = {}
    for name in names:
        moved = _lend(state, host, name, duration, now)
        if moved is not None:
            tokens[name] = moved
    grant = _make_grant(state, borrower, message, tokens, duration)
    state.perform(SendMessage(host, grant))


def handle_loan_return(
    state: HostState, host: str, message: LoanReturn, now: int
) -> None:
    """Use the shares again; requests that the home sent before are void."""
    borrower = state.limits.borrowers.get(host)
    place = (message.incarnation, message.number)
    if borrower is None or place < (borrower.incarnation, borrower.number):
        return
    borrower.incarnation, borrower.number = place
    borrower.grant = 0
    tokens = dict(zip(message.names, message.tokens, strict=False))
    for name, lent in list(state.limits.lent.items()):
        if lent.home == host and now < lent.ends:
            del state.limits.lent[name]
            _take_back(state, name, tokens.get(name, 0), now)


def _classify_share(state: HostState, name: str, now: int, wanting, misplaced) -> None:
    lent = state.limits.lent.get(name)
    home = find_home(state, name, now)
    if lent is not None and now < lent.ends:
        if lent.home != home or state.stopping:
            misplaced.add(lent.home)
        return
    open_pool(state, name, now)
    if home != state.host and not state.stopping:
        wanting.add(home)


def _offer(state: HostState, host: str, now: int) -> None:
    borrower = state.limits.borrowers.setdefault(host, Borrower())
    if borrower.unanswered >= MAX_UNANSWERED_OFFERS:
        borrower.unanswered = 0
        suspect_home(state, host, now)
        return
    borrower.unanswered += 1
    state.perform(SendMessage(host, LoanOffer(borrower.unanswered)))


def _find_own_partition(state: HostState, name: str):
    return find_partition(state.inventory, state.failure_domain, name)


def _list_lendable(state: HostState, host: str, now: int) -> list[str]:
    if state.stopping:
        return []
    names = []
    for name in list_held_limits(state, now):
        lent = state.limits.lent.get(name)
        elsewhere = lent is not None and lent.home != host and now < lent.ends
        if not elsewhere and find_home(state, name, now) == host:
            names.append(name)
    return names


def _limit_duration(state: HostState, names, duration: int, now: int) -> int:
    """Return the longest loan that ends, margin included, before every lease."""
    for name in names:
        lease = state.limits.leases.own[_find_own_partition(state, name)]
        left = lease.valid_until - now - LOAN_DRIFT_US
        duration = min(duration, left * LOAN_DRIFT_DIVISOR // (LOAN_DRIFT_DIVISOR + 1))
    return duration


def _lend(
    state: HostState, host: str, name: str, duration: int, now: int
) -> int | None:
    """Stop using a share and return the nano-tokens to transfer with it.

    Reserved tokens, which other hosts may still spend, are deducted from its burst.

    :return: None if this host cannot use the share itself.
    """
    ends = now + duration + duration // LOAN_DRIFT_DIVISOR + LOAN_DRIFT_US
    lent = state.limits.lent.get(name)
    pool = open_pool(state, name, now)
    if lent is not None and now < lent.ends:
        lent.ends = max(lent.ends, ends)
        lent.share = _hold_back(find_own_share(state, name, now), pool.reserved)
        return 0
    source = pool.sources.get(OWN_SOURCE)
    if source is None:
        return None
    share = _hold_back(source.share, pool.reserved)
    tokens = pool.remove(OWN_SOURCE)
    state.limits.lent[name] = LentShare(host, share, ends)
    return min(tokens, share.burst * TOKEN)


def _hold_back(share: Limit, reserved: int) -> Limit:
    return Limit(share.rate, max(0, share.burst - reserved))


def _make_grant(
    state: HostState, borrower: Borrower, message: LoanRequest, tokens, duration: int
) -> LoanGrant:
    listed = {name: state.limits.lent[name].share for name in tokens}
    same = borrower.listed == listed and not any(tokens.values())
    if same and borrower.grant and message.last_grant == borrower.grant:
        return LoanGrant(message.number, duration, borrower.grant, (), (), (), ())
    borrower.grant = message.number
    borrower.listed = listed
    return LoanGrant(
        message.number,
        duration,
        0,
        tuple(listed),
        tuple(share.rate for share in listed.values()),
        tuple(share.burst for share in listed.values()),
        tuple(tokens.values()),
    )


def _take_back(state: HostState, name: str, tokens: int, now: int) -> None:
    pool = open_pool(state, name, now)
    source = pool.sources.get(OWN_SOURCE)
    if source is not None:
        pool.put(OWN_SOURCE, source, tokens)


EVENT_HANDLERS = {Tick: handle_tick, LeaseTaken: handle_lease_taken}
MESSAGE_HANDLERS = {LoanRequest: handle_loan_request, LoanReturn: handle_loan_return}

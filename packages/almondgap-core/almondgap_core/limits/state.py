"""State of the fleet-wide rate limits on one host: leases, loans and token requests."""

from __future__ import annotations

from attrs import Factory, define, frozen

from almondgap_core.limits.bucket import Bucket
from almondgap_core.limits.catalogue import Limit
from almondgap_core.limits.partitions import Partition
from almondgap_core.limits.pool import Pool
from almondgap_core.limits.rows import LeaseRow, Witness
from almondgap_core.settings.inventory import Inventory


@define
class ObservedRow:
    """A lease row as it was last read from the table service.

    :ivar row: None if there is no row.
    :ivar version: number of writes to the row.
    :ivar seen: local time at which this version was first read, in microseconds.
    """

    row: LeaseRow | None
    version: int
    seen: int


@define
class OwnLease:
    """A partition lease that this host holds, according to the last row read.

    After a write without an answer several rows may be in the store. ``witnesses`` and
    ``hold`` are therefore the strictest combination of all of them.

    :ivar epoch: fencing number of the lease.
    :ivar clean: whether no request admitted by an earlier holder could still run when
        the lease was taken.
    :ivar taken: local time at which this host learned of the lease, in microseconds.
    :ivar witnesses: union of the witnesses of all rows that may be in the store.
    :ivar valid_until: end of validity, in microseconds; 0 until a renewal is confirmed.
    :ivar table_until: end of validity without promises of witnesses, in microseconds;
        0 until a renewal is confirmed.
    :ivar hold: longest extension beyond ``table_until`` that all rows which may be in
        the store allow, in microseconds.
    :ivar promises: end of each witness's promise by host and incarnation, in
        microseconds.
    :ivar reached_by_all: configuration version that every holder had reached, as
        stored in the row.
    :ivar least_version: lowest configuration version at which this host may use the
        shares.
    :ivar releasing_since: time at which lending stopped ahead of a release, in
        microseconds; None while the lease is kept.
    :ivar announced: whether :class:`LeaseTaken` was emitted.
    """

    epoch: int
    clean: bool
    taken: int
    witnesses: frozenset[Witness] = frozenset()
    valid_until: int = 0
    table_until: int = 0
    hold: int = 0
    promises: dict[tuple[str, int], int] = Factory(dict)
    reached_by_all: int = 0
    least_version: int = 0
    releasing_since: int | None = None
    announced: bool = False


@define
class PendingRenewal:
    """The in-flight transaction on the lease table.

    :ivar ticket: identifier that comes back with the result.
    :ivar sent: send time, in microseconds; the validity of the rows counts from it.
    :ivar rows: rows to write.
    :ivar reads: partitions whose rows are read, in the order of the result.
    """

    ticket: str
    sent: int
    rows: dict[Partition, LeaseRow]
    reads: tuple[Partition, ...]


@frozen
class AnnouncedHolder:
    """Holder of a partition according to its latest notice.

    :ivar version: configuration version whose shares the holder uses.
    """

    epoch: int
    host: str
    version: int


@define
class LeasesState:
    """Partition leases: rows last read, leases held, and requests in flight.

    All times are local and in microseconds.

    :ivar observed: rows as last read, by partition.
    :ivar own: leases that this host holds.
    :ivar pending: the in-flight transaction, None if there is none.
    :ivar number: number of the last transaction.
    :ivar promised: end of the promises not to take over a partition that this host
        gave to its holder.
    :ivar in_doubt: partitions that a write without an answer may have taken.
    :ivar promise_requests: send time of each promise request by its number.
    :ivar promise_number: number of the last promise request.
    :ivar sent: send time of the last transaction.
    :ivar release_deadline: time at which a stopping host exits without waiting for its
        releases any longer; None before it starts to release.
    :ivar started: time of the first tick, None before it.
    :ivar last_tick: time of the last tick, None before the first.
    :ivar must_read: whether rows have to be read before the next write.
    :ivar startup_complete: whether this host could have taken partitions by now.
    :ivar last_move: time at which this host last began to hand a partition over.
    :ivar announced_holders: holders of partitions according to their notices.
    :ivar foreign_reads: partitions of other failure domains whose rows are read too.
    :ivar changed: whether this host took or lost a partition since its last notice.
    """

    observed: dict[Partition, ObservedRow] = Factory(dict)
    own: dict[Partition, OwnLease] = Factory(dict)
    pending: PendingRenewal | None = None
    number: int = 0
    promised: dict[Partition, int] = Factory(dict)
    in_doubt: set[Partition] = Factory(set)
    promise_requests: dict[int, int] = Factory(dict)
    promise_number: int = 0
    next_promise_request: int = 0
    sent: int = 0
    next_renewal: int = 0
    release_deadline: int | None = None
    started: int | None = None
    last_tick: int | None = None
    must_read: bool = True
    startup_complete: bool = False
    last_move: int = 0
    announced_holders: dict[Partition, AnnouncedHolder] = Factory(dict)
    foreign_reads: tuple[Partition, ...] = ()
    next_notice: int = 0
    changed: bool = False


@define
class HomesState:
    """Hosts that are eligible as the home of a limit.

    :ivar candidates: names of the eligible hosts, sorted.
    :ivar suspects: time at which each host was last found not to answer, in
        microseconds.
    """

    candidates: tuple[str, ...] = ()
    next_refresh: int = 0
    suspects: dict[str, int] = Factory(dict)


@define
class LentShare:
    """A share owned by this host that is on loan.

    :ivar home: host that borrowed it.
    :ivar ends: local time at which this host may use it again, in microseconds.
    """

    home: str
    share: Limit
    ends: int


@define
class Borrower:
    """A home that this host lends shares to.

    :ivar incarnation: incarnation of the home that sent the last request.
    :ivar number: number of its last request.
    :ivar grant: number of the last grant that listed all shares, 0 if none.
    :ivar listed: shares by limit in that grant.
    :ivar offered: send time of the last offer, in microseconds.
    :ivar unanswered: offers since the last request.
    """

    incarnation: int = 0
    number: int = 0
    grant: int = 0
    listed: dict[str, Limit] = Factory(dict)
    offered: int = 0
    unanswered: int = 0


@define
class Lender:
    """An owner that lends shares to this host.

    :ivar pending: send time of each request without a grant, in microseconds.
    :ivar number: number of the last request.
    :ivar last_grant: number of the last grant that arrived.
    :ivar listed: number of the last grant that listed all shares.
    :ivar names: limits whose shares are on loan.
    :ivar until: end of the loan, in microseconds.
    :ivar next_request: time of the next request, in microseconds.
    :ivar return_at: time at which the shares are returned, in microseconds; None while
        they are in use.
    :ivar tokens: nano-tokens to return with each limit.
    """

    pending: dict[int, int] = Factory(dict)
    number: int = 0
    last_grant: int = 0
    listed: int = 0
    names: tuple[str, ...] = ()
    until: int = 0
    next_request: int = 0
    return_at: int | None = None
    tokens: dict[str, int] = Factory(dict)


@define
class Waiter:
    """A request that waits for a token.

    :ivar name: limit that the token is of.
    :ivar arrived: arrival time, in microseconds.
    :ivar deadline: time at which it is refused at the latest, in microseconds.
    :ivar number: number of its in-flight token request, 0 if none.
    :ivar due: time of the next token request, in microseconds.
    :ivar attempts: token requests that failed or were not answered.
    :ivar counted: whether a home has counted the request in its reference bucket.
    """

    req_id: str
    name: str
    arrived: int
    deadline: int
    number: int = 0
    due: int = 0
    attempts: int = 0
    counted: bool = False


@define
class PendingTokenRequest:
    """A token request without an answer.

    :ivar name: limit that tokens were requested of.
    :ivar host: host it was sent to.
    :ivar sent: send time, in microseconds.
    :ivar req_id: waiting request on whose behalf it was sent.
    :ivar home: whether the host was addressed as the home, not as an owner.
    """

    name: str
    host: str
    sent: int
    req_id: str
    home: bool


@define
class Credit:
    """Unspent tokens that another host granted.

    :ivar number: number of the token request.
    :ivar host: host that granted them.
    :ivar until: expiry, in microseconds.
    :ivar unasked: tokens spent on requests for which no token request was sent.
    """

    number: int
    host: str
    tokens: int
    until: int
    unasked: int = 0


@define
class TokenRequestsState:
    """Requests that wait for tokens, and granted tokens that are not spent yet.

    :ivar number: number of the last token request.
    :ivar waiters: waiting requests by identifier, in order of arrival.
    :ivar pending: token requests without an answer, by number.
    :ivar credits: granted tokens by limit, in order of arrival.
    :ivar demand: recent requests by limit, halved at every decay.
    :ivar next_decay: time of the next decay, in microseconds.
    :ivar used: settled credits that were not reported to their host yet: limit,
        number, tokens left, tokens spent unasked.
    :ivar consecutive_timeouts: timed-out requests to each home since its last answer.
    """

    number: int = 0
    waiters: dict[str, Waiter] = Factory(dict)
    pending: dict[int, PendingTokenRequest] = Factory(dict)
    credits: dict[str, list[Credit]] = Factory(dict)
    demand: dict[str, int] = Factory(dict)
    next_decay: int = 0
    used: dict[str, list[tuple[str, int, int, int]]] = Factory(dict)
    consecutive_timeouts: dict[str, int] = Factory(dict)


@define
class VersionsState:
    """Configuration versions that limit the shares this host may use.

    :ivar inventories: inventories by version, from ``reached_by_all`` on.
    :ivar reached_by_all: version that every holder is known to have reached, 0 if none.
    :ivar in_effect: version such that nothing granted or lent by this host under an
        older one is still in use.
    :ivar in_effect_at: time from which the current version is in effect, in
        microseconds.
    :ivar adopted_at: time at which this host adopted the current version, in
        microseconds.
    """

    inventories: dict[int, Inventory] = Factory(dict)
    reached_by_all: int = 0
    in_effect: int = 0
    in_effect_at: int = 0
    adopted_at: int = 0
    next_check: int = 0


@define
class LimitsState:
    """State of all limits on one host.

    :ivar pools: tokens that this host may grant now, by limit.
    :ivar reference_buckets: buckets that show what one central bucket would admit, by
        limit.
    :ivar lent: shares of this host that are on loan, by limit.
    :ivar borrowers: homes that this host lends to, by host.
    :ivar lenders: owners that this host borrows from, by host.
    :ivar next_offers: time of the next loan offers, in microseconds.
    :ivar last_loan_request: number of the last loan request.
    :ivar indexed: inventory that ``names`` and ``shares`` were computed from.
    :ivar names: limits by the partition of this failure domain that holds them.
    :ivar shares: cached parts of limits that this host may use, by limit.
    """

    leases: LeasesState = Factory(LeasesState)
    versions: VersionsState = Factory(VersionsState)
    homes: HomesState = Factory(HomesState)
    pools: dict[str, Pool] = Factory(dict)
    reference_buckets: dict[str, Bucket] = Factory(dict)
    lent: dict[str, LentShare] = Factory(dict)
    borrowers: dict[str, Borrower] = Factory(dict)
    lenders: dict[str, Lender] = Factory(dict)
    next_offers: int = 0
    last_loan_request: int = 0
    indexed: Inventory | None = None
    names: dict[Partition, list[str]] = Factory(dict)
    shares: dict[str, Limit] = Factory(dict)
    token_requests: TokenRequestsState = Factory(TokenRequestsState)

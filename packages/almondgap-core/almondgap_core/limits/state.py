"""What a host keeps for limits."""

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
    """A lease row as it was last read.

    :ivar row: None if there is no row.
    :ivar version: number of writes to the row.
    :ivar seen: when this version was first seen here, in microseconds.
    """

    row: LeaseRow | None
    version: int
    seen: int


@define
class OwnLease:
    """A partition that is this host's as far as it knows.

    :ivar clean: whether nothing of earlier holders could run when it was taken.
    :ivar taken: when this host learned that it holds it, in microseconds.
    :ivar valid_until: end of validity; 0 until a renewal is confirmed.
    :ivar witnesses: every witness that a row may name which the store may hold.
    :ivar table_until: end of validity by the table alone; 0 like ``valid_until``.
    :ivar hold: least time beyond it that a row which the store may hold grants.
    :ivar promises: end of each witness's promise by host and incarnation.
    :ivar reached_by_all: version that every holder had reached, as the row said.
    :ivar least_version: version from which this host may use the shares.
    :ivar releasing_since: when lending of its shares was stopped, to release it.
    :ivar announced: whether others in this host were told that it is held.
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
    """The transaction that is under way.

    :ivar sent: when it was sent, in microseconds; validity counts from here.
    :ivar rows: rows that it writes.
    :ivar reads: partitions that it reads, in order.
    """

    ticket: str
    sent: int
    rows: dict[Partition, LeaseRow]
    reads: tuple[Partition, ...]


@frozen
class AnnouncedHolder:
    """A holder as its notice says.

    :ivar version: configuration version from which on it uses shares.
    """

    epoch: int
    host: str
    version: int


@define
class LeasesState:
    """Lease rows of this host's failure domain and what this host holds of them.

    :ivar started: time of the first tick, None before it.
    :ivar last_tick: time of the last tick, None before the first.
    :ivar must_read: whether rows have to be read before the next write.
    :ivar startup_complete: whether this host had its first chance to take partitions.
    :ivar promised: until when this host takes no part of the neighbours' partitions.
    :ivar in_doubt: partitions that a write without an answer may have taken.
    :ivar promise_requests: when each ask for promises was sent, in microseconds.
    :ivar sent: when the last transaction was sent, in microseconds.
    :ivar release_deadline: when a stopping host gives up releasing; None before.
    :ivar last_move: when this host last gave a partition to another, in microseconds.
    :ivar changed: whether this host took or lost a partition since its last notice.
    :ivar announced_holders: holders of partitions as their notices say.
    :ivar foreign_reads: partitions of other failure domains whose rows are read too.
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
    """Which hosts may be the home of a limit.

    :ivar candidates: in order of name.
    :ivar suspects: when each host was last found not to answer, in microseconds.
    """

    candidates: tuple[str, ...] = ()
    next_refresh: int = 0
    suspects: dict[str, int] = Factory(dict)


@define
class LentShare:
    """A share that this host owns and another may be using.

    :ivar home: who borrowed it.
    :ivar ends: when it is free again by this host's clock, in microseconds.
    """

    home: str
    share: Limit
    ends: int


@define
class Borrower:
    """A home that this host lends to.

    :ivar incarnation: run of the home that asked last.
    :ivar number: number of its last ask.
    :ivar grant: number of the last grant that listed all shares, 0 if none.
    :ivar listed: what that grant listed.
    :ivar offered: when the last offer was sent, in microseconds.
    :ivar unanswered: offers since the last ask.
    """

    incarnation: int = 0
    number: int = 0
    grant: int = 0
    listed: dict[str, Limit] = Factory(dict)
    offered: int = 0
    unanswered: int = 0


@define
class Lender:
    """An owner that lends to this host.

    :ivar pending: when each ask without a grant was sent, in microseconds.
    :ivar number: number of the last ask.
    :ivar last_grant: number of the last grant that arrived.
    :ivar listed: number of the last grant that listed all shares.
    :ivar names: limits that the owner lent.
    :ivar until: when their use ends, in microseconds.
    :ivar return_at: when the shares go back, None while they are used.
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

    :ivar arrived: when it came, in microseconds.
    :ivar deadline: when it is refused at the latest, in microseconds.
    :ivar number: the ask that is under way for it, 0 if none.
    :ivar due: when to ask again, in microseconds.
    :ivar attempts: asks without an answer.
    :ivar counted: whether a home counted the request before.
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
    """An ask without an answer.

    :ivar host: who was asked.
    :ivar sent: when, in microseconds.
    :ivar home: whether the host was asked as the home, not as an owner.
    """

    name: str
    host: str
    sent: int
    req_id: str
    home: bool


@define
class Credit:
    """Tokens that another host granted for requests to come.

    :ivar unasked: tokens that went to requests which never asked.
    :ivar until: when they can be spent no longer, in microseconds.
    """

    number: int
    host: str
    tokens: int
    until: int
    unasked: int = 0


@define
class TokenRequestsState:
    """Requests of this host that wait for tokens, and tokens that wait for requests.

    :ivar waiters: by request identifier, in order of arrival.
    :ivar credits: by limit, in order of arrival.
    :ivar demand: tokens asked for lately by limit, decaying.
    :ivar used: settled asks that were not yet told to their host.
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
    """Configuration versions that bound what this host uses.

    :ivar inventories: inventories by version, from ``reached_by_all`` on.
    :ivar reached_by_all: version that every holder is known to have reached, 0 if none.
    :ivar in_effect: version from which on nothing of this host is in use.
    :ivar in_effect_at: when the current version is settled, in microseconds.
    :ivar adopted_at: when it came in force here, in microseconds.
    """

    inventories: dict[int, Inventory] = Factory(dict)
    reached_by_all: int = 0
    in_effect: int = 0
    in_effect_at: int = 0
    adopted_at: int = 0
    next_check: int = 0


@define
class LimitsState:
    """Shares of limits at one host.

    :ivar pools: what this host may hand out now, by limit.
    :ivar reference_buckets: what one central bucket would hold, by limit.
    :ivar last_loan_request: number of the last ask for a loan.
    :ivar indexed: inventory that ``names`` and ``shares`` were computed from.
    :ivar names: limits by the partition of this failure domain that holds them.
    :ivar shares: parts of limits that this failure domain owns.
    :ivar lent: shares of this host that another may be using, by limit.
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

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
    :ivar full: version that every holder had reached, as the row said.
    :ivar least_version: version from which this host may use the shares.
    :ivar leaving: when this host stopped lending its shares in order to release it.
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
    full: int = 0
    least_version: int = 0
    leaving: int | None = None
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
    :ivar settled: whether this host had its first chance to take partitions.
    :ivar promised: until when this host takes no part of the neighbours' partitions.
    :ivar doubtful: partitions that a write without an answer may have taken.
    :ivar promise_asks: when each ask for promises was sent, in microseconds.
    :ivar sent: when the last transaction was sent, in microseconds.
    :ivar stop_by: when a stopping host gives up releasing, None before it tries.
    :ivar moved: when this host last gave a partition to another, in microseconds.
    :ivar changed: whether this host took or lost a partition since its last notice.
    :ivar named: holders of partitions as their notices say.
    :ivar foreign: partitions of other failure domains whose rows are read as well.
    """

    watched: dict[Partition, ObservedRow] = Factory(dict)
    own: dict[Partition, OwnLease] = Factory(dict)
    pending: PendingRenewal | None = None
    number: int = 0
    promised: dict[Partition, int] = Factory(dict)
    doubtful: set[Partition] = Factory(set)
    promise_asks: dict[int, int] = Factory(dict)
    promise_number: int = 0
    next_promise_ask: int = 0
    sent: int = 0
    next_renewal: int = 0
    stop_by: int | None = None
    started: int | None = None
    last_tick: int | None = None
    must_read: bool = True
    settled: bool = False
    moved: int = 0
    named: dict[Partition, AnnouncedHolder] = Factory(dict)
    foreign: tuple[Partition, ...] = ()
    next_notice: int = 0
    changed: bool = False


@define
class HomesState:
    """Which hosts may be the home of a limit.

    :ivar candidates: in order of name.
    :ivar suspects: when each host was last found not to answer, in microseconds.
    """

    candidates: tuple[str, ...] = ()
    next_look: int = 0
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

    :ivar asked: when each ask without a grant was sent, in microseconds.
    :ivar number: number of the last ask.
    :ivar got: number of the last grant that arrived.
    :ivar listed: number of the last grant that listed all shares.
    :ivar names: limits that the owner lent.
    :ivar until: when their use ends, in microseconds.
    :ivar closing: when the shares go back, None while they are used.
    """

    asked: dict[int, int] = Factory(dict)
    number: int = 0
    got: int = 0
    listed: int = 0
    names: tuple[str, ...] = ()
    until: int = 0
    next_ask: int = 0
    closing: int | None = None
    tokens: dict[str, int] = Factory(dict)


@define
class Waiter:
    """A request that waits for a token.

    :ivar arrived: when it came, in microseconds.
    :ivar deadline: when it is refused at the latest, in microseconds.
    :ivar number: the ask that is under way for it, 0 if none.
    :ivar due: when to ask again, in microseconds.
    :ivar tries: asks without an answer.
    :ivar again: whether a home counted the request before.
    """

    req_id: str
    name: str
    arrived: int
    deadline: int
    number: int = 0
    due: int = 0
    tries: int = 0
    again: bool = False


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
    asks: dict[int, PendingTokenRequest] = Factory(dict)
    credits: dict[str, list[Credit]] = Factory(dict)
    demand: dict[str, int] = Factory(dict)
    next_decay: int = 0
    used: dict[str, list[tuple[str, int, int, int]]] = Factory(dict)
    misses: dict[str, int] = Factory(dict)


@define
class VersionsState:
    """Configuration versions that bound what this host uses.

    :ivar kept: inventories by version, from the last that all others had reached.
    :ivar full: version that every holder is known to have reached, 0 if none.
    :ivar settled: version from which on nothing of this host is in use.
    :ivar settles: when the current version is settled, in microseconds.
    :ivar since: when it came in force here, in microseconds.
    """

    kept: dict[int, Inventory] = Factory(dict)
    full: int = 0
    settled: int = 0
    settles: int = 0
    since: int = 0
    next_look: int = 0


@define
class LimitsState:
    """Shares of limits at one host.

    :ivar pools: what this host may hand out now, by limit.
    :ivar ideals: what one central bucket would hold, by limit.
    :ivar last_ask: number of the last ask for a loan.
    :ivar indexed: inventory that ``names`` and ``shares`` were computed from.
    :ivar names: limits by the partition of this failure domain that holds them.
    :ivar shares: parts of limits that this failure domain owns.
    :ivar lent: shares of this host that another may be using, by limit.
    """

    leases: LeasesState = Factory(LeasesState)
    versions: VersionsState = Factory(VersionsState)
    homes: HomesState = Factory(HomesState)
    pools: dict[str, Pool] = Factory(dict)
    ideals: dict[str, Bucket] = Factory(dict)
    lent: dict[str, LentShare] = Factory(dict)
    borrowers: dict[str, Borrower] = Factory(dict)
    lenders: dict[str, Lender] = Factory(dict)
    next_offers: int = 0
    last_ask: int = 0
    indexed: Inventory | None = None
    names: dict[Partition, list[str]] = Factory(dict)
    shares: dict[str, Limit] = Factory(dict)
    asking: TokenRequestsState = Factory(TokenRequestsState)

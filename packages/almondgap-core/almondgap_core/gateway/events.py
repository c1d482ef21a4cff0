"""Events that the reducer of a gateway handles; times in microseconds."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from almondgap_core.gateway.configuration import Configuration
from almondgap_core.gateway.heartbeats import AdvertisedLimits, Heartbeat, StoreView
from almondgap_core.gateway.suspects import Suspects
from almondgap_core.gateway.target import Announcement
from almondgap_core.verdict import Reason, Verdict


@frozen
class GatewayEvent:
    """Base class of all events.

    :ivar now: time on the host's monotonic clock.
    """

    now: int


@frozen
class CallArrived(GatewayEvent):
    """A caller's request was read completely.

    :ivar call: number of the request on this host.
    :ivar request_id: id that the caller gave the request.
    :ivar path: path without the query.
    :ivar key: API key of a client account, empty if there is none.
    :ivar affinity_key: key of the object that the request concerns, empty if not given.
    :ivar caller_timeout: how long the caller will wait.
    :ivar content: digest of everything that a target sees of the request and that
        is the same when it is repeated, empty if unknown.
    :ivar prior_attempts: number of targets to which another host sent the request
        before it handed it over, None if it comes from a caller.
    :ivar min_version: version of that host's configuration.
    """

    call: int
    request_id: str
    method: str
    host: str
    path: str
    key: str
    affinity_key: str
    caller_timeout: int
    content: str = ""
    prior_attempts: int | None = None
    min_version: int = 0


@frozen
class CallerLeft(GatewayEvent):
    """The caller of a request closed its connection."""

    call: int


@frozen
class CallExpired(GatewayEvent):
    """The time limit of a request was reached."""

    call: int


@frozen
class TargetAnswered(GatewayEvent):
    """A target's answer to a request was read completely and matches its id.

    :ivar not_executed: whether the target states that it did not run the request.
    :ivar misdirected: whether the address belongs to another target by now.
    :ivar sealed: whether the answer carries the seal that only targets set.
    :ivar load: running and queued requests that the target reported, None if it did
        not.
    :ivar rate_limit: requests per second that the target takes from all hosts together,
        infinity if it advertised no limit, None if unknown.
    :ivar leaving: whether the target says that it leaves.
    :ivar retry_after: time for which the target wants no requests of this host, None if
        it does not say.
    """

    call: int
    attempt: int
    status: int
    not_executed: bool
    misdirected: bool
    sealed: bool
    load: tuple[int, int] | None = None
    rate_limit: float | None = None
    leaving: bool = False
    retry_after: int | None = None


@frozen
class RelayAnswered(GatewayEvent):
    """Another host's answer to a request that was handed over was read completely.

    :ivar sealed: whether the answer carries the seal that only targets set.
    :ivar reason: why that host refused the request, None if it does not say.
    :ivar leaving_target: target that answered there and says that it leaves, else
        empty.
    """

    call: int
    attempt: int
    status: int
    sealed: bool
    reason: Reason | None = None
    leaving_target: str = ""


class Failure(Enum):
    """How an attempt failed."""

    NOT_CONNECTED = "not connected"
    NO_SOCKET = "no socket left"
    CONNECTION_LOST = "broken off"
    MALFORMED = "garbled"


@frozen
class AttemptFailed(GatewayEvent):
    """An attempt ended without a complete answer.

    :ivar verdict: whether the request may have run at the target.
    """

    call: int
    attempt: int
    failure: Failure
    verdict: Verdict


@frozen
class ProbeEnded(GatewayEvent):
    """A health check of a target finished.

    :ivar healthy: whether the target itself answered that it is healthy.
    :ivar warmup_left: remaining time of its warm-up.
    :ivar rate_limit: requests per second that it takes from all hosts together, None if
        it advertised no limit.
    :ivar leaving: whether the target says that it leaves.
    :ivar retry_after: time for which the target wants no requests of this host, None if
        it does not say.
    """

    target: str
    healthy: bool
    warmup_left: int = 0
    rate_limit: float | None = None
    leaving: bool = False
    retry_after: int | None = None


@frozen
class ConnectionChecked(GatewayEvent):
    """A check whether a target accepts connections finished.

    :ivar accepted: whether it accepted the connection or refused it, None if it did
        neither in time.
    :ivar performed: whether this host had a socket left for it.
    """

    target: str
    accepted: bool | None
    performed: bool = True


@frozen
class ConfigurationRead(GatewayEvent):
    """A configuration was read from the store."""

    configuration: Configuration


@frozen
class TargetsRead(GatewayEvent):
    """A snapshot of all targets' announcements was read from the store."""

    announcements: tuple[Announcement, ...]


@frozen
class TargetAnnounced(GatewayEvent):
    """A target changed its announcement."""

    announcement: Announcement


@frozen
class TargetWithdrawn(GatewayEvent):
    """The announcement of a target was removed from the store."""

    target: str


@frozen
class EvacuationsRead(GatewayEvent):
    """The set of evacuated failure domains, whose targets must receive no requests."""

    failure_domains: frozenset[str]


@frozen
class StoreLost(GatewayEvent):
    """The store stopped answering.

    :ivar reason: error that was observed, for the log.
    """

    reason: str


@frozen
class StoreRegained(GatewayEvent):
    """The store answers again."""


@frozen
class StoreRestored(GatewayEvent):
    """The store was restored from a copy, which lacks its latest changes.

    :ivar era: number of the store's era from now on.
    """

    era: int


class StoreTable(Enum):
    """A table of the store that hosts follow; hosts list them in this order."""

    OPERATORS = "operators"
    TARGETS = "targets"


@frozen
class TableRead(GatewayEvent):
    """Rows of a table were read, or the store said that none changed.

    :ivar read_up_to: store version up to which the table is known.
    :ivar newest_row: newest version among the rows read, 0 without rows.
    :ivar asked_at: when the call was sent.
    :ivar era: era of the store to which the versions belong.
    """

    table: StoreTable
    read_up_to: int
    newest_row: int
    asked_at: int
    era: int = 0


@frozen
class StoreViewReceived(GatewayEvent):
    """Another host told what it has read of the store."""

    view: StoreView


@frozen
class AdvertisedLimitsReceived(GatewayEvent):
    """Another host sent rate limits that targets advertised."""

    advertised: AdvertisedLimits


@frozen
class SuspectsReceived(GatewayEvent):
    """Another host told which requests were in progress at targets that crashed."""

    suspects: Suspects


@frozen
class HeartbeatReceived(GatewayEvent):
    """A heartbeat of another host arrived."""

    heartbeat: Heartbeat


@frozen
class TokensRequested(GatewayEvent):
    """Another host requests tokens of a client account.

    :ivar address: peer address to which the answer is sent.
    :ivar correlation_id: id that the answer must repeat.
    """

    address: str
    account: str
    correlation_id: int
    tokens: float


@frozen
class TokensGranted(GatewayEvent):
    """Another host answered a token request; ``tokens`` is 0 if it granted none."""

    account: str
    correlation_id: int
    tokens: float


@frozen
class TokensTimedOut(GatewayEvent):
    """A token request was not answered in time."""

    account: str
    correlation_id: int


@frozen
class StopRequested(GatewayEvent):
    """A planned stop of this host begins.

    :ivar grace: time after which the process ends, whatever is in progress.
    """

    grace: int


@frozen
class Ticked(GatewayEvent):
    """The periodic timer fired."""

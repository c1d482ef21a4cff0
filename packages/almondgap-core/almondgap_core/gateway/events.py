"""Events that the reducer of a gateway handles; times in microseconds."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from almondgap_core.gateway.configuration import Configuration
from almondgap_core.gateway.heartbeats import Heartbeat
from almondgap_core.gateway.target import Announcement
from almondgap_core.verdict import Verdict


@frozen
class GatewayEvent:
    """Base of all events.

    :ivar now: time on the host's steady clock.
    """

    now: int


@frozen
class CallArrived(GatewayEvent):
    """A caller's request was read whole.

    :ivar call: number of the request on this host.
    :ivar request_id: the caller's own name for it.
    :ivar path: path without the query.
    :ivar key: key of a client account, empty without one.
    :ivar thing: the object that the request concerns, empty if not told.
    :ivar patience: how long the caller will wait.
    """

    call: int
    request_id: str
    method: str
    host: str
    path: str
    key: str
    affinity_key: str
    caller_timeout: int


@frozen
class CallerLeft(GatewayEvent):
    """The caller of a request closed its connection."""

    call: int


@frozen
class CallExpired(GatewayEvent):
    """The time of a request is over."""

    call: int


@frozen
class TargetAnswered(GatewayEvent):
    """A whole answer of a target to a request was read and belongs to it.

    :ivar not_executed: whether the target says that it did not run the request.
    :ivar misdirected: whether another target has the address.
    :ivar sealed: whether the answer bears the mark of targets.
    :ivar load: running and waiting requests that the target told, None if it did not.
    """

    call: int
    attempt: int
    status: int
    not_executed: bool
    misdirected: bool
    sealed: bool
    load: tuple[int, int] | None = None


class Failure(Enum):
    """How an attempt failed."""

    NOT_CONNECTED = "not connected"
    CONNECTION_LOST = "broken off"
    MALFORMED = "garbled"


@frozen
class AttemptFailed(GatewayEvent):
    """No whole answer of the target will come."""

    call: int
    attempt: int
    failure: Failure
    verdict: Verdict


@frozen
class ProbeEnded(GatewayEvent):
    """A health check of a target ended.

    :ivar healthy: whether the target itself answered that it is well.
    :ivar cold_left: how much longer it stays cold.
    """

    target: str
    healthy: bool
    warmup_left: int = 0


@frozen
class ConfigurationRead(GatewayEvent):
    """The store holds a configuration."""

    configuration: Configuration


@frozen
class TargetsRead(GatewayEvent):
    """All announcements of targets that the store holds, at one moment."""

    announcements: tuple[Announcement, ...]


@frozen
class TargetAnnounced(GatewayEvent):
    """A target changed what it announces."""

    announcement: Announcement


@frozen
class TargetWithdrawn(GatewayEvent):
    """The store no longer holds an announcement of a target."""

    target: str


@frozen
class EvacuationsRead(GatewayEvent):
    """The failure domains whose targets are to get nothing."""

    failure_domains: frozenset[str]


@frozen
class StoreLost(GatewayEvent):
    """The store stopped answering.

    :ivar reason: what was seen, for the log.
    """

    reason: str


@frozen
class StoreRegained(GatewayEvent):
    """The store answers again."""


@frozen
class HeartbeatReceived(GatewayEvent):
    """Another host told how it fares."""

    heartbeat: Heartbeat


@frozen
class TokensRequested(GatewayEvent):
    """Another host asks for tokens of a client account.

    :ivar address: where it hears the answer.
    """

    address: str
    account: str
    correlation_id: int
    tokens: float


@frozen
class TokensGranted(GatewayEvent):
    """Another host answered a question for tokens; 0 if it gave none."""

    account: str
    correlation_id: int
    tokens: float


@frozen
class TokensTimedOut(GatewayEvent):
    """No answer to a question for tokens came in time."""

    account: str
    correlation_id: int


@frozen
class StopRequested(GatewayEvent):
    """A planned stop of this host begins."""


@frozen
class Ticked(GatewayEvent):
    """Some time passed."""

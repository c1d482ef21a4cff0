"""Effects that the reducer of a gateway returns, as data for the event loop."""

from __future__ import annotations

from attrs import frozen

from almondgap_core.gateway.events import StoreTable
from almondgap_core.gateway.heartbeats import AdvertisedLimits, Heartbeat, StoreView
from almondgap_core.gateway.reports import Report
from almondgap_core.gateway.suspects import SuspectReport, Suspects
from almondgap_core.verdict import Refusal


@frozen
class GatewayEffect:
    """Base class of all effects."""


@frozen
class Send(GatewayEffect):
    """Send a request to a target.

    :ivar attempt: number of the attempt, counted from 1 for each request.
    :ivar time_left: time that the target may take, in microseconds.
    :ivar account: client account of the request, empty if there is none.
    :ivar fresh: whether the connection must be new or recently used.
    :ivar max_idle: maximum number of idle connections to keep to the target.
    """

    call: int
    attempt: int
    target: str
    address: str
    time_left: int
    account: str
    fresh: bool
    max_idle: int


@frozen
class Relay(GatewayEffect):
    """Hand a request over to another host.

    :ivar attempt: number of the attempt, counted from 1 for each request.
    :ivar address: address of that host for callers.
    :ivar time_left: time that it may take, in microseconds.
    :ivar prior_attempts: number of targets to which the request was sent before.
    :ivar version: version of this host's configuration.
    :ivar fresh: whether the connection must be new.
    """

    call: int
    attempt: int
    host: str
    address: str
    time_left: int
    prior_attempts: int
    version: int
    fresh: bool


@frozen
class Deliver(GatewayEffect):
    """Forward the answer that was read from the target to the caller."""

    call: int


@frozen
class Refuse(GatewayEffect):
    """Answer the caller on behalf of this host."""

    call: int
    refusal: Refusal


@frozen
class Cancel(GatewayEffect):
    """Abort an attempt, so that the target stops working on it."""

    call: int
    attempt: int


@frozen
class Abandon(GatewayEffect):
    """Stop waiting for an attempt but let the target finish it."""

    call: int
    attempt: int


@frozen
class StartExpiryTimer(GatewayEffect):
    """Raise ``CallExpired`` after a delay.

    :ivar delay: delay in microseconds.
    """

    call: int
    delay: int


@frozen
class Probe(GatewayEffect):
    """Send a health check to a target."""

    target: str
    address: str
    path: str


@frozen
class CheckConnection(GatewayEffect):
    """Find out whether a target accepts connections, without sending a request."""

    target: str
    address: str


@frozen
class CloseIdleConnections(GatewayEffect):
    """Close the idle connections to a target that receives no more requests."""

    target: str


@frozen
class SendHeartbeat(GatewayEffect):
    """Send a heartbeat to other hosts.

    :ivar addresses: peer addresses of these hosts.
    """

    heartbeat: Heartbeat
    addresses: tuple[str, ...]


@frozen
class SendStoreView(GatewayEffect):
    """Tell other hosts what this one has read of the store.

    :ivar addresses: peer addresses of these hosts.
    """

    view: StoreView
    addresses: tuple[str, ...]


@frozen
class SendAdvertisedLimits(GatewayEffect):
    """Send other hosts the rate limits that targets advertised.

    :ivar addresses: peer addresses of these hosts.
    """

    message: AdvertisedLimits
    addresses: tuple[str, ...]


@frozen
class SendSuspects(GatewayEffect):
    """Tell other hosts which requests were in progress at targets that crashed.

    :ivar addresses: peer addresses of these hosts.
    """

    message: Suspects
    addresses: tuple[str, ...]


@frozen
class SaveSuspect(GatewayEffect):
    """Write what is known about a request to the store, or remove it if cleared."""

    report: SuspectReport


@frozen
class ReadSuspects(GatewayEffect):
    """Read from the store what hosts know about requests."""


@frozen
class ReadTable(GatewayEffect):
    """Read the changes of a table at once, in place of a call that waits for them."""

    table: StoreTable


@frozen
class RequestTokens(GatewayEffect):
    """Request tokens of a client account from another host.

    :ivar address: peer address of that host.
    :ivar correlation_id: id that the answer must repeat.
    """

    address: str
    account: str
    correlation_id: int
    tokens: float


@frozen
class StartTokenTimer(GatewayEffect):
    """Raise ``TokensTimedOut`` after a delay.

    :ivar delay: delay in microseconds.
    """

    account: str
    correlation_id: int
    delay: int


@frozen
class GrantTokens(GatewayEffect):
    """Answer a token request of another host.

    :ivar address: peer address of that host.
    :ivar tokens: number of tokens granted, 0 for none.
    """

    address: str
    account: str
    correlation_id: int
    tokens: float


@frozen
class Log(GatewayEffect):
    """Write a line to the log."""

    report: Report

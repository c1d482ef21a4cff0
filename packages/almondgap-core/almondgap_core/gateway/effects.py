"""Effects that the reducer of a gateway wants done, as data."""

from __future__ import annotations

from attrs import frozen

from almondgap_core.gateway.heartbeats import Heartbeat
from almondgap_core.gateway.reports import Report
from almondgap_core.verdict import Refusal


@frozen
class GatewayEffect:
    """Base of all effects."""


@frozen
class Send(GatewayEffect):
    """Send a request to a target.

    :ivar attempt: number of the attempt at this request, from 1.
    :ivar time_left: how long the target may work, in microseconds.
    :ivar account: client account that the request runs for, empty if none.
    :ivar fresh: whether the connection must be new or used a moment ago.
    :ivar most_idle: most connections to the target that are kept for later.
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
class Deliver(GatewayEffect):
    """Pass the target's answer that was read on to the caller."""

    call: int


@frozen
class Refuse(GatewayEffect):
    """Answer the caller in place of a target."""

    call: int
    refusal: Refusal


@frozen
class Cancel(GatewayEffect):
    """Break an attempt off, so that the target stops working on it."""

    call: int
    attempt: int


@frozen
class Abandon(GatewayEffect):
    """Nobody waits for the answer any more; let the target finish its work."""

    call: int
    attempt: int


@frozen
class StartExpiryTimer(GatewayEffect):
    """Report after some time that a request's time is over.

    :ivar delay: time until then, in microseconds.
    """

    call: int
    delay: int


@frozen
class Probe(GatewayEffect):
    """Ask a target whether it is well."""

    target: str
    address: str
    path: str


@frozen
class CloseIdleConnections(GatewayEffect):
    """Close idle connections to a target that takes no more work."""

    target: str


@frozen
class SendHeartbeat(GatewayEffect):
    """Tell other hosts how this one fares.

    :ivar addresses: where they hear it.
    """

    heartbeat: Heartbeat
    addresses: tuple[str, ...]


@frozen
class RequestTokens(GatewayEffect):
    """Ask another host for tokens of a client account.

    :ivar address: where it hears the question.
    """

    address: str
    account: str
    correlation_id: int
    tokens: float


@frozen
class StartTokenTimer(GatewayEffect):
    """Report after some time that no tokens came.

    :ivar delay: time until then, in microseconds.
    """

    account: str
    correlation_id: int
    delay: int


@frozen
class GrantTokens(GatewayEffect):
    """Answer a host that asked for tokens.

    :ivar address: where it hears the answer.
    :ivar tokens: tokens that are given, 0 for none.
    """

    address: str
    account: str
    correlation_id: int
    tokens: float


@frozen
class Log(GatewayEffect):
    """Write a line to the log."""

    report: Report

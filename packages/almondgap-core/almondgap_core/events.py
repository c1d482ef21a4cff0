"""Events: the reducer's only input, from outside the core and from its own modules.

Every event carries ``now``, the monotonic time of the host in microseconds. Class and
field names are written to event logs, so renaming them makes old logs unreadable.
"""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from almondgap_core.keys.credential import Credential
from almondgap_core.messages import Message
from almondgap_core.operations.record import KeptAnswer
from almondgap_core.platform import TransactionResult


@frozen
class Event:
    """Base of all events.

    :ivar now: monotonic time in microseconds.
    """

    now: int


@frozen
class Tick(Event):
    """A timer fired; handlers do their periodic work and check time-outs."""


@frozen
class RequestArrived(Event):
    """A caller's request was received completely and awaits a decision.

    :ivar req_id: identifier, unique within this host's incarnation.
    :ivar service: name of the requested service.
    :ivar method: HTTP method in upper case.
    :ivar credential: identifier and digest of the API key, None if there was none.
    :ivar deadline: time at which the caller stops waiting, in microseconds.
    :ivar operation: the caller's ``Idempotency-Key``, empty if there was none.
    :ivar digest: digest of method, service, path and body; set for operations.
    """

    req_id: str
    service: str
    method: str
    credential: Credential | None
    deadline: int
    operation: str = ""
    digest: bytes = b""


@frozen
class CallerGone(Event):
    """The caller closed its connection before it had the complete answer."""

    req_id: str


class AttemptOutcome(Enum):
    """How one attempt at a target ended."""

    COMPLETE = "complete"
    NOT_SENT = "not-sent"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


@frozen
class AnswerStarted(Event):
    """The status line and headers of a target's answer arrived."""

    req_id: str
    attempt: int
    status: int


@frozen
class AttemptEnded(Event):
    """An attempt at a target has ended and no longer occupies a slot.

    :ivar answer: the complete answer of an operation, if short enough to be kept.
    """

    req_id: str
    attempt: int
    outcome: AttemptOutcome
    answer: KeptAnswer | None = None


@frozen
class PeerMessage(Event):
    """A message from another host arrived.

    :ivar host: name of the sender, authenticated when its connection was opened.
    """

    host: str
    message: Message


@frozen
class HostEntry:
    """One row of the platform's list of hosts.

    :ivar address: IP address.
    :ivar caller_port: TCP port that accepts callers.
    :ivar peer_port: TCP port that accepts other hosts.
    :ivar leaving: whether the platform is about to stop the host.
    """

    name: str
    failure_domain: str
    address: str
    caller_port: int
    peer_port: int
    leaving: bool = False


@frozen
class HostsListed(Event):
    """The platform's list of hosts was read; it lags behind the real fleet."""

    hosts: tuple[HostEntry, ...]


@frozen
class TransactionEnded(Event):
    """A transaction that a ``Transact`` effect started has ended.

    :ivar ticket: the ticket of that effect.
    """

    ticket: str
    result: TransactionResult


@frozen
class BodyFetched(Event):
    """A configuration body was read from the object store.

    :ivar text: the body, or None if the read failed.
    """

    version: int
    text: str | None


@frozen
class ObjectFetched(Event):
    """An object was read from the object store.

    :ivar body: the object, or None if the read failed.
    """

    name: str
    body: bytes | None


@frozen
class DrainRequested(Event):
    """A planned stop was requested: finish requests in flight, then exit.

    :ivar deadline: latest time to stop, in microseconds; None if there is no limit.
    """

    deadline: int | None = None


@frozen
class RateAsked(Event):
    """Internal: a request needs a rate token of its client account."""

    req_id: str
    account: str
    deadline: int


@frozen
class RateGranted(Event):
    """Internal: the rate token was granted."""

    req_id: str


@frozen
class RateRefused(Event):
    """Internal: the client account exceeds its rate limit.

    :ivar retry_after: time until a token is expected, in microseconds.
    """

    req_id: str
    retry_after: int


@frozen
class SlotAsked(Event):
    """Internal: a request needs a concurrency slot at a target of its service.

    :ivar exclude: targets that this request has already been sent to.
    """

    req_id: str
    service: str
    account: str
    deadline: int
    exclude: tuple[str, ...] = ()


@frozen
class SlotGranted(Event):
    """Internal: the slot was granted and is held until ``SlotReleased``."""

    req_id: str
    target: str


@frozen
class SlotRefused(Event):
    """Internal: no slot became available before the deadline."""

    req_id: str
    detail: str


@frozen
class SlotReleased(Event):
    """Internal: an attempt ended and its slot is free again.

    :ivar outcome: how the attempt ended, or None if it never started.
    :ivar status: HTTP status of the target's answer, 0 if there was none.
    :ivar shed: whether the target shed the request, which proves that it did not run.
    """

    req_id: str
    target: str
    outcome: AttemptOutcome | None
    status: int = 0
    shed: bool = False

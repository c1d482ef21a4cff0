"""Events: everything that the reducer learns from outside, and from itself.

Every event carries ``now``, the monotonic time of the host in microseconds.
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
    """Time passed."""


@frozen
class RequestArrived(Event):
    """A caller's request was read whole and waits for a decision.

    :ivar req_id: identifier, unique within this host's incarnation.
    :ivar service: name of the service that was asked for.
    :ivar method: HTTP method in upper case.
    :ivar credential: the key's identifier and digest, or None without a key.
    :ivar deadline: time after which the caller no longer waits, in microseconds.
    :ivar operation: the caller's ``Idempotency-Key``, empty without one.
    :ivar digest: digest of method, service, path and body, for operations.
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
    """The caller closed its connection before the answer was complete."""

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
    """An attempt at a target is over and holds its slot no longer.

    :ivar answer: the whole answer of an operation, if it is short.
    """

    req_id: str
    attempt: int
    outcome: AttemptOutcome
    answer: KeptAnswer | None = None


@frozen
class PeerMessage(Event):
    """A message from another host arrived.

    :ivar host: name of the sender, as proved when its connection opened.
    """

    host: str
    message: Message


@frozen
class HostEntry:
    """One row of the platform's list of hosts.

    :ivar address: IP number.
    :ivar caller_port: TCP port for callers.
    :ivar peer_port: TCP port for other hosts.
    :ivar leaving: whether the platform plans to stop the host.
    """

    name: str
    failure_domain: str
    address: str
    caller_port: int
    peer_port: int
    leaving: bool = False


@frozen
class HostsListed(Event):
    """The platform's lagging list of hosts was read."""

    hosts: tuple[HostEntry, ...]


@frozen
class TransactionEnded(Event):
    """A transaction that the reducer asked for is over.

    :ivar ticket: the ticket that the effect carried.
    """

    ticket: str
    result: TransactionResult


@frozen
class BodyFetched(Event):
    """A configuration body was read from the object store.

    :ivar text: the body, or None if it could not be had.
    """

    version: int
    text: str | None


@frozen
class ObjectFetched(Event):
    """An object was read from the object store.

    :ivar body: the object, or None if it could not be had.
    """

    name: str
    body: bytes | None


@frozen
class DrainRequested(Event):
    """The host has to stop: take no new work and finish what runs.

    :ivar deadline: when it stops at the latest, in microseconds; None without a bound.
    """

    deadline: int | None = None


@frozen
class RateAsked(Event):
    """Internal: a request needs one token of its client account."""

    req_id: str
    account: str
    deadline: int


@frozen
class RateGranted(Event):
    """Internal: the token was taken."""

    req_id: str


@frozen
class RateRefused(Event):
    """Internal: the client account is over its rate.

    :ivar retry_after: microseconds until a token is expected.
    """

    req_id: str
    retry_after: int


@frozen
class SlotAsked(Event):
    """Internal: a request needs a slot at a target of its service.

    :ivar exclude: targets that already failed this request.
    """

    req_id: str
    service: str
    account: str
    deadline: int
    exclude: tuple[str, ...] = ()


@frozen
class SlotGranted(Event):
    """Internal: the slot is held until it is released."""

    req_id: str
    target: str


@frozen
class SlotRefused(Event):
    """Internal: no slot can be had before the deadline."""

    req_id: str
    detail: str


@frozen
class SlotReleased(Event):
    """Internal: an attempt ended, so its slot is free.

    :ivar outcome: how the attempt ended, or None if it never started.
    :ivar status: status of the target's answer, 0 without one.
    :ivar shed: whether the answer proved that nothing ran.
    """

    req_id: str
    target: str
    outcome: AttemptOutcome | None
    status: int = 0
    shed: bool = False

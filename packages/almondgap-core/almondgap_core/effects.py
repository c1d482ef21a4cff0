"""Effects: everything that the reducer wants done, as data."""

from __future__ import annotations

from attrs import frozen

from almondgap_core.events import HostEntry
from almondgap_core.messages import Message
from almondgap_core.operations.record import KeptAnswer
from almondgap_core.platform import Transaction
from almondgap_core.settings.inventory import Target
from almondgap_core.verdict import Refusal, Verdict


@frozen
class Effect:
    """Base of all effects."""


@frozen
class Dispatch(Effect):
    """Send a request to a target.

    :ivar account: client account that the request runs for, empty if none.
    :ivar attempt: number of the attempt, from 1.
    :ivar deadline: when the attempt has to be given up, in microseconds.
    """

    req_id: str
    account: str
    attempt: int
    target: Target
    deadline: int


@frozen
class Relay(Effect):
    """Pass the target's answer on to the caller."""

    req_id: str
    attempt: int
    verdict: Verdict


@frozen
class CancelAttempt(Effect):
    """Give up an attempt and tell the target by closing its connection."""

    req_id: str
    attempt: int


@frozen
class Refuse(Effect):
    """Answer the caller in place of a target."""

    req_id: str
    refusal: Refusal


@frozen
class Replay(Effect):
    """Answer the caller with the first answer of its operation."""

    req_id: str
    answer: KeptAnswer


@frozen
class CutAnswer(Effect):
    """Break off an answer that has begun, so that it cannot look whole."""

    req_id: str


@frozen
class SendMessage(Effect):
    """Send a message to another host; it may be lost."""

    host: str
    message: Message


@frozen
class WakeAt(Effect):
    """Send a tick at a time.

    :ivar at: monotonic time in microseconds.
    """

    at: int


@frozen
class Transact(Effect):
    """Ask the table service; the answer comes as ``TransactionEnded``.

    :ivar ticket: name that the answer carries; its first word names the asker.
    """

    ticket: str
    transaction: Transaction


@frozen
class FetchBody(Effect):
    """Read a configuration body; the answer comes as ``BodyFetched``."""

    version: int
    body: str


@frozen
class FetchObject(Effect):
    """Read an object; the answer comes as ``ObjectFetched``."""

    name: str


@frozen
class LearnHosts(Effect):
    """Note where other hosts listen, as a neighbour says."""

    hosts: tuple[HostEntry, ...]


@frozen
class Finished(Effect):
    """A request is over; for metrics and histograms.

    :ivar status: status that the caller got, 0 if the caller left.
    :ivar elapsed: time since the request arrived, in microseconds.
    """

    req_id: str
    account: str
    service: str
    status: int
    verdict: Verdict
    elapsed: int


@frozen
class LogEntry(Effect):
    """Write one line to the log.

    :ivar fields: names and values besides the event's name.
    """

    event: str
    fields: tuple[tuple[str, str | int], ...] = ()


@frozen
class Stopped(Effect):
    """The host has nothing left to do and may exit."""

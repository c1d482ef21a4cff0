"""Effects: the reducer's only output, carried out by the process around it.

Effects are compared by value in tests and replays.
"""

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
    """Send one attempt of a request to a target.

    :ivar account: client account of the request, empty if none.
    :ivar attempt: number of the attempt, starting at 1.
    :ivar deadline: time at which the attempt times out, in microseconds.
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
    """Abort an attempt; closing the connection signals it to the target."""

    req_id: str
    attempt: int


@frozen
class Refuse(Effect):
    """Refuse a request with an answer of this host's own."""

    req_id: str
    refusal: Refusal


@frozen
class Replay(Effect):
    """Send the caller the recorded first answer of its operation."""

    req_id: str
    answer: KeptAnswer


@frozen
class CutAnswer(Effect):
    """Abort an answer that is being relayed.

    The caller's connection is closed so that the truncated answer is not mistaken for a
    complete one.
    """

    req_id: str


@frozen
class SendMessage(Effect):
    """Send a message to another host; delivery is not guaranteed."""

    host: str
    message: Message


@frozen
class WakeAt(Effect):
    """Schedule a ``Tick``.

    :ivar at: monotonic time of the tick, in microseconds.
    """

    at: int


@frozen
class Transact(Effect):
    """Run a transaction at the table service; it ends with ``TransactionEnded``.

    :ivar ticket: identifier that the result carries; its prefix names the module that
        started the transaction.
    """

    ticket: str
    transaction: Transaction


@frozen
class FetchBody(Effect):
    """Read a configuration body from the object store; ends with ``BodyFetched``."""

    version: int
    body: str


@frozen
class FetchObject(Effect):
    """Read an object from the object store; ends with ``ObjectFetched``."""

    name: str


@frozen
class LearnHosts(Effect):
    """Update the addresses of other hosts with a list received from a peer."""

    hosts: tuple[HostEntry, ...]


@frozen
class Finished(Effect):
    """Record a finished request in metrics and histograms.

    :ivar status: HTTP status sent to the caller, 0 if the caller disconnected.
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

    :ivar event: message of the line.
    :ivar fields: further names and values of the line.
    """

    event: str
    fields: tuple[tuple[str, str | int], ...] = ()


@frozen
class Stopped(Effect):
    """The planned stop is complete; the process may exit."""

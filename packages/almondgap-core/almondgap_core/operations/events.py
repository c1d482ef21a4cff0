"""Internal events of operations."""

from __future__ import annotations

from attrs import frozen

from almondgap_core.events import Event
from almondgap_core.operations.record import KeptAnswer
from almondgap_core.verdict import Refusal, Verdict


@frozen
class OperationAsked(Event):
    """A request with an operation key asks whether it may run.

    :ivar key: the caller's ``Idempotency-Key``.
    :ivar digest: digest of method, service, path and body.
    """

    req_id: str
    key: str
    account: str
    digest: bytes
    deadline: int


@frozen
class OperationGranted(Event):
    """The request has the operation's one permit."""

    req_id: str


@frozen
class OperationRefused(Event):
    """The request may not run."""

    req_id: str
    refusal: Refusal


@frozen
class OperationAnswered(Event):
    """The operation ran before; this is its first answer."""

    req_id: str
    answer: KeptAnswer


@frozen
class OperationEnded(Event):
    """A request with an operation key is over.

    :ivar status: status that its caller got.
    :ivar answer: the answer, if it came whole and is short.
    """

    req_id: str
    status: int
    verdict: Verdict
    answer: KeptAnswer | None

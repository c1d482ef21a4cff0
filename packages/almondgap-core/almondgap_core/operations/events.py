"""Internal events between requests and operations."""

from __future__ import annotations

from attrs import frozen

from almondgap_core.events import Event
from almondgap_core.operations.record import KeptAnswer
from almondgap_core.verdict import Refusal, Verdict


@frozen
class OperationAsked(Event):
    """A request with an operation key needs a permit.

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
    """The request was granted the operation's permit."""

    req_id: str


@frozen
class OperationRefused(Event):
    """The request must not run; the caller gets a refusal."""

    req_id: str
    refusal: Refusal


@frozen
class OperationAnswered(Event):
    """The operation has already run; the caller gets its first answer."""

    req_id: str
    answer: KeptAnswer


@frozen
class OperationEnded(Event):
    """A request with an operation key has ended.

    :ivar status: HTTP status sent to its caller, 0 if the caller disconnected.
    :ivar answer: the answer, if it is complete and short enough to be stored.
    """

    req_id: str
    status: int
    verdict: Verdict
    answer: KeptAnswer | None

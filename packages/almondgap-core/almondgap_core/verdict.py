"""The verdict type: whether a request may have run at a target."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

#: Header that carries the verdict on every answer to a caller.
VERDICT_HEADER = "Almondgap-Verdict"


class Verdict(Enum):
    """Whether a request may have run."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class Reason(Enum):
    """Why a request was refused, in the words of the JSON body."""

    UNKNOWN_SERVICE = "unknown-service"
    NO_ROUTE = "no-route"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    KEY_MISSING = "key-missing"
    KEY_UNKNOWN = "key-unknown"
    ACCOUNT_NOT_ALLOWED = "account-not-allowed"
    KEYS_STALE = "keys-stale"
    OVER_RATE = "over-rate"
    NO_TARGET = "no-target"
    NO_CAPACITY = "no-capacity"
    DEADLINE_PASSED = "deadline-passed"
    NOT_READY = "not-ready"
    STOPPING = "stopping"
    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    TARGET_FAILED = "target-failed"
    OPERATION_ELSEWHERE = "operation-elsewhere"
    OPERATION_UNKNOWN = "operation-unknown"
    OPERATION_EXPIRED = "operation-expired"
    OPERATION_MISMATCH = "operation-mismatch"
    OPERATION_LOST = "operation-lost"
    INTERNAL = "internal"


@frozen
class Refusal:
    """An answer that the system gives in place of a target's.

    :ivar status: HTTP status code.
    :ivar reason: why the request was refused.
    :ivar verdict: whether the request may have run.
    :ivar detail: one sentence for a person.
    :ivar retry_after: wait before another attempt, in microseconds, or None.
    """

    status: int
    reason: Reason
    verdict: Verdict
    detail: str
    retry_after: int | None = None

"""Verdicts and refusals: whether a request may have been executed by a target.

Every answer to a caller carries a verdict. A caller may safely repeat a request whose
verdict is ``not-run``.
"""

from __future__ import annotations

from enum import Enum

from attrs import frozen

#: Header with the verdict, set on every answer to a caller.
VERDICT_HEADER = "Almondgap-Verdict"


class Verdict(Enum):
    """Whether a target executed the request."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class Reason(Enum):
    """Why a request was refused; the values appear in the JSON body."""

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
    QUARANTINED = "quarantined"
    TARGET_FAILED = "target-failed"
    OPERATION_ELSEWHERE = "operation-elsewhere"
    OPERATION_UNKNOWN = "operation-unknown"
    OPERATION_EXPIRED = "operation-expired"
    OPERATION_MISMATCH = "operation-mismatch"
    OPERATION_LOST = "operation-lost"
    INTERNAL = "internal"


@frozen
class Refusal:
    """A refusal that a host sends in place of a target's answer.

    :ivar status: HTTP status code.
    :ivar reason: why the request was refused.
    :ivar verdict: whether the request may have run.
    :ivar detail: explanation for humans, one sentence.
    :ivar retry_after: time to wait before retrying, in microseconds, or None.
    """

    status: int
    reason: Reason
    verdict: Verdict
    detail: str
    retry_after: int | None = None

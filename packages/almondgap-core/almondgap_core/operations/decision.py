"""Decisions of a holder about a request for a permit, and the resulting refusals."""

from __future__ import annotations

from enum import Enum

from almondgap_core.units import MICROS_PER_SECOND
from almondgap_core.verdict import Reason, Refusal, Verdict


class Decision(Enum):
    """Decision of a holder about a request with an operation key.

    ``LOST`` means that the book is gone together with its host, ``ELSEWHERE`` that
    another host has the book, and ``MOVING`` that it is on its way between hosts.
    """

    GRANTED = "granted"
    RUNNING = "running"
    ANSWERED = "answered"
    MAY_HAVE_RUN = "may-have-run"
    MISMATCH = "mismatch"
    LOST = "lost"
    EXPIRED = "expired"
    EXPIRED_UNUSED = "expired-unused"
    NOT_ISSUED = "not-minted"
    EXHAUSTED = "exhausted"
    FULL = "full"
    MOVING = "moving"
    ELSEWHERE = "elsewhere"


#: Decisions that are not final: the requester polls until another one is made.
RETRY_DECISIONS = frozenset({Decision.RUNNING, Decision.MOVING, Decision.ELSEWHERE})

_NOT_RUN = Verdict.NOT_RUN
_MAY_HAVE_RUN = Verdict.MAY_HAVE_RUN

_REFUSALS = {
    Decision.MAY_HAVE_RUN: Refusal(
        409,
        Reason.OPERATION_UNKNOWN,
        _MAY_HAVE_RUN,
        "The operation was sent to a target and its outcome is not known.",
    ),
    Decision.MISMATCH: Refusal(
        422,
        Reason.OPERATION_MISMATCH,
        _NOT_RUN,
        "The key was used with another request or client account; this one did not "
        "run.",
    ),
    Decision.LOST: Refusal(
        409,
        Reason.OPERATION_LOST,
        _MAY_HAVE_RUN,
        "The host that kept this operation's record is gone; use a new prefix for new "
        "operations.",
    ),
    Decision.EXPIRED: Refusal(
        409,
        Reason.OPERATION_EXPIRED,
        _MAY_HAVE_RUN,
        "The key is older than records are kept.",
    ),
    Decision.EXPIRED_UNUSED: Refusal(
        409,
        Reason.OPERATION_EXPIRED,
        _NOT_RUN,
        "The key is too old to be used, and was never used.",
    ),
    Decision.NOT_ISSUED: Refusal(
        422,
        Reason.OPERATION_UNKNOWN,
        _NOT_RUN,
        "No look-up has handed out this prefix.",
    ),
    Decision.EXHAUSTED: Refusal(
        409,
        Reason.OPERATION_UNKNOWN,
        _NOT_RUN,
        "The operation failed before any target too often; use a new key.",
    ),
    Decision.FULL: Refusal(
        503,
        Reason.NO_CAPACITY,
        _NOT_RUN,
        "The holder keeps as many records as it can.",
        MICROS_PER_SECOND,
    ),
}


def make_refusal(decision: Decision) -> Refusal:
    """Return the refusal for a final decision.

    :raises KeyError: the decision does not result in a refusal.
    """
    return _REFUSALS[decision]


def make_ran_refusal(status: int) -> Refusal:
    """Return the refusal for an operation that ran but whose answer is not stored."""
    detail = f"The operation ran with status {status}; its answer is not kept."
    return Refusal(409, Reason.OPERATION_UNKNOWN, Verdict.RAN, detail)


def make_timeout_refusal() -> Refusal:
    """Return the refusal for a holder that did not answer before the deadline."""
    detail = "The host that keeps this operation's record did not answer in time."
    return Refusal(
        504, Reason.OPERATION_ELSEWHERE, _MAY_HAVE_RUN, detail, MICROS_PER_SECOND
    )


def make_missing_prefix_refusal() -> Refusal:
    """Return the refusal for a key without an issued prefix."""
    detail = (
        "The Idempotency-Key has to start with the operation prefix of a look-up; "
        "keys without one never run."
    )
    return Refusal(428, Reason.OPERATION_UNKNOWN, _NOT_RUN, detail)

"""What a host keeps of a request until it is over."""

from __future__ import annotations

from enum import Enum

from attrs import define

from almondgap_core.operations.record import KeptAnswer
from almondgap_core.verdict import Verdict


class RequestStage(Enum):
    """How far a request has come."""

    OPERATION = "operation"
    RATE = "rate"
    SLOT = "slot"
    RUNNING = "running"
    ANSWERING = "answering"


@define
class RequestRecord:
    """One request that is not over.

    :ivar idempotent: whether running it twice does no harm.
    :ivar arrived: time of arrival, in microseconds.
    :ivar attempt: number of the latest attempt, 0 before the first.
    :ivar target: target of the latest attempt.
    :ivar tried_targets: targets that failed.
    :ivar may_have_run: whether an earlier attempt may have run.
    :ivar status: status of the latest attempt's answer, 0 without one.
    :ivar shed: whether that answer proved that nothing ran.
    :ivar verdict: verdict of the answer that is being relayed.
    :ivar operation: the caller's ``Idempotency-Key``, empty without one.
    :ivar answer: the operation's answer, if it came whole and is short.
    """

    req_id: str
    service: str
    account: str
    idempotent: bool
    arrived: int
    deadline: int
    stage: RequestStage = RequestStage.RATE
    attempt: int = 0
    target: str = ""
    tried_targets: tuple[str, ...] = ()
    may_have_run: bool = False
    status: int = 0
    verdict: Verdict = Verdict.RAN
    operation: str = ""
    answer: KeptAnswer | None = None
    shed: bool = False

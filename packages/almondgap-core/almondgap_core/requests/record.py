"""Record of a request, kept from its arrival until it has ended."""

from __future__ import annotations

from enum import Enum

from attrs import define

from almondgap_core.operations.record import KeptAnswer
from almondgap_core.verdict import Verdict


class RequestStage(Enum):
    """What a request waits for: a permit, a rate token, a slot or its target."""

    OPERATION = "operation"
    RATE = "rate"
    SLOT = "slot"
    RUNNING = "running"
    ANSWERING = "answering"


@define
class RequestRecord:
    """One request in flight.

    :ivar idempotent: whether the request may run more than once without harm.
    :ivar arrived: time of arrival, in microseconds.
    :ivar deadline: time at which the request times out, in microseconds.
    :ivar attempt: number of the latest attempt, 0 before the first.
    :ivar target: target of the latest attempt.
    :ivar tried_targets: targets of attempts that have ended.
    :ivar may_have_run: whether an attempt that failed may have run.
    :ivar status: HTTP status of the latest attempt's answer, 0 if there was none.
    :ivar shed: whether the target shed the request, which proves that it did not run.
    :ivar verdict: verdict of the answer that is being relayed.
    :ivar operation: the caller's ``Idempotency-Key``, empty if there was none.
    :ivar answer: the operation's answer, if complete and short enough to be stored.
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

"""What a host keeps of a request until it is over."""

from __future__ import annotations

from enum import Enum

from attrs import define


class Stage(Enum):
    """How far a request has come."""

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
    :ivar tried: targets that failed.
    :ivar exposed: whether an earlier attempt may have run.
    :ivar status: status of the answer that is being relayed.
    """

    req_id: str
    service: str
    account: str
    idempotent: bool
    arrived: int
    deadline: int
    stage: Stage = Stage.RATE
    attempt: int = 0
    target: str = ""
    tried: tuple[str, ...] = ()
    exposed: bool = False
    status: int = 0

"""What one caller saw of one request."""

from __future__ import annotations

from attrs import Factory, define


@define
class Sample:
    """One request of a caller, with its last answer.

    :ivar due: when the request had to be sent, in seconds of the monotonic clock.
    :ivar ended: when it was over, 0 before.
    :ivar status: status of the last answer, 0 without one.
    :ivar verdict: verdict of the last answer, empty without one.
    :ivar reason: reason of a refusal, empty for a target's answer.
    :ivar whole: whether the body of a target's answer is that of this request.
    :ivar broken_at: hosts at which a connection broke after the request was sent.
    """

    account: str
    method: str
    label: str
    due: float
    ended: float = 0.0
    status: int = 0
    verdict: str = ""
    reason: str = ""
    host: str = ""
    whole: bool = True
    broken_at: list[str] = Factory(list)

    @property
    def answered(self) -> bool:
        """Whether a target's answer arrived."""
        return self.status == 200

    @property
    def refused(self) -> bool:
        """Whether an answer says that the request did not run."""
        return self.verdict == "not-run"

    @property
    def latency_ms(self) -> float:
        """Time from when the request was due to its end, in milliseconds."""
        return (self.ended - self.due) * 1_000

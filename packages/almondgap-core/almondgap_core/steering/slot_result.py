"""Results: what the end of an attempt says of a target and of its slot."""

from __future__ import annotations

from enum import IntEnum

from almondgap_core.events import AttemptOutcome

MIN_ERROR_STATUS = 500


class SlotResult(IntEnum):
    """How a slot was used, as it stands in messages."""

    UNUSED = 0
    SERVED = 1
    SHED = 2
    ERROR = 3
    UNREACHABLE = 4
    UNSETTLED = 5
    FAILED = 6

    @property
    def frees_slot(self) -> bool:
        """Whether nothing of the attempt can still run at the target."""
        return self not in (SlotResult.UNSETTLED, SlotResult.FAILED)

    @property
    def is_target_failure(self) -> bool:
        """Whether the target failed."""
        return self in (SlotResult.ERROR, SlotResult.UNREACHABLE, SlotResult.FAILED)


def classify_outcome(
    outcome: AttemptOutcome | None, status: int, shed: bool
) -> SlotResult:
    """Return the result of an attempt.

    An attempt whose answer did not come whole may still run at the target until its
    deadline, since closing a connection across a cut tells the target nothing.

    :param outcome: how the attempt ended, or None if it never began.
    :param status: status of the answer, 0 without one.
    :param shed: whether the answer proved that nothing ran.
    """
    if outcome is None:
        return SlotResult.UNUSED
    if shed:
        return SlotResult.SHED
    if outcome is AttemptOutcome.NOT_SENT:
        return SlotResult.UNREACHABLE
    if outcome is AttemptOutcome.CANCELLED:
        return SlotResult.UNSETTLED
    if outcome is not AttemptOutcome.COMPLETE:
        return SlotResult.FAILED
    return SlotResult.ERROR if status >= MIN_ERROR_STATUS else SlotResult.SERVED

"""Messages with which hosts ask each other for slots."""

from __future__ import annotations

from enum import IntEnum
from typing import ClassVar

from attrs import frozen

from almondgap_core.messages import Message, integer, register, text, texts


class DenialReason(IntEnum):
    """Why an owner gives no slot."""

    NOT_OWNER = 0
    BUSY = 1
    FULL = 2
    TOO_LATE = 3


@register
@frozen
class SlotRequest(Message):
    """The sender needs a slot at a target that the receiver owns.

    :ivar number: number of the ask; unique over all runs of the sender.
    :ivar remaining: time until the request's deadline, in microseconds.
    :ivar wait: longest time that the ask may wait in the queue, in microseconds.
    :ivar exclude: targets that already failed this request.
    """

    kind: ClassVar[str] = "sa"

    number: int = integer()
    service: str = text()
    account: str = text()
    remaining: int = integer()
    wait: int = integer()
    exclude: tuple[str, ...] = texts()


@register
@frozen
class SlotGrant(Message):
    """The slot is the asker's until it gives it back or its deadline passes."""

    kind: ClassVar[str] = "sg"

    number: int = integer()
    target: str = text()


@register
@frozen
class SlotDenial(Message):
    """There is no slot for this ask.

    :ivar reason: value of :class:`DenialReason`.
    """

    kind: ClassVar[str] = "sd"

    number: int = integer()
    reason: int = integer()


@register
@frozen
class SlotRelease(Message):
    """The asker needs the slot, or its place in the queue, no longer.

    :ivar result: value of :class:`almondgap_core.steering.slot_result.SlotResult`.
    """

    kind: ClassVar[str] = "sr"

    number: int = integer()
    result: int = integer()

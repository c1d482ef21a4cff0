"""Messages between the requester and the owner of a slot."""

from __future__ import annotations

from enum import IntEnum
from typing import ClassVar

from attrs import frozen

from almondgap_core.messages import Message, integer, register, text, texts


class DenialReason(IntEnum):
    """Why an owner denies a slot."""

    NOT_OWNER = 0
    BUSY = 1
    FULL = 2
    TOO_LATE = 3


@register
@frozen
class SlotRequest(Message):
    """The sender needs a slot at a target that the receiver owns.

    :ivar number: number of the request; unique over all incarnations of the sender.
    :ivar remaining: time until the request's deadline, in microseconds.
    :ivar wait: maximum time in the queue, in microseconds; 0 to be denied at once
        when no slot is free.
    :ivar exclude: targets that already failed the client's request.
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
    """The receiver may use the slot until it releases it or the deadline passes."""

    kind: ClassVar[str] = "sg"

    number: int = integer()
    target: str = text()


@register
@frozen
class SlotDenial(Message):
    """The owner has no slot for the request ``number``.

    :ivar reason: value of :class:`DenialReason`.
    """

    kind: ClassVar[str] = "sd"

    number: int = integer()
    reason: int = integer()


@register
@frozen
class SlotRelease(Message):
    """The sender no longer needs the slot, or its place in the queue.

    :ivar result: value of :class:`almondgap_core.steering.slot_result.SlotResult`.
    """

    kind: ClassVar[str] = "sr"

    number: int = integer()
    result: int = integer()

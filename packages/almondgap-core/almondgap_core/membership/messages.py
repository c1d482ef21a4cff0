"""Messages of membership."""

from __future__ import annotations

from typing import ClassVar

from attrs import field, frozen
from attrs.validators import instance_of

from almondgap_core.messages import Message, integer, register


@register
@frozen
class Heartbeat(Message):
    """The sender is alive.

    :ivar incarnation: number of this run of the sender.
    :ivar version: configuration version in force at the sender.
    :ivar stopping: whether the sender's planned stop has begun.
    """

    kind: ClassVar[str] = "heartbeat"

    incarnation: int = integer()
    version: int = integer()
    stopping: bool = field(validator=instance_of(bool))

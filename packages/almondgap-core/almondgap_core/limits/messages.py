"""Messages of limits."""

from __future__ import annotations

from typing import ClassVar

from attrs import frozen

from almondgap_core.messages import Message, integers, register, text


@register
@frozen
class HoldingsNotice(Message):
    """The sender says which partitions of its failure domain it holds.

    :ivar indexes: indexes of the partitions.
    :ivar epochs: epoch of each, in the same order.
    """

    kind: ClassVar[str] = "holdings"

    failure_domain: str = text()
    indexes: tuple[int, ...] = integers()
    epochs: tuple[int, ...] = integers()

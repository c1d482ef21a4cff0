"""Peer messages of membership.

Kinds and lists are kept short, since the messages are sent all the time.
"""

from __future__ import annotations

from typing import ClassVar

from attrs import field, frozen
from attrs.validators import instance_of

from almondgap_core.messages import Message, integer, integers, register, text, texts


def flag():
    """Return a boolean field."""
    return field(validator=instance_of(bool))


@register
@frozen
class Heartbeat(Message):
    """State of the sender, sent to every host of its own failure domain.

    :ivar incarnation: number of this run of the sender.
    :ivar version: configuration version in force at the sender.
    :ivar stopping: whether the sender's planned stop has begun.
    :ivar held: index and epoch of each partition that the sender holds, alternating.
    :ivar loads: loads of the services whose targets it owns, as packed by
        :meth:`ServiceLoad.pack`.
    """

    kind: ClassVar[str] = "hb"

    incarnation: int = integer()
    version: int = integer()
    stopping: bool = flag()
    held: tuple[int, ...] = integers()
    loads: tuple[int, ...] = integers()


@register
@frozen
class DomainReport(Message):
    """Summary of the sender's failure domain, sent to hosts of the other ones.

    :ivar incarnation: number of this run of the sender.
    :ivar version: configuration version in force at the sender.
    :ivar stopping: whether the sender's planned stop has begun.
    :ivar age: age of the oldest load in the sum, in milliseconds.
    :ivar digest: digest of the directory entries of the sender's failure domain.
    :ivar loads: loads summed over the failure domain, packed.
    """

    kind: ClassVar[str] = "dr"

    incarnation: int = integer()
    version: int = integer()
    stopping: bool = flag()
    age: int = integer()
    digest: int = integer()
    loads: tuple[int, ...] = integers()


@register
@frozen
class DirectoryRequest(Message):
    """Requests the directory entries of the receiver's failure domain."""

    kind: ClassVar[str] = "da"


@register
@frozen
class DirectoryResponse(Message):
    """Directory entries of a failure domain, in three columns of equal length."""

    kind: ClassVar[str] = "di"

    failure_domain: str = text()
    indexes: tuple[int, ...] = integers()
    epochs: tuple[int, ...] = integers()
    holders: tuple[str, ...] = texts()

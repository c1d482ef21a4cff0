"""Messages of membership; names and lists are short, since they flow all the time."""

from __future__ import annotations

from typing import ClassVar

from attrs import field, frozen
from attrs.validators import instance_of

from almondgap_core.messages import Message, integer, integers, register, text, texts


def flag():
    """Return a field that holds a truth value."""
    return field(validator=instance_of(bool))


@register
@frozen
class Heartbeat(Message):
    """The sender is alive; goes to every host of its own failure domain.

    :ivar incarnation: number of this run of the sender.
    :ivar version: configuration version in force at the sender.
    :ivar stopping: whether the sender's planned stop has begun.
    :ivar held: partitions that the sender holds: index and epoch in turn.
    :ivar loads: what it sees of the services whose targets it owns, as
        :meth:`ServiceLoad.pack` writes them.
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
    """What the sender's failure domain as a whole says to another one.

    :ivar age: age of the oldest load that was added up, in milliseconds.
    :ivar digest: digest of the sender's directory of its own failure domain.
    :ivar loads: loads of the whole failure domain.
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
    """The sender wants the receiver's directory of its own failure domain."""

    kind: ClassVar[str] = "da"


@register
@frozen
class DirectoryResponse(Message):
    """Who holds the partitions of a failure domain, in three columns."""

    kind: ClassVar[str] = "di"

    failure_domain: str = text()
    indexes: tuple[int, ...] = integers()
    epochs: tuple[int, ...] = integers()
    holders: tuple[str, ...] = texts()

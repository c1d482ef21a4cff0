"""Messages of operations."""

from __future__ import annotations

from typing import ClassVar

from attrs import field, frozen
from attrs.validators import instance_of

from almondgap_core.messages import Message, integer, integers, register, text


def octets():
    """Return a field that holds bytes."""
    return field(validator=instance_of(bytes))


@register
@frozen
class PermitRequest(Message):
    """May the sender run this operation?

    :ivar asker: number of the request at the sender, unique over its runs.
    :ivar left: time until the request's deadline, in microseconds.
    """

    kind: ClassVar[str] = "permit-ask"

    asker: str = text()
    key: str = text()
    account: str = text()
    digest: bytes = octets()
    left: int = integer()


@register
@frozen
class PermitResponse(Message):
    """What the holder says to a :class:`PermitRequest`.

    :ivar decision: value of :class:`~almondgap_core.operations.decision.Decision`.
    :ivar status: status of the first answer if the operation ran.
    :ivar has_answer: whether ``content_type`` and ``body`` are that answer.
    :ivar holder: host that the sender takes for the holder, empty if none.
    """

    kind: ClassVar[str] = "permit-answer"

    asker: str = text()
    decision: str = text()
    status: int = integer()
    has_answer: bool = field(validator=instance_of(bool))
    content_type: str = text()
    body: bytes = octets()
    holder: str = text()


@register
@frozen
class OutcomeReport(Message):
    """What became of a permit."""

    kind: ClassVar[str] = "outcome-report"

    asker: str = text()
    key: str = text()
    verdict: str = text()
    status: int = integer()
    has_answer: bool = field(validator=instance_of(bool))
    content_type: str = text()
    body: bytes = octets()


@register
@frozen
class OutcomeAck(Message):
    """The holder has the outcome."""

    kind: ClassVar[str] = "outcome-noted"

    asker: str = text()


@register
@frozen
class PrefixAnnouncement(Message):
    """A prefix that the sender holds; others may hand it out for a while."""

    kind: ClassVar[str] = "prefix-offer"

    failure_domain: str = text()
    index: int = integer()
    epoch: int = integer()
    window: int = integer()


@register
@frozen
class CustodyRequest(Message):
    """The sender stops: please fetch this book and keep it for the next holder.

    :ivar recipient: value of ``Book.bound_to``; names one run of the receiver.
    """

    kind: ClassVar[str] = "custody-ask"

    failure_domain: str = text()
    index: int = integer()
    epoch: int = integer()
    recipient: str = text()


@register
@frozen
class BooksRequest(Message):
    """The sender took a partition: which books of earlier epochs are there?

    :ivar recipient_epoch: epoch at which the sender holds the partition.
    :ivar recipient: name of this run of the sender at that epoch.
    """

    kind: ClassVar[str] = "books-ask"

    failure_domain: str = text()
    index: int = integer()
    recipient_epoch: int = integer()
    recipient: str = text()


@register
@frozen
class BooksOffer(Message):
    """Books that the sender sealed for the host that asked."""

    kind: ClassVar[str] = "books-offer"

    failure_domain: str = text()
    index: int = integer()
    epochs: tuple[int, ...] = integers()


@register
@frozen
class PageRequest(Message):
    """Send one page of a sealed book.

    :ivar recipient: value of ``Book.bound_to`` that the sender claims.
    :ivar start: number of the first record that is wanted.
    """

    kind: ClassVar[str] = "page-ask"

    failure_domain: str = text()
    index: int = integer()
    epoch: int = integer()
    recipient: str = text()
    start: int = integer()


@register
@frozen
class BookPage(Message):
    """One page of a sealed book.

    :ivar start: number of the first record of the page.
    :ivar total: records of the whole book.
    :ivar age: time since window 0 of the book began, in microseconds.
    :ivar moves: how often the book had moved.
    :ivar records: packed records.
    """

    kind: ClassVar[str] = "page"

    failure_domain: str = text()
    index: int = integer()
    epoch: int = integer()
    start: int = integer()
    total: int = integer()
    age: int = integer()
    moves: int = integer()
    forgotten: int = integer()
    records: bytes = octets()


@register
@frozen
class BookReceived(Message):
    """The sender has the whole book."""

    kind: ClassVar[str] = "book-taken"

    failure_domain: str = text()
    index: int = integer()
    epoch: int = integer()
    recipient: str = text()

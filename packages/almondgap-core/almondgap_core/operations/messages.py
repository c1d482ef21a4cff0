"""Messages of operations: requests for permits, and the transfer of books."""

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
    """Requests the permit of an operation from the holder of its book.

    :ivar asker: identifier of the request at the sender, unique over all its runs.
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
    """The holder's response to a :class:`PermitRequest`.

    :ivar decision: value of :class:`~almondgap_core.operations.decision.Decision`.
    :ivar status: HTTP status of the first answer if the operation has run.
    :ivar has_answer: whether ``content_type`` and ``body`` hold that answer.
    :ivar holder: host that the sender believes to be the holder, empty if unknown.
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
    """Reports the outcome of a permit to the holder; repeated until acknowledged.

    :ivar verdict: value of :class:`~almondgap_core.verdict.Verdict`.
    """

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
    """Acknowledges an :class:`OutcomeReport`."""

    kind: ClassVar[str] = "outcome-noted"

    asker: str = text()


@register
@frozen
class PrefixAnnouncement(Message):
    """Announces a prefix of the sender, which other hosts may issue for a while."""

    kind: ClassVar[str] = "prefix-offer"

    failure_domain: str = text()
    index: int = integer()
    epoch: int = integer()
    window: int = integer()


@register
@frozen
class CustodyRequest(Message):
    """Asks the receiver to take custody of a book, because the sender is stopping.

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
    """Requests a partition's books of earlier epochs for its new holder.

    :ivar recipient_epoch: epoch at which the sender holds the partition.
    :ivar recipient: value for ``Book.bound_to``; names this run of the sender.
    """

    kind: ClassVar[str] = "books-ask"

    failure_domain: str = text()
    index: int = integer()
    recipient_epoch: int = integer()
    recipient: str = text()


@register
@frozen
class BooksOffer(Message):
    """Offers the books that the sender has sealed for the requesting host."""

    kind: ClassVar[str] = "books-offer"

    failure_domain: str = text()
    index: int = integer()
    epochs: tuple[int, ...] = integers()


@register
@frozen
class PageRequest(Message):
    """Requests one page of a sealed book.

    :ivar recipient: value of ``Book.bound_to`` that names the sender.
    :ivar start: index of the first record of the page.
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

    :ivar start: index of the first record of the page.
    :ivar total: number of records in the whole book.
    :ivar age: time since the start of window 0 of the book, in microseconds.
    :ivar moves: number of moves of the book before this one.
    :ivar forgotten: value of ``Book.forgotten``.
    :ivar records: encoded records.
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
    """Tells the source that the sender has the whole book."""

    kind: ClassVar[str] = "book-taken"

    failure_domain: str = text()
    index: int = integer()
    epoch: int = integer()
    recipient: str = text()

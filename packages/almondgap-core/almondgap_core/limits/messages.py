"""Peer messages on partition holders, share loans, tokens and lease promises."""

from __future__ import annotations

from typing import ClassVar

from attrs import frozen

from almondgap_core.messages import Message, integer, integers, register, text, texts


@register
@frozen
class HoldingsNotice(Message):
    """Announces the partitions of its failure domain that the sender holds.

    :ivar indexes: indexes of the partitions.
    :ivar epochs: epoch of each, in the same order.
    :ivar version: configuration version whose shares the sender uses; nothing of an
        older one is in use any more.
    """

    kind: ClassVar[str] = "holdings"

    failure_domain: str = text()
    indexes: tuple[int, ...] = integers()
    epochs: tuple[int, ...] = integers()
    version: int = integer()


@register
@frozen
class LoanOffer(Message):
    """Offers to lend shares to their home, which may answer with a request.

    :ivar number: offers since the home's last request, this one included.
    """

    kind: ClassVar[str] = "loan-offer"

    number: int = integer()


@register
@frozen
class LoanRequest(Message):
    """Requests or renews a loan of all shares that the receiver can lend.

    :ivar incarnation: incarnation of the home; numbers count within it.
    :ivar number: grows with every request; an owner ignores older ones.
    :ivar duration: requested length of the loan, in microseconds.
    :ivar last_grant: number of the last grant with a list of shares that arrived in
        this incarnation, 0 if none.
    """

    kind: ClassVar[str] = "loan-ask"

    incarnation: int = integer()
    number: int = integer()
    duration: int = integer()
    last_grant: int = integer()


@register
@frozen
class LoanGrant(Message):
    """Lends shares; the sender stopped using them before it sent this.

    :ivar number: number of the request.
    :ivar duration: length of the loan from when the request was sent, in microseconds.
    :ivar base: number of an earlier grant whose shares this one extends, or 0 if it
        lists all shares itself.
    :ivar names: limits.
    :ivar rates: rate of each share, in thousandths of a token per second.
    :ivar bursts: burst of each share, in tokens.
    :ivar tokens: tokens transferred with each share, in nano-tokens.
    """

    kind: ClassVar[str] = "loan-grant"

    number: int = integer()
    duration: int = integer()
    base: int = integer()
    names: tuple[str, ...] = texts()
    rates: tuple[int, ...] = integers()
    bursts: tuple[int, ...] = integers()
    tokens: tuple[int, ...] = integers()


@register
@frozen
class LoanRecall(Message):
    """Asks a home to return the shares that the sender lent it."""

    kind: ClassVar[str] = "loan-recall"

    number: int = integer()


@register
@frozen
class LoanReturn(Message):
    """Returns shares that the sender no longer uses.

    :ivar number: number of its last request; this one and older ones are void.
    :ivar tokens: tokens returned with each of ``names``, in nano-tokens.
    """

    kind: ClassVar[str] = "loan-return"

    incarnation: int = integer()
    number: int = integer()
    names: tuple[str, ...] = texts()
    tokens: tuple[int, ...] = integers()


@register
@frozen
class TokenRequest(Message):
    """Requests tokens of a limit.

    :ivar number: identifier, unique within the sender's incarnation.
    :ivar needed: tokens for waiting requests.
    :ivar spare: tokens for expected requests.
    :ivar counted: whether a home has counted the waiting request before.
    """

    kind: ClassVar[str] = "token-ask"

    number: int = integer()
    name: str = text()
    needed: int = integer()
    spare: int = integer()
    counted: int = integer()


@register
@frozen
class TokenGrant(Message):
    """Answers a :class:`TokenRequest`.

    :ivar tokens: tokens that may be spent for ``CREDIT_TTL_US`` from the request.
    :ivar wait: microseconds until a token is expected; -1 if none is.
    :ivar within_rate: whether the request is within the rate and should wait for its
        token.
    """

    kind: ClassVar[str] = "token-grant"

    number: int = integer()
    tokens: int = integer()
    wait: int = integer()
    within_rate: int = integer()


@register
@frozen
class TokenUsed(Message):
    """Reports granted tokens as spent or returns them.

    :ivar names: limits.
    :ivar numbers: numbers of the token requests that are settled.
    :ivar returned: unspent tokens of each.
    :ivar unasked: tokens of each that were spent on requests for which no token request
        was sent.
    """

    kind: ClassVar[str] = "token-used"

    names: tuple[str, ...] = texts()
    numbers: tuple[int, ...] = integers()
    returned: tuple[int, ...] = integers()
    unasked: tuple[int, ...] = integers()


@register
@frozen
class PromiseRequest(Message):
    """Asks a witness not to take over the sender's partitions.

    A holder sends it when it cannot renew its leases in the store.

    :ivar duration: requested length of the promise, in microseconds.
    :ivar indexes: partitions of the failure domain of sender and receiver.
    :ivar epochs: epoch of each of the sender's leases.
    """

    kind: ClassVar[str] = "promise-ask"

    number: int = integer()
    duration: int = integer()
    indexes: tuple[int, ...] = integers()
    epochs: tuple[int, ...] = integers()


@register
@frozen
class Promise(Message):
    """Promises that the sender has taken none of the partitions and will not do so.

    It holds for the requested duration.

    :ivar incarnation: incarnation of the sender; the promise binds no other.
    """

    kind: ClassVar[str] = "promise"

    number: int = integer()
    incarnation: int = integer()
    indexes: tuple[int, ...] = integers()

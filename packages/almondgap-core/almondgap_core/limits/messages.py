"""Messages of limits."""

from __future__ import annotations

from typing import ClassVar

from attrs import frozen

from almondgap_core.messages import Message, integer, integers, register, text, texts


@register
@frozen
class HoldingsNotice(Message):
    """The sender says which partitions of its failure domain it holds.

    :ivar indexes: indexes of the partitions.
    :ivar epochs: epoch of each, in the same order.
    :ivar version: configuration version from which on the sender uses shares.
    """

    kind: ClassVar[str] = "holdings"

    failure_domain: str = text()
    indexes: tuple[int, ...] = integers()
    epochs: tuple[int, ...] = integers()
    version: int = integer()


@register
@frozen
class LoanOffer(Message):
    """An owner of shares would lend them to their home.

    :ivar number: grows with every offer.
    """

    kind: ClassVar[str] = "loan-offer"

    number: int = integer()


@register
@frozen
class LoanRequest(Message):
    """A home asks an owner to lend, or to go on lending.

    :ivar incarnation: run of the home; numbers count within it.
    :ivar number: grows with every message; an older one has no effect.
    :ivar duration: validity that is asked for, in microseconds.
    :ivar last_grant: number of the last grant that arrived in this run, 0 if none.
    """

    kind: ClassVar[str] = "loan-ask"

    incarnation: int = integer()
    number: int = integer()
    duration: int = integer()
    last_grant: int = integer()


@register
@frozen
class LoanGrant(Message):
    """An owner lends; it stopped using the shares before it sent this.

    :ivar number: number of the ask.
    :ivar duration: validity from when the ask was sent, in microseconds.
    :ivar base: grant that this one repeats, or 0 if it lists all shares.
    :ivar names: limits.
    :ivar rates: thousandths per second of each.
    :ivar bursts: tokens of each.
    :ivar tokens: nano-tokens that come with each.
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
    """An owner wants its shares back soon."""

    kind: ClassVar[str] = "loan-recall"

    number: int = integer()


@register
@frozen
class LoanReturn(Message):
    """A home uses the shares no longer.

    :ivar number: number of its last ask; this one and older ones are void.
    :ivar tokens: nano-tokens that go back with each of ``names``.
    """

    kind: ClassVar[str] = "loan-return"

    incarnation: int = integer()
    number: int = integer()
    names: tuple[str, ...] = texts()
    tokens: tuple[int, ...] = integers()


@register
@frozen
class TokenRequest(Message):
    """A host asks for tokens of a limit.

    :ivar number: identifier, unique within the sender's run.
    :ivar needed: tokens for requests that wait.
    :ivar spare: tokens for requests that are expected.
    :ivar counted: whether the same request asked before.
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
    """Answer to an ask.

    :ivar tokens: tokens that the asker may spend for ``CREDIT_TTL_US`` from its asking.
    :ivar wait: microseconds until a token is expected; -1 if none is.
    :ivar within_rate: whether the request is inside the rate and should wait for it.
    """

    kind: ClassVar[str] = "token-grant"

    number: int = integer()
    tokens: int = integer()
    wait: int = integer()
    within_rate: int = integer()


@register
@frozen
class TokenUsed(Message):
    """Tokens were spent, or are given back.

    :ivar numbers: asks whose tokens are settled.
    :ivar returned: tokens of each that were not spent.
    :ivar unasked: tokens of each that went to requests that never asked.
    """

    kind: ClassVar[str] = "token-used"

    names: tuple[str, ...] = texts()
    numbers: tuple[int, ...] = integers()
    returned: tuple[int, ...] = integers()
    unasked: tuple[int, ...] = integers()


@register
@frozen
class PromiseRequest(Message):
    """A holder without the store asks a witness not to take its partitions.

    :ivar duration: time of the promise, in microseconds.
    :ivar indexes: partitions of the failure domain of both.
    :ivar epochs: epoch of each at the holder.
    """

    kind: ClassVar[str] = "promise-ask"

    number: int = integer()
    duration: int = integer()
    indexes: tuple[int, ...] = integers()
    epochs: tuple[int, ...] = integers()


@register
@frozen
class Promise(Message):
    """The sender took none of these partitions and will take none for the duration.

    :ivar incarnation: run of the sender; the promise binds no other run.
    """

    kind: ClassVar[str] = "promise"

    number: int = integer()
    incarnation: int = integer()
    indexes: tuple[int, ...] = integers()

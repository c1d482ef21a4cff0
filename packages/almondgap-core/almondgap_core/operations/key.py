"""Operation keys: what a caller's ``Idempotency-Key`` says of who may run it."""

from __future__ import annotations

from attrs import frozen

from almondgap_core.limits.partitions import Partition

#: Every prefix that a look-up hands out starts with this word.
PREFIX_WORD = "ago"

#: Longest key that is looked at, in characters.
MAX_KEY_LENGTH = 200

_PARTS = 6
_MAX_NUMBER = 2**63 - 1


@frozen
class OperationPrefix:
    """What a look-up hands out: the one book that may run the operation.

    :ivar epoch: epoch of the partition's lease at which the key was minted.
    :ivar window: number of the minting window, counted on the holder's clock.
    """

    partition: Partition
    epoch: int
    window: int

    def __str__(self) -> str:
        place = f"{self.partition.failure_domain}.{self.partition.index}"
        return f"{PREFIX_WORD}.{place}.{self.epoch}.{self.window}"


@frozen
class OperationKey:
    """A prefix and the caller's own unique part."""

    prefix: OperationPrefix
    unique: str

    @classmethod
    def from_text(cls, text: str) -> OperationKey | None:
        """Return the key in ``text``, or None if no look-up gave its prefix."""
        parts = text.split(".", _PARTS - 1)
        if len(text) > MAX_KEY_LENGTH or len(parts) != _PARTS:
            return None
        word, domain, *numbers, unique = parts
        if word != PREFIX_WORD or not domain or not unique or not text.isascii():
            return None
        if not text.isprintable() or not all(map(_is_number, numbers)):
            return None
        index, epoch, window = map(int, numbers)
        return cls(OperationPrefix(Partition(domain, index), epoch, window), unique)

    def __str__(self) -> str:
        return f"{self.prefix}.{self.unique}"


def _is_number(text: str) -> bool:
    return text.isdigit() and str(int(text)) == text and int(text) <= _MAX_NUMBER

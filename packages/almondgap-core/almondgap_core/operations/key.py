"""Operation keys: parses a caller's ``Idempotency-Key``.

A key starts with a prefix that a look-up issued. The prefix names the book that decides
about the operation, so that hosts need no directory of keys.
"""

from __future__ import annotations

from attrs import frozen

from almondgap_core.limits.partitions import Partition

#: First part of every prefix.
PREFIX_WORD = "ago"

#: Length limit of a key, in characters; longer ones are refused.
MAX_KEY_LENGTH = 200

_PARTS = 6
_MAX_NUMBER = 2**63 - 1


@frozen
class OperationPrefix:
    """Part of a key that a look-up issues; identifies the book of the operation.

    :ivar epoch: epoch of the partition's lease under which the prefix was issued.
    :ivar window: number of the window in which it was issued, by the holder's clock.
    """

    partition: Partition
    epoch: int
    window: int

    def __str__(self) -> str:
        place = f"{self.partition.failure_domain}.{self.partition.index}"
        return f"{PREFIX_WORD}.{place}.{self.epoch}.{self.window}"


@frozen
class OperationKey:
    """A prefix and a part that the caller chose to be unique."""

    prefix: OperationPrefix
    unique: str

    @classmethod
    def from_text(cls, text: str) -> OperationKey | None:
        """Parse a key; return None if it does not start with a well-formed prefix."""
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

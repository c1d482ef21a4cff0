"""Bound on the bytes that all connections of a host together have buffered.

Handles targets that answer with bytes without end. A bound for each answer is not
enough, since many such answers may arrive at once.
"""

from __future__ import annotations

from typing import Protocol

from attrs import Factory, define

#: Bytes that the answers in progress may have buffered in all. A host of 200 MB has
#: room for the same again, while an answer is joined and written to its caller.
MAX_BUFFERED_BYTES = 48 * 1024 * 1024


class BufferOwner(Protocol):
    """A connection that buffers an answer."""

    def overflow(self) -> None:
        """Discard the answer and close the connection."""


@define
class BufferLedger:
    """Bytes buffered by each connection.

    When there are too many, the connection that has buffered most is closed: an answer
    of usual size goes on beside one without end.

    :ivar peak: greatest number of bytes buffered at a time.
    """

    max_bytes: int = MAX_BUFFERED_BYTES
    total: int = 0
    peak: int = 0
    _bytes_by_owner: dict[BufferOwner, int] = Factory(dict)

    def add(self, owner: BufferOwner, count: int) -> None:
        """Count bytes that a connection has buffered; may close one."""
        self._bytes_by_owner[owner] = self._bytes_by_owner.get(owner, 0) + count
        self.total += count
        self.peak = max(self.peak, self.total)
        while self.total > self.max_bytes:
            largest = max(self._bytes_by_owner, key=self._bytes_by_owner.__getitem__)
            self.release(largest)
            largest.overflow()

    def release(self, owner: BufferOwner) -> None:
        """Forget the bytes of a connection, which handed them on or dropped them."""
        self.total -= self._bytes_by_owner.pop(owner, 0)

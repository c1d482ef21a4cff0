"""The interfaces between a host and what surrounds it."""

from __future__ import annotations

from typing import Protocol

from twisted.internet.defer import Deferred

from almondgap_core.events import HostEntry
from almondgap_core.platform import Row, Transaction, TransactionResult


class TableService(Protocol):
    """The platform's transactional tables."""

    def transact(self, transaction: Transaction) -> Deferred[TransactionResult]:
        """Run a transaction; never fails, the outcome says what is known."""

    def scan(self, table: str, prefix: str) -> Deferred[tuple[Row, ...]]:
        """Return the rows whose key starts with ``prefix``, in the order of keys.

        The Deferred fails with :class:`PlatformUnavailable` without an answer.
        """


class ObjectStore(Protocol):
    """The platform's store of immutable bodies, named by their digest."""

    def put(self, body: bytes) -> Deferred[str]:
        """Store a body and return its name.

        The Deferred fails with :class:`PlatformUnavailable` or
        :class:`PlatformAnswerLost`; storing the same body again is harmless.
        """

    def get(self, name: str) -> Deferred[bytes]:
        """Return a body.

        The Deferred fails with :class:`PlatformUnavailable` if there is no answer or
        no such body.
        """


class HostList(Protocol):
    """The platform's lagging list of hosts."""

    def list_hosts(self) -> Deferred[tuple[HostEntry, ...]]:
        """Return the list; fails with :class:`PlatformUnavailable`."""


class Clock(Protocol):
    """Monotonic time."""

    def seconds(self) -> float:
        """Return the time in seconds."""


class MetricsSink(Protocol):
    """Receives counts and timings."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Count something."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""

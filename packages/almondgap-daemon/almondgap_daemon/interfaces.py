"""Protocols of the services that a host depends on."""

from __future__ import annotations

from typing import Protocol

from twisted.internet.defer import Deferred

from almondgap_core.events import HostEntry
from almondgap_core.platform import Row, Transaction, TransactionResult


class TableService(Protocol):
    """The platform's transactional tables."""

    def transact(self, transaction: Transaction) -> Deferred[TransactionResult]:
        """Run a transaction.

        The Deferred never fails; the outcome tells whether the result is known.
        """

    def scan(self, table: str, prefix: str) -> Deferred[tuple[Row, ...]]:
        """Return the rows whose key starts with ``prefix``, sorted by key.

        The Deferred fails with :class:`PlatformUnavailable` if the call fails.
        """


class ObjectStore(Protocol):
    """The platform's store of immutable objects, named by their digest."""

    def put(self, body: bytes) -> Deferred[str]:
        """Store an object's body and return its name; idempotent.

        The Deferred fails with :class:`PlatformUnavailable` or
        :class:`PlatformAnswerLost`.
        """

    def get(self, name: str) -> Deferred[bytes]:
        """Return an object's body.

        The Deferred fails with :class:`PlatformUnavailable` if the call fails or there
        is no such object.
        """


class HostList(Protocol):
    """The platform's list of hosts, which may be out of date."""

    def list_hosts(self) -> Deferred[tuple[HostEntry, ...]]:
        """Return the list; fails with :class:`PlatformUnavailable`."""


class Clock(Protocol):
    """A monotonic clock."""

    def seconds(self) -> float:
        """Return the time in seconds."""


class MetricsSink(Protocol):
    """Receives counters and timings."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Increment a counter."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""

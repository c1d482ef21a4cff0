"""A fake platform (tables and objects) with outages, latency and lost answers."""

from __future__ import annotations

from collections.abc import Callable

from attrs import Factory, define

from almondgap_core.platform import (
    Transaction,
    TransactionOutcome,
    TransactionResult,
)
from almondgap_core.units import millis, seconds
from almondgap_daemon.tables.memory import MemoryTables
from almondgap_testkit.fakes.network import PLATFORM, FakeNetwork

#: Time that the platform takes to process a call.
DELAY_US = millis(4)

#: Time after which a host gives up on a call to the platform.
TIMEOUT_US = seconds(3)


@define
class FakePlatform:
    """Tables and objects that are reached through the fake network.

    :ivar down: every call is answered as unavailable.
    :ivar delay: time that the platform takes to process a transaction, in
        microseconds.
    :ivar lose_answers: number of next writes that take effect but whose answers are
        lost.
    :ivar reads: rows and objects read so far.
    :ivar writes: transactions so far that write.
    :ivar fetches: objects read so far.
    """

    network: FakeNetwork
    tables: MemoryTables = Factory(MemoryTables)
    objects: dict[str, bytes] = Factory(dict)
    down: bool = False
    delay: int = DELAY_US
    lose_answers: int = 0
    reads: int = 0
    writes: int = 0
    fetches: int = 0

    def transact(
        self,
        place: str,
        transaction: Transaction,
        report: Callable[[TransactionResult], None],
    ) -> None:
        """Run a transaction for a host in ``place`` and report the result once.

        After a time-out the outcome of writes is unknown; a transaction that only
        reads is reported as unavailable.
        """
        answer = _OnceCallback(report)
        lost = TransactionOutcome.UNKNOWN
        if not transaction.writes:
            lost = TransactionOutcome.UNAVAILABLE
        clock = self.network.clock
        clock.call_later(TIMEOUT_US, lambda: answer.give(TransactionResult(lost)))

        def arrive() -> None:
            clock.call_later(self.delay, serve)

        def serve() -> None:
            result = self._serve(transaction)
            if result is not None:
                self.network.carry(PLATFORM, place, lambda: answer.give(result))

        self.network.carry(place, PLATFORM, arrive)

    def fetch(self, place: str, name: str, report: Callable[[bytes | None], None]):
        """Read an object for a host in ``place`` and report it once.

        None is reported if it is missing, the platform is down or the call times out.
        """
        answer = _OnceCallback(report)
        self.network.clock.call_later(TIMEOUT_US, lambda: answer.give(None))

        def serve() -> None:
            self.reads += 1
            self.fetches += 1
            body = None if self.down else self.objects.get(name)
            self.network.carry(PLATFORM, place, lambda: answer.give(body))

        self.network.carry(place, PLATFORM, serve)

    def _serve(self, transaction: Transaction) -> TransactionResult | None:
        if self.down:
            return TransactionResult(TransactionOutcome.UNAVAILABLE)
        self.reads += len(transaction.reads)
        self.writes += bool(transaction.writes)
        result = self.tables.apply(transaction)
        if transaction.writes and self.lose_answers > 0:
            self.lose_answers -= 1
            return None
        return result


@define
class _OnceCallback:
    """Passes the first answer to a callback and ignores later ones."""

    report: Callable | None

    def give(self, value) -> None:
        report, self.report = self.report, None
        if report is not None:
            report(value)

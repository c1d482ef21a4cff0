"""A platform with outages, slowness and lost answers."""

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

#: Time that a call takes at the platform.
DELAY_US = millis(4)

#: Wait after which a host gives up on the platform.
TIMEOUT_US = seconds(3)


@define
class FakePlatform:
    """Tables and objects behind the network.

    :ivar down: every call is refused at once.
    :ivar delay: time that a call takes at the platform, in microseconds.
    :ivar lose_answers: writes take effect, but so many next answers are lost.
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
        """Run a transaction for a host in ``place`` and report the result once."""
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
        """Read an object for a host in ``place`` and report it once."""
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
    """Passes on the first answer and drops later ones."""

    report: Callable | None

    def give(self, value) -> None:
        report, self.report = self.report, None
        if report is not None:
            report(value)

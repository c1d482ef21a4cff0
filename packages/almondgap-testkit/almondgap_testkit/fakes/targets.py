"""Targets that run requests, shed, stall, lie and keep count."""

from __future__ import annotations

from collections.abc import Callable

from attrs import Factory, define

from almondgap_core.events import AttemptOutcome
from almondgap_core.settings.inventory import Target
from almondgap_core.units import millis
from almondgap_testkit.fakes.clock import VirtualClock

#: Reports the head (a status) or the end (an outcome) of an attempt.
Report = Callable[[int | AttemptOutcome], None]


@define(eq=False)
class FakeRun:
    """One request at a target.

    :ivar remaining: time until its deadline when it was sent, in microseconds.
    """

    label: str
    report: Report
    remaining: int
    running: bool = False


@define
class FakeTarget:
    """One target.

    :ivar service_time: time that a request takes, in microseconds.
    :ivar stalled: whether requests that come now never end on their own.
    :ivar ignores_cancel: whether it does not notice that a connection was closed.
    :ivar ran: how often each label ran.
    :ivar first_ran: when each label first ran, in microseconds.
    :ivar overloads: requests that came when every slot was taken.
    """

    clock: VirtualClock
    target: Target
    service_time: int = millis(10)
    shed: bool = False
    stalled: bool = False
    ignores_cancel: bool = False
    unreachable: bool = False
    broken: bool = False
    status: int = 200
    running: int = 0
    overloads: int = 0
    started: list[int] = Factory(list)
    ran: dict[str, int] = Factory(dict)
    first_ran: dict[str, int] = Factory(dict)

    def run(self, run: FakeRun) -> None:
        """Take a request; report the head and the end of the answer.

        The request is given up at its deadline, as the deadline's header asks.
        """
        report = run.report
        if self.unreachable:
            report(AttemptOutcome.NOT_SENT)
            return
        if self.shed:
            report(503)
            report(AttemptOutcome.COMPLETE)
            return
        if self.running >= self.target.slots:
            self.overloads += 1
        self.running += 1
        run.running = True
        self.started.append(self.clock.now)
        self.first_ran.setdefault(run.label, self.clock.now)
        self.ran[run.label] = self.ran.get(run.label, 0) + 1
        self.clock.call_later(run.remaining, lambda: self._stop(run))
        if not self.stalled:
            self.clock.call_later(self.service_time, lambda: self._finish(run))

    def cancel(self, run: FakeRun) -> None:
        """Give a request up: its connection was closed."""
        if not self.ignores_cancel:
            self._stop(run)

    def _stop(self, run: FakeRun) -> None:
        if run.running:
            run.running = False
            self.running -= 1

    def _finish(self, run: FakeRun) -> None:
        if not run.running:
            return
        self._stop(run)
        if self.broken:
            run.report(AttemptOutcome.BROKEN)
            return
        run.report(self.status)
        run.report(AttemptOutcome.COMPLETE)

"""Fake targets that run, shed or stall requests and count what they ran."""

from __future__ import annotations

from collections.abc import Callable

from attrs import Factory, define

from almondgap_core.events import AttemptOutcome
from almondgap_core.settings.inventory import Target
from almondgap_core.units import millis
from almondgap_testkit.fakes.clock import VirtualClock

#: Reports the start of the answer (a status) or the end of an attempt (an outcome).
Report = Callable[[int | AttemptOutcome], None]


@define(eq=False)
class FakeRun:
    """One request at a target.

    :ivar remaining: time left until its deadline when it was sent, in microseconds.
    :ivar running: whether it occupies a slot.
    """

    label: str
    report: Report
    remaining: int
    running: bool = False


@define
class FakeTarget:
    """One target.

    :ivar service_time: time to process a request, in microseconds.
    :ivar shed: whether it answers every request 503 without running it.
    :ivar stalled: whether new requests run until their deadline without an answer.
    :ivar ignores_cancel: whether requests keep running after their connection closes.
    :ivar unreachable: whether requests cannot be sent to it.
    :ivar broken: whether connections break before the answer, after the run.
    :ivar status: status of answers.
    :ivar running: requests in progress.
    :ivar overloads: requests that arrived when no slot was free.
    :ivar started: start times of requests, in microseconds.
    :ivar ran: number of runs by label.
    :ivar first_ran: time of the first run by label, in microseconds.
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
        """Run a request; report the start and the end of its answer.

        The request is abandoned at its deadline, as the deadline header requires.
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
        """Abandon a request because its connection was closed."""
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

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


@define
class FakeTarget:
    """One target.

    :ivar service_time: time that a request takes, in microseconds.
    :ivar ran: how often each label ran.
    :ivar first_ran: when each label first ran, in microseconds.
    :ivar overloads: requests that came when every slot was taken.
    """

    clock: VirtualClock
    target: Target
    service_time: int = millis(10)
    shed: bool = False
    unreachable: bool = False
    broken: bool = False
    status: int = 200
    running: int = 0
    overloads: int = 0
    started: list[int] = Factory(list)
    ran: dict[str, int] = Factory(dict)
    first_ran: dict[str, int] = Factory(dict)

    def run(self, label: str, report: Report) -> None:
        """Take a request; report the head and the end of the answer."""
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
        self.started.append(self.clock.now)
        self.first_ran.setdefault(label, self.clock.now)
        self.ran[label] = self.ran.get(label, 0) + 1
        self.clock.call_later(self.service_time, lambda: self._finish(report))

    def _finish(self, report: Report) -> None:
        self.running -= 1
        if self.broken:
            report(AttemptOutcome.BROKEN)
            return
        report(self.status)
        report(AttemptOutcome.COMPLETE)

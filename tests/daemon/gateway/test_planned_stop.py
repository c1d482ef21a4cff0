"""The course of a planned stop on a virtual clock."""

from __future__ import annotations

from unittest import TestCase

from attrs import Factory, define
from twisted.internet.task import Clock

from almondgap_core.gateway.events import StopRequested
from almondgap_core.units import seconds
from almondgap_daemon.gateway.planned_stop import PlannedStop

GRACE_S = 6.0


@define
class FakeCallers:
    """The callers' server, and its port with connections that wait there."""

    closing: bool = False
    busy: bool = False
    accepted: int = 0
    waiting: int = 0
    listening: bool = True

    def doRead(self) -> None:  # noqa: N802
        """Accept one connection if any waits."""
        taken = min(1, self.waiting)
        self.waiting -= taken
        self.accepted += taken

    def stopListening(self) -> None:  # noqa: N802
        """Close the port."""
        self.listening = False

    def close_idle(self) -> None:
        """Close nothing: no connection is idle."""


@define
class FakeRuntime:
    """Keeps the events that it is fed."""

    clock: Clock
    last_ended_s: float = 0.0
    events: list = Factory(list)

    @property
    def idle_s(self) -> float:
        """Time since the last request ended, in seconds."""
        return self.clock.seconds() - self.last_ended_s

    def now(self) -> int:
        """Return the time in microseconds."""
        return seconds(self.clock.seconds())

    def feed(self, event) -> None:
        """Keep an event."""
        self.events.append(event)


class PlannedStopTests(TestCase):
    def setUp(self):
        self.clock = Clock()
        self.runtime = FakeRuntime(self.clock)
        self.callers = FakeCallers()
        self.ended_at = []

    def begin(self, **changes) -> None:
        for name, value in changes.items():
            setattr(self.callers, name, value)
        stop = PlannedStop(
            self.clock,
            self.runtime,
            self.callers,
            self.callers,
            GRACE_S,
            lambda: self.ended_at.append(self.clock.seconds()),
        )
        stop.begin()

    def run_until(self, end_s: float) -> None:
        while self.clock.seconds() < end_s - 0.001:
            self.clock.advance(0.05)

    def test_requests_are_due_before_the_process_is_killed(self):
        self.begin()
        [event] = self.runtime.events
        self.assertEqual(event, StopRequested(0, seconds(5.6)))
        self.assertTrue(self.callers.closing)

    def test_process_waits_for_answers_for_the_whole_grace_period(self):
        # Guards against an end that cuts answers which would still have come.
        self.begin(busy=True)
        self.run_until(5.8)
        self.assertEqual(self.ended_at, [])
        self.run_until(6.0)
        [ended_at] = self.ended_at
        self.assertLess(ended_at, GRACE_S)

    def test_process_ends_once_its_last_answer_is_delivered(self):
        self.begin(busy=True)
        self.run_until(4.0)
        self.callers.busy = False
        self.runtime.last_ended_s = self.clock.seconds()
        self.run_until(4.7)
        self.assertEqual(self.ended_at, [])
        self.run_until(10.0)
        [ended_at] = self.ended_at
        self.assertLessEqual(ended_at, 5.0)

    def test_waiting_connections_are_accepted_before_the_port_closes(self):
        self.begin(waiting=3, busy=True)
        self.run_until(3.4)
        self.assertTrue(self.callers.listening)
        self.run_until(3.6)
        self.assertFalse(self.callers.listening)
        self.assertEqual(self.callers.accepted, 3)

"""Lifecycle of the host process: serving, draining, flushing, stopped."""

from __future__ import annotations

from typing import Protocol

import structlog
from attrs import define, field
from automat import TypeMachineBuilder
from twisted.internet.defer import Deferred, gatherResults, maybeDeferred

from almondgap_daemon.requests import CallerSite

log = structlog.get_logger(__name__)

#: Time-out for callers to read the last answers, in seconds.
FLUSH_TIMEOUT_S = 10.0


class Lifecycle(Protocol):
    """Inputs of the state machine."""

    def stop_requested(self) -> None:
        """An operator or a signal requested the planned stop."""

    def work_done(self) -> None:
        """No request is in flight, or the deadline of the planned stop has passed."""

    def flushed(self) -> None:
        """All answers were written out, or flushing timed out."""


@define
class HostProcess:
    """Resources of the process that the lifecycle closes.

    :ivar ports: listening ports, those of callers first.
    :ivar on_stop: called to begin the planned stop in the reducer.
    :ivar on_end: called to end the process.
    """

    reactor: object
    callers: CallerSite
    ports: list
    on_stop: object
    on_end: object
    lifecycle: Lifecycle | None = field(default=None)


def _build_lifecycle():
    builder = TypeMachineBuilder(Lifecycle, HostProcess)
    serving = builder.state("serving")
    draining = builder.state("draining")
    flushing = builder.state("flushing")
    stopped = builder.state("stopped")

    @serving.upon(Lifecycle.stop_requested).to(draining)
    def begin_drain(lifecycle: Lifecycle, process: HostProcess) -> None:
        process.callers.stopping = True
        process.on_stop()

    @serving.upon(Lifecycle.work_done).to(flushing)
    @draining.upon(Lifecycle.work_done).to(flushing)
    def begin_flush(lifecycle: Lifecycle, process: HostProcess) -> None:
        process.callers.stopping = True
        timer = process.reactor.callLater(FLUSH_TIMEOUT_S, lifecycle.flushed)
        closed = _close_connections(process)
        closed.addBoth(lambda _: _finish_flush(timer, lifecycle))

    @flushing.upon(Lifecycle.flushed).to(stopped)
    def end(lifecycle: Lifecycle, process: HostProcess) -> None:
        process.on_end()

    for state in (draining, flushing, stopped):
        state.upon(Lifecycle.stop_requested).loop().returns(None)
    for state in (flushing, stopped):
        state.upon(Lifecycle.work_done).loop().returns(None)
    stopped.upon(Lifecycle.flushed).loop().returns(None)
    return builder.build()


def _close_connections(process: HostProcess) -> Deferred:
    stopped = [maybeDeferred(port.stopListening) for port in process.ports]
    closed = gatherResults(stopped)
    closed.addCallback(lambda _: process.callers.close_channels())
    return closed


def _finish_flush(timer, lifecycle: Lifecycle) -> None:
    if timer.active():
        timer.cancel()
        lifecycle.flushed()


make_lifecycle = _build_lifecycle()

"""Stages of a host's lifecycle, as a state machine."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from attrs import Factory, define
from automat import TypeMachineBuilder


class Stage(Enum):
    """Stage of a host's lifecycle.

    A draining host still serves callers whose cached look-up names it. A moving host
    transfers its books of operations to other hosts, and a leaving one releases its
    leases.
    """

    JOINING = "joining"
    SERVING = "serving"
    DRAINING = "draining"
    MOVING = "moving"
    LEAVING = "leaving"
    STOPPED = "stopped"


class Transitions(Protocol):
    """Transitions between stages."""

    def configure(self) -> None:
        """The first configuration came into force."""

    def drain(self) -> None:
        """A planned stop was requested."""

    def finish_draining(self) -> None:
        """Cached look-ups have expired and no request is in flight, or time is up."""

    def finish_handover(self) -> None:
        """The books of operations were transferred, or the transfer timed out."""

    def stop(self) -> None:
        """The leases were released, or the deadline passed."""


@define
class CurrentStage:
    """Holds the current stage; the state machine updates it."""

    stage: Stage = Stage.JOINING


def _build_machine():
    builder = TypeMachineBuilder(Transitions, CurrentStage)
    states = {stage: builder.state(stage.value) for stage in Stage}

    def allow(before: Stage, transition, after: Stage) -> None:
        def enter(machine: Transitions, current: CurrentStage) -> None:
            current.stage = after

        states[before].upon(transition).to(states[after])(enter)

    allow(Stage.JOINING, Transitions.configure, Stage.SERVING)
    allow(Stage.JOINING, Transitions.drain, Stage.LEAVING)
    allow(Stage.SERVING, Transitions.drain, Stage.DRAINING)
    allow(Stage.DRAINING, Transitions.finish_draining, Stage.MOVING)
    allow(Stage.MOVING, Transitions.finish_handover, Stage.LEAVING)
    for stage in (Stage.DRAINING, Stage.MOVING, Stage.LEAVING):
        allow(stage, Transitions.stop, Stage.STOPPED)
    return builder.build()


_make_machine = _build_machine()


@define
class LifecycleState:
    """Progress of a host through its lifecycle.

    :ivar drain_started_at: start of the planned stop, in microseconds.
    :ivar deadline: latest end of the planned stop, None if there is no limit.
    :ivar handover_started_at: start of the transfer of books, in microseconds.
    :ivar initial_books: number of books at the start of the transfer.
    """

    current: CurrentStage = Factory(CurrentStage)
    machine: Transitions = Factory(
        lambda self: _make_machine(self.current), takes_self=True
    )
    drain_started_at: int = 0
    deadline: int | None = None
    handover_started_at: int = 0
    initial_books: int = 0

    @property
    def stage(self) -> Stage:
        """The current stage."""
        return self.current.stage

    @property
    def accepts_requests(self) -> bool:
        """Whether the host accepts new requests."""
        return self.stage in (Stage.JOINING, Stage.SERVING, Stage.DRAINING)

    @property
    def may_release_leases(self) -> bool:
        """Whether leases may be released: the transfer of books has ended."""
        return self.stage in (Stage.LEAVING, Stage.STOPPED)

"""Stages of a host's life, as a state machine."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from attrs import Factory, define
from automat import TypeMachineBuilder


class Stage(Enum):
    """How far a host has come in its life.

    A host that is draining still serves callers whose look-up is cached; one that is
    moving or leaving hands over what it holds.
    """

    JOINING = "joining"
    SERVING = "serving"
    DRAINING = "draining"
    MOVING = "moving"
    LEAVING = "leaving"
    STOPPED = "stopped"


class Transitions(Protocol):
    """What may happen to a host."""

    def configure(self) -> None:
        """The first configuration is in force."""

    def drain(self) -> None:
        """A planned stop begins."""

    def finish_draining(self) -> None:
        """Callers' cached look-ups ran out and no request is left."""

    def finish_handover(self) -> None:
        """Records are with other hosts."""

    def stop(self) -> None:
        """Leases are given up, or the deadline passed."""


@define
class CurrentStage:
    """Holds the stage for the machine."""

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
    """Where a host stands in its life.

    :ivar drain_started_at: when the planned stop began, in microseconds.
    :ivar deadline: when it ends at the latest, None without a bound.
    :ivar handover_started_at: when records began to move.
    :ivar initial_books: books that were to move.
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
        """The present stage."""
        return self.current.stage

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests are served."""
        return self.stage in (Stage.JOINING, Stage.SERVING, Stage.DRAINING)

    @property
    def may_release_leases(self) -> bool:
        """Whether leases may be given up: records are with other hosts."""
        return self.stage in (Stage.LEAVING, Stage.STOPPED)

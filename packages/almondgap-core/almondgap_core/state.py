"""The state of one host, as the reducer sees it."""

from __future__ import annotations

from collections import deque

from attrs import Factory, define

from almondgap_core.effects import Effect
from almondgap_core.events import Event
from almondgap_core.keys.state import KeysState
from almondgap_core.limits.state import LimitsState
from almondgap_core.membership.state import MembershipState
from almondgap_core.operations.state import OperationsState
from almondgap_core.requests.state import RequestsState
from almondgap_core.settings.inventory import Inventory
from almondgap_core.settings.state import SettingsState
from almondgap_core.stages import LifecycleState
from almondgap_core.steering.slotbook import SlotsState
from almondgap_core.steering.state import SteeringState


@define
class HostState:
    """Everything that one host knows and decides from.

    :ivar host: name of this host.
    :ivar incarnation: number of this run of the host, greater than in earlier runs.
    :ivar seed: state of the pseudo-random sequence.
    :ivar stopping: whether a planned stop has begun.
    :ivar stopped: whether the planned stop is complete.
    :ivar pending: internal events that the current step still has to handle.
    :ivar effects: effects of the current step.
    """

    host: str
    failure_domain: str
    incarnation: int
    seed: int = 1
    stopping: bool = False
    stopped: bool = False
    lifecycle: LifecycleState = Factory(LifecycleState)
    settings: SettingsState = Factory(SettingsState)
    keys: KeysState = Factory(KeysState)
    members: MembershipState = Factory(MembershipState)
    limits: LimitsState = Factory(LimitsState)
    operations: OperationsState = Factory(OperationsState)
    steering: SteeringState = Factory(SteeringState)
    slots: SlotsState = Factory(SlotsState)
    requests: RequestsState = Factory(RequestsState)
    pending: deque[Event] = Factory(deque)
    effects: list[Effect] = Factory(list)

    @property
    def inventory(self) -> Inventory | None:
        """The inventory in force, or None before the first."""
        return self.settings.inventory

    @property
    def is_busy(self) -> bool:
        """Whether a caller's request or a slot that was handed out is not over."""
        return bool(self.requests.open or self.slots.grants)

    def emit(self, event: Event) -> None:
        """Queue an internal event; the reducer handles it in the same step."""
        self.pending.append(event)

    def perform(self, effect: Effect) -> None:
        """Add an effect to those that the step returns."""
        self.effects.append(effect)

    def draw(self, bound: int) -> int:
        """Return the next pseudo-random integer from 0 to ``bound`` - 1.

        The sequence depends only on the seed, so that a run can be replayed. Source:
        the multiplier of Knuth's MMIX generator.
        """
        self.seed = (self.seed * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.seed >> 33) % bound

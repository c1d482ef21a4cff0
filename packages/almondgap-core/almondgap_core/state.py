"""State of one host, the only data that the reducer reads and changes.

Each subpackage of the core defines its own part of the state; :class:`HostState`
combines the parts and collects the events and effects of the current step.
"""

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
from almondgap_core.steering.slot_state import SlotsState
from almondgap_core.steering.state import SteeringState


@define
class HostState:
    """Everything that one host bases its decisions on.

    :ivar host: name of this host.
    :ivar incarnation: number of this run of the host; increases with every start.
    :ivar seed: state of the pseudo-random number generator.
    :ivar stopping: whether a planned stop has begun.
    :ivar stopped: whether the planned stop is complete.
    :ivar pending: events that the current step has yet to handle.
    :ivar effects: effects that the current step has produced so far.
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
        """The inventory in force, or None before the first one is applied."""
        return self.settings.inventory

    @property
    def is_busy(self) -> bool:
        """Whether any request is in flight or any granted slot is still held."""
        return bool(self.requests.open or self.slots.grants)

    def emit(self, event: Event) -> None:
        """Queue an internal event to be handled in the same step."""
        self.pending.append(event)

    def perform(self, effect: Effect) -> None:
        """Add an effect to the list that the step returns."""
        self.effects.append(effect)

    def draw(self, bound: int) -> int:
        """Return the next pseudo-random integer from 0 to ``bound`` - 1.

        A linear congruential generator with the constants of Knuth's MMIX. The
        sequence depends on the seed alone, so that a run can be replayed.
        """
        self.seed = (self.seed * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.seed >> 33) % bound

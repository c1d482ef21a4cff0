"""The state of one host, as the reducer sees it."""

from __future__ import annotations

from collections import deque

from attrs import Factory, define

from almondgap_core.effects import Effect
from almondgap_core.events import Event, HostEntry
from almondgap_core.limits.bucket import Bucket
from almondgap_core.requests.record import RequestRecord
from almondgap_core.settings.inventory import Inventory


@define
class HostState:
    """Everything that one host knows and decides from.

    :ivar host: name of this host.
    :ivar incarnation: number of this run of the host.
    :ivar version: configuration version in force, 0 before the first.
    :ivar hosts: hosts by name, this one included.
    :ivar stopping: whether the host takes no new work.
    :ivar buckets: this host's share of each account's rate.
    :ivar slots_used: requests that this host runs at each target.
    :ivar requests: requests that are not over, by identifier.
    """

    host: str
    failure_domain: str
    incarnation: int
    inventory: Inventory | None = None
    version: int = 0
    hosts: dict[str, HostEntry] = Factory(dict)
    stopping: bool = False
    stopped: bool = False
    buckets: dict[str, Bucket] = Factory(dict)
    slots_used: dict[str, int] = Factory(dict)
    requests: dict[str, RequestRecord] = Factory(dict)
    heartbeats: dict[str, int] = Factory(dict)
    peer_versions: dict[str, int] = Factory(dict)
    next_heartbeat: int = 0
    next_head_read: int = 0
    fetching: int = 0
    seed: int = 1
    pending: deque[Event] = Factory(deque)
    effects: list[Effect] = Factory(list)

    def emit(self, event: Event) -> None:
        """Queue an internal event; the reducer handles it in the same step."""
        self.pending.append(event)

    def draw(self, bound: int) -> int:
        """Return the next pseudo-random integer from 0 to ``bound`` - 1.

        The sequence depends only on the seed, so that a run can be replayed. Source:
        the multiplier of Knuth's MMIX generator.
        """
        self.seed = (self.seed * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.seed >> 33) % bound

    def perform(self, effect: Effect) -> None:
        """Add an effect to those that the step returns."""
        self.effects.append(effect)

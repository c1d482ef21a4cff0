"""A network between failure domains: delay, jitter, loss, duplicates, partitions."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

from attrs import Factory, define

from almondgap_core.units import millis
from almondgap_testkit.fakes.clock import VirtualClock

SAME_DOMAIN_US = millis(0.2)
SAME_REGION_US = millis(3.5)
OTHER_REGION_US = millis(12)

#: Name of the place that stands for the platform's services.
PLATFORM = "platform"


@define
class FakeNetwork:
    """Carries messages between places; a place is a failure domain or the platform.

    :ivar regions: region of each place.
    :ivar loss: share of messages between hosts that are lost.
    :ivar store_loss: share of the platform's calls and answers that are lost.
    :ivar repeat: share of messages that are duplicated.
    :ivar jitter: maximum random addition to a message's delay, in microseconds.
    :ivar slow: additional delay between two places, in microseconds.
    :ivar cuts: pairs of places that cannot reach each other.
    :ivar messages: messages sent so far, including lost ones.
    :ivar peer_messages: those of them that were sent between hosts.
    """

    clock: VirtualClock
    rng: random.Random
    regions: Mapping[str, str]
    loss: float = 0.0
    store_loss: float = 0.0
    repeat: float = 0.0
    jitter: int = millis(0.5)
    slow: dict[frozenset[str], int] = Factory(dict)
    cuts: set[frozenset[str]] = Factory(set)
    messages: int = 0
    peer_messages: int = 0

    def cut(self, one: str, other: str) -> None:
        """Block all messages between two places."""
        self.cuts.add(frozenset((one, other)))

    def isolate(self, place: str) -> None:
        """Block all messages between a place and every other."""
        for other in self.regions:
            if other != place:
                self.cut(place, other)

    def heal(self) -> None:
        """Remove all cuts."""
        self.cuts.clear()

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether messages between two places are blocked."""
        return frozenset((one, other)) in self.cuts

    def measure_delay(self, one: str, other: str) -> int:
        """Return the one-way delay without jitter, in microseconds."""
        if one == other:
            base = SAME_DOMAIN_US
        elif self.regions[one] == self.regions[other]:
            base = SAME_REGION_US
        else:
            base = OTHER_REGION_US
        return base + self.slow.get(frozenset((one, other)), 0)

    def carry(self, one: str, other: str, deliver: Callable[[], None]) -> None:
        """Deliver a message after its delay, unless it is lost or blocked.

        Cuts are checked when it is sent and again when it arrives.
        """
        self.messages += 1
        self.peer_messages += PLATFORM not in (one, other)
        loss = self.store_loss if PLATFORM in (one, other) else self.loss
        if self.is_cut(one, other) or self.rng.random() < loss:
            return
        copies = 2 if self.rng.random() < self.repeat else 1
        for _ in range(copies):
            delay = self.measure_delay(one, other) + self.rng.randint(0, self.jitter)
            self.clock.call_later(delay, lambda: self._arrive(one, other, deliver))

    def _arrive(self, one: str, other: str, deliver: Callable[[], None]) -> None:
        if not self.is_cut(one, other):
            deliver()

"""Which faults come when, drawn from a seed."""

from __future__ import annotations

import random

from attrs import frozen

#: Faults of a host's process.
HOST_FAULTS = ("freeze", "kill", "stop", "cut from store", "store answers lost")

#: Faults of a target, or of the way to it.
TARGET_FAULTS = (
    "delay",
    "reset",
    "silence",
    "answers lost",
    "refuse",
    "shedding",
    "failing",
    "cutting",
    "unsealed",
)

#: Faults of the store, and what operators do.
OTHER_FAULTS = (
    "store down",
    "store silent",
    "store slow",
    "store forgets",
    "evacuate",
    "withdraw target",
    "withdraw key",
    "lower rate",
)

#: Length of a fault, in seconds: shorter and longer than the bounds of 2 to 5 s within
#: which hosts have to notice.
LEAST_LENGTH_S, MOST_LENGTH_S = 0.3, 6.0

#: Faults begin this long after one another on average, so that two or three overlap.
PAUSE_S = 1.2


@frozen
class Fault:
    """Something that goes wrong for a while.

    :ivar at: seconds from the start of the callers.
    :ivar length: seconds.
    :ivar place: number of the host or target, from 0.
    """

    at: float
    length: float
    kind: str
    place: int

    @property
    def end(self) -> float:
        """When it is over, in seconds from the start of the callers."""
        return self.at + self.length

    def __str__(self) -> str:
        return f"{self.at:.1f}-{self.end:.1f} s: {self.kind} {self.place}"


def draw_plan(
    seed: int, duration: float, hosts: int, targets: int
) -> tuple[Fault, ...]:
    """Return faults within some seconds; at most one at a time in each host."""
    chance = random.Random(seed)
    faults: list[Fault] = []
    at = chance.expovariate(1 / PAUSE_S)
    while at < duration:
        kinds = chance.choice((HOST_FAULTS, TARGET_FAULTS, TARGET_FAULTS, OTHER_FAULTS))
        kind = chance.choice(kinds)
        count = hosts if kinds is HOST_FAULTS else targets
        length = chance.uniform(LEAST_LENGTH_S, MOST_LENGTH_S)
        fault = Fault(at, min(length, duration - at), kind, chance.randrange(count))
        if not any(_meet(fault, other) for other in faults):
            faults.append(fault)
        at += chance.expovariate(1 / PAUSE_S)
    return tuple(faults)


def _meet(fault: Fault, other: Fault) -> bool:
    """Return whether two faults would undo one another."""
    groups = (HOST_FAULTS, TARGET_FAULTS)
    same_kind = any(fault.kind in group and other.kind in group for group in groups)
    same = fault.place == other.place if same_kind else fault.kind == other.kind
    store = fault.kind.startswith("store ") and other.kind.startswith("store ")
    overlap = fault.at < other.end + 1.0 and other.at < fault.end + 1.0
    return overlap and (same or store)

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
    "limited",
    "leaving",
    "pausing",
)

#: Faults of the store.
STORE_FAULTS = (
    "store down",
    "store silent",
    "store slow",
    "store forgets",
    "store restored",
)

#: What operators do.
ACTS = (
    "evacuate",
    "withdraw target",
    "withdraw key",
    "lower rate",
    "request of death",
)

#: Length of a fault, in seconds: shorter and longer than the bounds of 2 to 5 s within
#: which hosts have to notice.
LEAST_LENGTH_S, MOST_LENGTH_S = 0.3, 6.0

#: Length of what operators do and of a target's rate limit, in seconds: beyond the
#: bound of 5 s and some more, in which nothing may go against it.
LEAST_ACT_S, MOST_ACT_S = 6.0, 9.0

#: Faults begin this long after one another on average, so that several overlap.
PAUSE_S = 0.6


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
    """Return faults that begin within some seconds; one at a time at each place."""
    chance = random.Random(seed)
    faults: list[Fault] = []
    at = chance.expovariate(1 / PAUSE_S)
    while at < duration:
        kinds = chance.choice(
            (HOST_FAULTS, TARGET_FAULTS, TARGET_FAULTS, STORE_FAULTS, ACTS)
        )
        kind = chance.choice(kinds)
        count = hosts if kinds is HOST_FAULTS else targets
        acts = (LEAST_ACT_S, MOST_ACT_S)
        is_long = kinds is ACTS or kind in ("limited", "leaving", "pausing")
        bounds = acts if is_long else (LEAST_LENGTH_S, MOST_LENGTH_S)
        length = chance.uniform(*bounds)
        fault = Fault(at, length, kind, chance.randrange(count))
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

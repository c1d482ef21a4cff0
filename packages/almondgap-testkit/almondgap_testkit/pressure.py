"""Random load on a fleet of reducers, and what must hold whatever happens."""

from __future__ import annotations

import random

from attrs import Factory, define

from almondgap_core.units import MICROS_PER_SECOND, seconds
from almondgap_core.verdict import Verdict
from almondgap_testkit.fakes.world import FakeAnswer, World
from almondgap_testkit.fleets import build_fleet_text, place_hosts

#: Time until leases are taken, in microseconds.
SETTLE_US = seconds(6)

#: Time after the last call until every answer must be there, in microseconds.
DRAIN_US = seconds(4)


def build_world(
    domains: int = 3, hosts: int = 6, seed: int = 1, settle: bool = True, **fields
) -> World:
    """Return a world with leases taken; ``fields`` go to the fleet's document."""
    text = build_fleet_text(domains, **fields)
    world = World(text, place_hosts(hosts, domains), seed)
    if settle:
        world.run(SETTLE_US)
    return world


@define
class Pressure:
    """Calls by client accounts as Poisson processes, independent of each other.

    :ivar calls: identifiers by account, in the order of the calls.
    """

    world: World
    rng: random.Random
    calls: dict[str, list[str]] = Factory(dict)
    end: int = 0

    def add(self, account: str, rate: float, duration: int, hosts, **extra) -> None:
        """Let an account call for ``duration`` microseconds from now on.

        :param rate: calls per second.
        :param hosts: hosts that the calls go to, drawn anew for each.
        :param extra: further arguments of :meth:`World.call`.
        """
        end = self.world.clock.now + duration
        self.end = max(self.end, end)
        names = list(hosts)
        rng = random.Random(self.rng.getrandbits(64))

        def call() -> None:
            if self.world.clock.now >= end:
                return
            host = rng.choice(names)
            req = self.world.call(host, "s0", account, **extra)
            self.calls.setdefault(account, []).append(req)
            plan()

        def plan() -> None:
            gap = rng.expovariate(rate) * MICROS_PER_SECOND
            self.world.clock.call_later(round(gap), call)

        plan()

    def finish(self) -> None:
        """Run until every answer must be there."""
        self.world.run(self.end - self.world.clock.now + DRAIN_US)

    def list_answers(self, account: str) -> list[FakeAnswer]:
        """Return what an account got, in the order of its calls."""
        return [self.world.answers[req] for req in self.calls.get(account, ())]

    def list_times(self, account: str) -> list[int]:
        """Return the sorted times to an answer of a target, in microseconds."""
        return sorted(
            answer.answered - answer.asked
            for answer in self.list_answers(account)
            if answer.verdict is Verdict.RAN
        )


def count_overloads(world: World) -> int:
    """Return how often a target got more than its slots."""
    return sum(target.overloads for target in world.targets.values())


def list_unanswered(world: World, except_hosts=()) -> list[str]:
    """Return the requests without an answer, but those to ``except_hosts``."""
    return [
        req
        for req, answer in world.answers.items()
        if answer.verdict is None and answer.host not in except_hosts
    ]

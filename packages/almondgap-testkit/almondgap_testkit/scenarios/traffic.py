"""Open-loop traffic of scenarios: arrivals never wait for answers."""

from __future__ import annotations

import random

from attrs import define

from almondgap_core.units import MICROS_PER_SECOND
from almondgap_testkit.fakes.world import World
from almondgap_testkit.scenarios.statements import Traffic


@define
class TrafficSource:
    """Sends the requests of one traffic statement into a world.

    :ivar hosts: hosts of each place of the statement.
    :ivar sent: identifiers of the requests sent so far.
    """

    world: World
    traffic: Traffic
    hosts: list[list[str]]
    end: int
    rng: random.Random
    sent: list[str]

    @classmethod
    def from_statement(
        cls, world: World, traffic: Traffic, length: int, seed: int
    ) -> TrafficSource:
        """Return a source that has not begun."""
        hosts = [_find_hosts(world, place) for place in traffic.places]
        rng = random.Random(f"{seed}/{traffic.line}")
        return cls(world, traffic, hosts, traffic.end or length, rng, [])

    def begin(self) -> None:
        """Queue the first arrival."""
        self._queue(self.traffic.start)

    def _queue(self, after: int) -> None:
        mean = MICROS_PER_SECOND * self.traffic.burst / self.traffic.rate
        at = after + round(self.rng.expovariate(1 / mean))
        if at < self.end:
            self.world.clock.call_at(at, lambda: self._arrive(at))

    def _arrive(self, at: int) -> None:
        host = self._choose_host(at)
        for _ in range(self.traffic.burst):
            req_id = self.world.call(
                host, self.traffic.service, self.traffic.account, self.traffic.method
            )
            self.sent.append(req_id)
        self._queue(at)

    def _choose_host(self, at: int) -> str:
        if self.traffic.moving:
            place = self.hosts[at // self.traffic.moving % len(self.hosts)]
        else:
            place = self.rng.choice(self.hosts)
        live = [name for name in place if self.world.hosts[name].state is not None]
        return self.rng.choice(live or place)


def _find_hosts(world: World, place: str) -> list[str]:
    if place in world.hosts:
        return [place]
    return [
        name for name, host in world.hosts.items() if host.entry.failure_domain == place
    ]

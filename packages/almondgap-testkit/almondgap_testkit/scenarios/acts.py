"""Acts of scenarios: faults, and what operators do."""

from __future__ import annotations

import random

from attrs import Factory, define

from almondgap_core.events import DrainRequested
from almondgap_core.units import MICROS_PER_SECOND
from almondgap_testkit.fakes.network import PLATFORM
from almondgap_testkit.fakes.platform import DELAY_US
from almondgap_testkit.fakes.world import World
from almondgap_testkit.scenarios.deployments import Deployment
from almondgap_testkit.scenarios.statements import Act, RandomFaults

#: Longest random fault before it is undone, in microseconds.
LONGEST_FAULT_US = 15 * MICROS_PER_SECOND


@define
class Acts:
    """Performs acts on a world.

    :ivar stopped: hosts whose planned stop began.
    """

    world: World
    deployment: Deployment
    stopped: list[str] = Factory(list)

    def perform(self, act: Act) -> None:
        """Perform one act."""
        getattr(self, f"_do_{act.name}")(*act.args)

    def _do_cut(self, one: str, other: str) -> None:
        self.world.network.cut(one, other)

    def _do_isolate(self, place: str) -> None:
        self.world.network.isolate(place)

    def _do_heal(self) -> None:
        self.world.network.heal()

    def _do_lose(self, share: float) -> None:
        self.world.network.loss = share
        self.world.network.store_loss = share

    def _do_repeat(self, share: float) -> None:
        self.world.network.repeat = share

    def _do_pause(self, host: str) -> None:
        self.world.pause(host)

    def _do_resume(self, host: str) -> None:
        if self.world.hosts[host].state is not None:
            self.world.resume(host)

    def _do_crash(self, host: str) -> None:
        self.world.crash(host)

    def _do_begin(self, host: str) -> None:
        if self.world.hosts[host].state is None:
            self.world.start(host)

    def _do_stop(self, host: str) -> None:
        if self.world.hosts[host].state is not None:
            self.stopped.append(host)
            self.world.feed(host, DrainRequested(self.world.read_clock(host)))

    def _do_store_down(self) -> None:
        self.world.platform.down = True

    def _do_store_up(self) -> None:
        self.world.platform.down = False
        self.world.platform.delay = DELAY_US

    def _do_store_slow(self, delay: int) -> None:
        self.world.platform.delay = delay

    def _do_store_loses(self, count: int) -> None:
        self.world.platform.lose_answers = count

    def _do_target_acts(self, name: str, behaviour: str) -> None:
        target = self.world.targets[name]
        target.shed = behaviour == "sheds"
        target.broken = behaviour == "breaks"
        target.unreachable = behaviour == "vanishes"
        target.status = 500 if behaviour == "fails" else 200

    def _do_target_slow(self, name: str, duration: int) -> None:
        self.world.targets[name].service_time = duration

    def _do_domain_acts(self, domain: str, behaviour: str) -> None:
        for name, target in self.world.targets.items():
            if target.target.failure_domain == domain:
                self._do_target_acts(name, behaviour)

    def _do_drain_target(self, name: str) -> None:
        for service in self.deployment.document["services"].values():
            for target in service["targets"]:
                if target["name"] == name:
                    target["draining"] = True
        self._do_reapply()

    def _do_withdraw(self, account: str) -> None:
        self.deployment.document["accounts"][account]["keys"] = []
        self._do_reapply()

    def _do_change_rate(self, account: str, rate: float) -> None:
        self.deployment.document["accounts"][account]["rate_per_s"] = rate
        self._do_reapply()

    def _do_reapply(self) -> None:
        self.world.apply(self.deployment.to_text())


def draw_faults(faults: RandomFaults, world: World, seed: int) -> list[Act]:
    """Return random faults and the acts that undo them, from a seed."""
    rng = random.Random(f"{seed}/faults/{faults.line}")
    hosts = list(world.hosts)
    domains = list(world.inventory.failure_domains)
    acts: list[Act] = []
    for _ in range(faults.count):
        at = rng.randint(faults.start, faults.end)
        until = min(at + rng.randint(0, LONGEST_FAULT_US), faults.end)
        host = rng.choice(hosts)
        domain, other = rng.sample(domains, 2)
        kinds = (
            (("crash", (host,)), ("begin", (host,))),
            (("pause", (host,)), ("resume", (host,))),
            (("isolate", (domain,)), ("heal", ())),
            (("cut", (domain, other)), ("heal", ())),
            (("cut", (domain, PLATFORM)), ("heal", ())),
            (("store_down", ()), ("store_up", ())),
            (("store_slow", (MICROS_PER_SECOND,)), ("store_up", ())),
            (("store_loses", (3,)), ("store_loses", (0,))),
            (("lose", (0.1,)), ("lose", (0.0,))),
            (("repeat", (0.1,)), ("repeat", (0.0,))),
        )
        fault, undo = rng.choice(kinds)
        acts.append(Act(faults.line, at, *fault))
        acts.append(Act(faults.line, until, *undo))
    return sorted(acts, key=lambda act: act.at)

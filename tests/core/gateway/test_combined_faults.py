"""Faults of hosts and targets that overlap, drawn from a seed, in virtual time."""

from __future__ import annotations

import os
import random
from unittest import TestCase

from attrs import Factory, define

from almondgap_core.gateway.configuration import Account
from almondgap_core.units import MICROS_PER_SECOND, seconds
from almondgap_core.verdict import Verdict
from almondgap_testkit.gateways.builders import KEY, announce, build_configuration
from almondgap_testkit.gateways.simulation import Simulation

DOMAINS = ("a1", "a1", "a1", "a2", "a2", "b1", "b2", "b2")
TARGETS = 24
DURATION_S = 40
MANNERS = ("hang", "reset", "refuse")

#: Time for which a host must have been undisturbed to count.
CONTACT_US = seconds(3)

#: Sends of a request of death that are allowed later than that after its third crash,
#: and failures of first tries at partitioned hosts.
MAX_SENDS = 3
MAX_FAILURES, MAX_FAILURE_SHARE, MIN_SERVED_SHARE = 10, 1 / 50, 2 / 3

#: Seeds that are played, and the first of them.
COUNT = int(os.environ.get("ALMONDGAP_FAULT_SEEDS", "6"))
FIRST = int(os.environ.get("ALMONDGAP_FIRST_SEED", "1"))


@define
class Drill:
    """A fleet under drawn faults.

    :ivar disturbed: times at which hosts were killed, started, frozen or isolated, by
        host.
    :ivar cuts: partitions as host, begin and end.
    """

    sim: Simulation
    rng: random.Random
    disturbed: dict[str, list[int]] = Factory(dict)
    cuts: list[tuple[str, int, int]] = Factory(list)

    @classmethod
    def build(cls, seed: int) -> Drill:
        """Return a fleet under load, beside it a request of death."""
        rng = random.Random(seed)
        account = Account("one", frozenset({KEY}))
        cfg = build_configuration(accounts={"one": account})
        sim = Simulation(cfg, rng=rng, deadly={"deadly"})
        for number in range(TARGETS):
            failure_domain = ("a1", "b1", "a2", "b2")[number % 4]
            sim.add_target(
                announce(f"t{number}", slots=6, failure_domain=failure_domain)
            )
        drill = cls(sim, rng)
        for number in range(len(DOMAINS)):
            drill.start(f"h{number}")
        sim.run(seconds(4))
        hosts, length = list(sim.hosts), seconds(DURATION_S)
        sim.generate_load(hosts, 60, length)
        sim.generate_load(hosts, 30, length, path="/orders/1")
        deadly = {"content": "deadly", "object_prefix": "deadly", "things": 1}
        sim.generate_load(hosts, 3, length, start=seconds(rng.uniform(0, 10)), **deadly)
        return drill

    def start(self, name: str) -> None:
        self.sim.add_host(name, DOMAINS[int(name[1:])])
        self.disturb(name)

    def disturb(self, name: str) -> None:
        self.disturbed.setdefault(name, []).append(self.sim.clock.now)

    def play(self) -> None:
        """Draw a fault every second on average, and let it end."""
        end = self.sim.clock.now + seconds(DURATION_S)
        faults = {
            self.kill: 4,
            self.kill_all: 1,
            self.freeze: 3,
            self.isolate: 2,
            self.cut: 6,
            self.cut_domain: 1,
            self.crash: 2,
            self.pause: 2,
        }
        while self.sim.clock.now < end:
            self.rng.choices(list(faults), list(faults.values()))[0]()
            self.sim.run(round(self.rng.expovariate(1) * MICROS_PER_SECOND))
        self.sim.run(seconds(8))

    def kill(self) -> None:
        name = f"h{self.rng.randrange(len(DOMAINS))}"
        if self.sim.hosts[name].alive:
            self.sim.kill_host(name)
            self.disturb(name)
            self.later(0.5, 4, lambda: self.start(name))

    def kill_all(self) -> None:
        for name in [name for name, host in self.sim.hosts.items() if host.alive]:
            self.sim.kill_host(name)
            self.disturb(name)
            self.later(0.5, 2, lambda name=name: self.start(name))

    def isolate(self) -> None:
        if not self.sim.isolated:
            name = f"h{self.rng.randrange(len(DOMAINS))}"
            self.sim.isolated.add(name)
            self.disturb(name)
            self.later(1, 6, lambda: self.rejoin(name))

    def rejoin(self, name: str) -> None:
        self.sim.isolated.discard(name)
        self.disturb(name)

    def freeze(self) -> None:
        name = f"h{self.rng.randrange(len(DOMAINS))}"
        host = self.sim.hosts[name]
        if host.alive and host.frozen_until < self.sim.clock.now:
            duration = seconds(self.rng.uniform(0.3, 4))
            self.sim.freeze_host(name, duration)
            self.disturb(name)
            self.sim.clock.call_later(duration, lambda: self.disturb(name))

    def cut(self, name: str = "") -> None:
        name = name or f"h{self.rng.randrange(len(DOMAINS))}"
        if name not in self.sim.partitioned:
            self.sim.partition_host(name, self.rng.choice(MANNERS))
            begun = self.sim.clock.now
            self.later(2, 9, lambda: self.heal(name, begun))

    def cut_domain(self) -> None:
        """Partition most hosts of a failure domain at once."""
        failure_domain = self.rng.choice(DOMAINS)
        for number, each in enumerate(DOMAINS):
            if each == failure_domain and self.rng.random() < 0.9:
                self.cut(f"h{number}")

    def pause(self) -> None:
        target = self.sim.targets[f"t{self.rng.randrange(TARGETS)}"]
        length = seconds(self.rng.uniform(0.3, 10))
        target.rejects_until = self.sim.clock.now + length

    def heal(self, name: str, begun: int) -> None:
        del self.sim.partitioned[name]
        self.cuts.append((name, begun, self.sim.clock.now))

    def crash(self) -> None:
        for _ in range(self.rng.randint(1, 4)):
            self.sim.crash_target(f"t{self.rng.randrange(TARGETS)}")

    def later(self, least_s: float, most_s: float, act) -> None:
        self.sim.clock.call_later(seconds(self.rng.uniform(least_s, most_s)), act)

    def is_in_touch(self, name: str, at: int) -> bool:
        return not any(
            at - CONTACT_US <= disturbed <= at for disturbed in self.disturbed[name]
        )

    def is_cut(self, name: str, at: int) -> bool:
        return any(
            name == host and begun + CONTACT_US <= at < end
            for host, begun, end in self.cuts
        )

    def list_breaches(self) -> list[str]:
        """Return every broken promise, in words."""
        return [*self._judge_runs(), *self._judge_sends(), *self._judge_cuts()]

    def _judge_runs(self):
        runs: dict[str, int] = {}
        for target in self.sim.targets.values():
            for _, request_id in target.runs:
                runs[request_id] = runs.get(request_id, 0) + 1
        for outcome in self.sim.outcomes:
            count = runs.get(outcome.request_id, 0)
            if not outcome.idempotent and count > 1:
                yield f"{outcome.request_id} ran {count} times"
            refusal = outcome.refusal
            if refusal and refusal.verdict is Verdict.NOT_RUN and count:
                yield f"{outcome.request_id} ran, but {refusal}"

    def _judge_sends(self):
        sends = sorted(
            (at, host)
            for target in self.sim.targets.values()
            for at, content, host in target.contents
            if content == "deadly"
        )
        deadly = [at for at, _ in sends]
        crashes = sorted(
            at
            for target in self.sim.targets.values()
            for at in target.crashes
            if any(at - seconds(0.1) <= sent <= at for sent in deadly)
        )
        if len(crashes) < 3:
            return
        late = [
            (at, host)
            for at, host in sends
            if at > crashes[2] + CONTACT_US and self.is_in_touch(host, at)
        ]
        if len(late) > MAX_SENDS:
            yield f"request of death sent after its third crash by {late}"

    def _judge_cuts(self):
        counts = {True: [0, 0], False: [0, 0]}
        for outcome in self.sim.outcomes:
            at = outcome.started_at
            if self.is_in_touch(outcome.host, at) and outcome.content != "deadly":
                count = counts[self.is_cut(outcome.host, at)]
                count[0] += 1
                count[1] += outcome.status == 200
        (tries, served), (others, others_served) = counts[True], counts[False]
        allowed = MAX_FAILURES + tries * MAX_FAILURE_SHARE
        is_worse = served * others < MIN_SERVED_SHARE * others_served * tries
        if tries - served > allowed and is_worse:
            elsewhere = f"{others_served} of {others}"
            yield f"{served} of {tries} served in partitions, elsewhere {elsewhere}"


class CombinedFaultsTests(TestCase):
    def test_promises_hold_while_faults_overlap(self):
        for seed in range(FIRST, FIRST + COUNT):
            drill = Drill.build(seed)
            drill.play()
            with self.subTest(seed=seed):
                self.assertEqual(drill.list_breaches(), [])

"""A fleet that serves payments, as an example of at-most-once operations."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import contextmanager

from almondgap_core.events import DrainRequested
from almondgap_core.limits.partitions import list_partitions
from almondgap_core.operations.prefixes import issue_prefixes
from almondgap_core.steering.lookup import look_up
from almondgap_core.units import seconds
from almondgap_core.verdict import Reason, Verdict
from almondgap_testkit.builders import build_document
from almondgap_testkit.fakes.leases import FakeLeases
from almondgap_testkit.fakes.world import FakeAnswer, World

HOSTS = {"a-1": "a", "a-2": "a", "a-3": "a", "b-1": "b", "b-2": "b"}
TARGETS_PER_DOMAIN = 12
SERVICE = "shop"
ACCOUNT = "one"

#: Refusals given before the operation's record is looked up.
REQUEST_REASONS = (Reason.NOT_READY, Reason.STOPPING, Reason.KEYS_STALE)


def build_payment_text(slots: int = 50) -> str:
    """Return an inventory with targets in both domains and no effective rate limit."""
    document = build_document()
    document["services"][SERVICE]["targets"] = [
        {
            "name": f"shop-{domain}-{number}",
            "failure_domain": domain,
            "address": "127.0.0.1",
            "port": 9000 + number,
            "slots": slots,
            "connections": 100,
        }
        for domain in ("a", "b")
        for number in range(TARGETS_PER_DOMAIN)
    ]
    document["accounts"][ACCOUNT].update(rate_per_s=100_000, burst=100_000)
    return json.dumps(document)


class Payments:
    """A world, its leases, and the operations that callers sent.

    :ivar hosts: failure domain of each host by name.
    :ivar sent: operation key by label.
    """

    def __init__(self, seed: int = 1, hosts: dict[str, str] | None = None) -> None:
        self.hosts = hosts or HOSTS
        self.leases = FakeLeases()
        self.world = World(build_payment_text(), self.hosts, seed)
        self.sent: dict[str, str] = {}
        inventory = self.world.inventory
        for domain in sorted(set(self.hosts.values())):
            near = sorted(h for h, d in self.hosts.items() if d == domain)
            for number, partition in enumerate(list_partitions(inventory, domain)):
                self.leases.give(partition, near[number % len(near)])

    @classmethod
    @contextmanager
    def begin(cls, seed: int = 1, hosts=None) -> Iterator[Payments]:
        """Yield a fleet that is ready to serve, with fake leases in place."""
        payments = cls(seed, hosts)
        with payments.leases.in_force():
            payments.run(3)
            yield payments

    @classmethod
    def begin_with_table(cls, seed: int = 1, hosts=None) -> Payments:
        """Return a fleet that is ready to serve, with real leases in the table."""
        payments = cls(seed, hosts)
        payments.run(5)
        return payments

    def run(self, duration_s: float) -> None:
        """Advance the clock by a number of seconds."""
        self.world.run(seconds(duration_s))

    def look_up(self, host: str) -> str:
        """Return an operation prefix issued by a host, or "" if it issues none."""
        state = self.world.hosts[host].state
        prefixes = issue_prefixes(state, self.world.read_clock(host))
        return self.world.rng.choice(prefixes) if prefixes else ""

    def pay(self, host: str, key: str, label: str, digest: bytes = b"d") -> str:
        """Send an operation and return the request's identifier."""
        return self.world.call(
            host, SERVICE, ACCOUNT, "POST", label, operation=key, digest=digest
        )

    def begin_payment(self, host: str, label: str, entry: str | None = None) -> str:
        """Send a new operation with a prefix issued by ``host``.

        :param entry: host that receives the request; ``host`` if None.
        """
        self.sent[label] = f"{self.look_up(host)}.{label}"
        return self.pay(entry or host, self.sent[label], label)

    def repeat(self, host: str, label: str) -> str:
        """Resend an operation that was sent before, with the same key."""
        return self.pay(host, self.sent[label], label)

    def answer(self, req_id: str) -> FakeAnswer:
        """Return the answer that the caller received."""
        return self.world.answers[req_id]

    def count_runs(self, label: str) -> int:
        """Return the number of times that targets ran an operation."""
        return sum(t.ran.get(label, 0) for t in self.world.targets.values())

    def count_greatest_runs(self) -> int:
        """Return the maximum number of runs over all operations."""
        labels = {label for t in self.world.targets.values() for label in t.ran}
        return max(map(self.count_runs, labels), default=0)

    def list_false_verdicts(self) -> list[str]:
        """Return requests answered "not run" although the operation had run by then.

        Refusals that concern only the request, not the operation, do not count.
        """
        return [
            req_id
            for req_id, answer in self.world.answers.items()
            if answer.verdict is Verdict.NOT_RUN
            and answer.refusal.reason not in REQUEST_REASONS
            and self._has_run(self.world.labels[req_id], answer.answered)
        ]

    def _has_run(self, label: str, time: int) -> bool:
        targets = self.world.targets.values()
        return any(t.first_ran.get(label, time + 1) <= time for t in targets)

    def crash(self, host: str) -> None:
        """Crash a host; hosts of its failure domain take its partitions over."""
        self.world.crash(host)
        self.leases.drop_stale_tenures(host)
        self._unlist(host)
        self.take_over(host)

    def take_over(self, host: str) -> None:
        """Reassign a host's partitions to others of its domain, at new epochs."""
        domain = self.hosts[host]
        near = [
            name
            for name, place in self.hosts.items()
            if place == domain and name != host and self.world.hosts[name].state
        ]
        for number, partition in enumerate(self.leases.list_held(host)):
            heir = near[number % len(near)] if near else None
            self.leases.give(partition, heir)

    def restart(self, host: str) -> None:
        """Restart a host and assign it the free partitions of its failure domain."""
        self.world.start(host)
        entry = self.world.hosts[host].entry
        self.world.listed = (*self.world.listed, entry)
        for partition in list_partitions(self.world.inventory, self.hosts[host]):
            if partition not in self.leases.tenures:
                self.leases.give(partition, host)

    def drain(self, host: str, deadline_s: float = 30) -> None:
        """Start draining a host."""
        now = self.world.read_clock(host)
        self.world.feed(host, DrainRequested(now, now + seconds(deadline_s)))

    def is_named(self, asked: str, host: str) -> bool:
        """Return whether a look-up at the host ``asked`` returns ``host``."""
        state = self.world.hosts[asked].state
        answer = look_up(state, SERVICE, self.world.read_clock(asked))
        return host in [entry.host for entry in answer.hosts]

    def _unlist(self, host: str) -> None:
        self.world.listed = tuple(e for e in self.world.listed if e.name != host)

"""A fleet over three failure domains, for tests of the withdrawal of keys."""

from __future__ import annotations

import json
from typing import Any

from almondgap_core.units import seconds
from almondgap_core.verdict import Reason
from almondgap_testkit.fakes.payments import build_payment_text
from almondgap_testkit.fakes.world import FakeAnswer, World

HOSTS = {"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b", "c-1": "c"}
DOMAINS = ("a", "b", "c")
SERVICE = "shop"
OPEN_SERVICE = "hours"
ACCOUNT = "one"

#: Reasons of refusals that concern the key.
KEY_REASONS = (Reason.KEY_MISSING, Reason.KEY_UNKNOWN, Reason.KEYS_STALE)

#: Maximum age of the evidence on which the fleet trusts its keys.
BOUND_S = 12
OUTAGE_BOUND_S = 900


def build_trust_document(silent_domains: int = 0) -> dict[str, Any]:
    """Return an inventory over three failure domains, with an open service."""
    document = json.loads(build_payment_text())
    document["regions"] = {
        name: {"failure_domains": [name], "capacity_per_s": 100} for name in DOMAINS
    }
    targets = document["services"][SERVICE]["targets"]
    for target in list(targets):
        if target["failure_domain"] == "a":
            name = target["name"].replace("-a-", "-c-")
            targets.append({**target, "name": name, "failure_domain": "c"})
    document["services"][OPEN_SERVICE] = {
        "open": True,
        "targets": [{**t, "name": "open-" + t["name"]} for t in targets],
    }
    document["key_trust"] = {
        "bound_s": BOUND_S,
        "outage_bound_s": OUTAGE_BOUND_S,
        "silent_domains": silent_domains,
    }
    return document


class Withdrawals:
    """A world in which one account's key is withdrawn.

    :ivar document: inventory that is in force.
    :ivar withdrawn: time of the withdrawal in microseconds; None before it.
    """

    def __init__(self, seed: int = 1, silent_domains: int = 0) -> None:
        self.document = build_trust_document(silent_domains)
        self.world = World(json.dumps(self.document), HOSTS, seed)
        self.withdrawn: int | None = None
        self.run(6)

    def run(self, duration_s: float) -> None:
        """Advance the clock by a number of seconds."""
        self.world.run(seconds(duration_s))

    def withdraw(self) -> None:
        """Withdraw the key, as an operator with access to the store does."""
        self.document["accounts"][ACCOUNT]["keys"] = []
        self.world.apply(json.dumps(self.document))
        self.withdrawn = self.world.clock.now

    def ask(self, host: str, service: str = SERVICE) -> FakeAnswer:
        """Send a request, with the key unless it is for the open service."""
        account = "" if service == OPEN_SERVICE else ACCOUNT
        return self.world.answers[self.world.call(host, service, account)]

    def probe(self, service: str = SERVICE) -> dict[str, bool]:
        """Return for every running host whether it accepts the key."""
        answers = {
            name: self.ask(name, service)
            for name, host in self.world.hosts.items()
            if host.state is not None and not host.paused
        }
        self.run(1)
        return {name: _is_key_accepted(answer) for name, answer in answers.items()}


def _is_key_accepted(answer: FakeAnswer) -> bool:
    return answer.refusal is None or answer.refusal.reason not in KEY_REASONS

"""A world for tests of rate limits: requests end when they get a token or a refusal."""

from __future__ import annotations

import json
from collections.abc import Mapping

from attrs import define

from almondgap_core import reducer
from almondgap_core.events import RateAsked, RateGranted, RateRefused
from almondgap_core.limits.bucket import Bucket
from almondgap_core.limits.catalogue import Limit
from almondgap_core.state import HostState
from almondgap_core.units import MILLIS_PER_UNIT, seconds
from almondgap_testkit.builders import build_document
from almondgap_testkit.fakes.world import World

#: Time that a caller waits for its answer.
ANSWER_TIMEOUT_US = seconds(2)


@define
class RateRequest:
    """One request for a token.

    :ivar asked: time at which it was sent, in microseconds.
    :ivar admitted: time at which it got its token, None if it did not.
    :ivar refused: time at which it was refused, None if it was not.
    :ivar retry_after: wait that the refusal advises, in microseconds.
    """

    host: str
    account: str
    asked: int
    admitted: int | None = None
    refused: int | None = None
    retry_after: int = 0


def build_rate_text(
    limits: Mapping[str, Limit], domains: Mapping[str, str], partitions: int = 4
) -> str:
    """Return an inventory with the given limits of accounts.

    :param limits: limit of each client account by name.
    :param domains: region of each failure domain by name.
    :param partitions: number of partitions per failure domain.
    """
    document = build_document()
    document["partitions_per_domain"] = partitions
    document["regions"] = {}
    for domain, region in domains.items():
        entry = {"failure_domains": [], "capacity_per_s": 100_000}
        place = document["regions"].setdefault(region, entry)
        place["failure_domains"].append(domain)
    for target in document["services"]["shop"]["targets"]:
        target["failure_domain"] = next(iter(domains))
    document["accounts"] = {
        name: {"rate_per_s": limit.rate / MILLIS_PER_UNIT, "burst": limit.burst}
        for name, limit in limits.items()
    }
    return json.dumps(document)


class RateWorld(World):
    """A world whose requests only ask for a rate-limit token.

    :ivar limits: limit of each client account by name.
    :ivar requests: requests by identifier, in order of sending.
    """

    def __init__(
        self,
        limits: Mapping[str, Limit],
        hosts: Mapping[str, str],
        domains: Mapping[str, str],
        seed: int = 1,
    ) -> None:
        """Create a world at time 0; see :func:`build_rate_text` for the parameters."""
        self.limits = dict(limits)
        self.requests: dict[str, RateRequest] = {}
        super().__init__(build_rate_text(limits, domains), dict(hosts), seed)

    def ask(self, host: str, account: str) -> str:
        """Send a request to a host and return its identifier."""
        req_id = f"q{len(self.requests) + 1}"
        self.requests[req_id] = RateRequest(host, account, self.clock.now)

        def arrive() -> None:
            now = self.read_clock(host)
            if self.hosts[host].state.inventory is not None:
                asked = RateAsked(now, req_id, account, now + ANSWER_TIMEOUT_US)
                self.feed(host, asked)

        if self.hosts[host].state is not None:
            self._enter(host, self.hosts[host].state, arrive)
        return req_id

    def feed(self, name, event) -> None:
        """Let a host handle an event, and record its decisions on tokens."""
        handlers = reducer.EVENT_HANDLERS
        kept = handlers[RateGranted], handlers[RateRefused]
        handlers[RateGranted] = (self._note_granted,)
        handlers[RateRefused] = (self._note_refused,)
        try:
            super().feed(name, event)
        finally:
            handlers[RateGranted], handlers[RateRefused] = kept

    def count_overshoot(self, account: str) -> int:
        """Return how many requests were admitted in excess of the limit.

        Admissions stay within ``rate * w + burst`` in every window of length ``w`` if
        and only if a token bucket that starts full can serve them all.
        """
        limit = self.limits[account]
        bucket = Bucket.full(limit.rate, limit.burst, 0)
        times = sorted(
            request.admitted
            for request in self.requests.values()
            if request.account == account and request.admitted is not None
        )
        return sum(not bucket.take(at) for at in times)

    def list_wrongly_refused(self, account: str, since: int = 0) -> list[str]:
        """Return requests not admitted that one central bucket would have admitted.

        :param since: ignore requests sent before this time, in microseconds.
        """
        limit = self.limits[account]
        bucket = Bucket.full(limit.rate, limit.burst, 0)
        wrongful = []
        for req_id, request in self.requests.items():
            if request.account != account:
                continue
            inside = bucket.take(request.asked)
            if inside and request.admitted is None and request.asked >= since:
                wrongful.append(req_id)
        return wrongful

    def _note_granted(self, state: HostState, event: RateGranted) -> None:
        self.requests[event.req_id].admitted = self.clock.now

    def _note_refused(self, state: HostState, event: RateRefused) -> None:
        request = self.requests[event.req_id]
        request.refused = self.clock.now
        request.retry_after = event.retry_after

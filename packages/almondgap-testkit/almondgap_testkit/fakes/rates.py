"""A world in which only rates decide: requests end with their token or refusal."""

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

#: Time that a caller waits for its answer, in microseconds.
ANSWER_TIMEOUT_US = seconds(2)


@define
class RateRequest:
    """One request for a token.

    :ivar asked: when it arrived, in microseconds.
    :ivar admitted: when it got its token, None if it did not.
    :ivar refused: when it was refused, None if it was not.
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
    """Return an inventory with these limits of accounts.

    :param limits: by name of account.
    :param domains: region of each failure domain.
    :param partitions: partitions of each failure domain.
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
    """A world whose requests ask for a token and nothing else.

    :ivar requests: by identifier, in order of arrival.
    """

    def __init__(
        self,
        limits: Mapping[str, Limit],
        hosts: Mapping[str, str],
        domains: Mapping[str, str],
        seed: int = 1,
    ) -> None:
        """Make a world that stands still; see :func:`build_rate_text`."""
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
        """Let a host handle an event; note what it decides on rates."""
        handlers = reducer.EVENT_HANDLERS
        kept = handlers[RateGranted], handlers[RateRefused]
        handlers[RateGranted] = (self._note_granted,)
        handlers[RateRefused] = (self._note_refused,)
        try:
            super().feed(name, event)
        finally:
            handlers[RateGranted], handlers[RateRefused] = kept

    def count_overshoot(self, account: str) -> int:
        """Return how many requests were admitted beyond the limit in some window.

        A run of admissions keeps ``rate * w + burst`` in every window exactly if a
        bucket that starts full can serve it.
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
        """Return the requests that were refused and one central bucket had admitted."""
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

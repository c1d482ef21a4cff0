"""Callers: look-ups whose answers they cache, and requests in an open loop."""

from __future__ import annotations

import json
import random
import time

import treq
from attrs import Factory, define, frozen
from twisted.internet import reactor
from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks
from twisted.internet.error import ConnectError
from twisted.internet.task import deferLater
from twisted.web.client import Agent

from almondgap_testkit.demo.sample import Sample

CONNECT_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 10.0
MAX_TRIES = 4


@frozen
class Account:
    """One client account's traffic.

    :ivar key: its key.
    :ivar rate_per_s: mean rate at which it sends.
    :ivar posts: share of its requests that are payments, from 0 to 1.
    """

    name: str
    key: str
    rate_per_s: float
    posts: float


@frozen
class Place:
    """A host that a look-up named."""

    name: str
    url: str


@define
class CachedLookup:
    """A look-up's answer until it expires.

    :ivar prefix: start of every operation's key, empty if the answer has none.
    """

    places: tuple[Place, ...]
    expires: float
    prefix: str


@define
class Callers:
    """All callers of the demo.

    :ivar doors: addresses and ports of entry hosts that callers know beforehand.
    :ivar seed: every choice of the callers follows from it.
    """

    doors: tuple[str, ...]
    seed: int
    samples: list[Sample] = Factory(list)
    lookups: dict[tuple[str, str], CachedLookup] = Factory(dict)
    agent: Agent = Factory(lambda: Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S))

    def run(self, accounts: tuple[Account, ...], duration_s: float) -> Deferred:
        """Send traffic for all accounts; fires once every request is over."""
        return DeferredList(
            [self._run_account(account, duration_s) for account in accounts],
            fireOnOneErrback=True,
        )

    @inlineCallbacks
    def _run_account(self, account: Account, duration_s: float):
        draw = random.Random(f"{self.seed}/{account.name}")
        began = time.monotonic()
        due = began + draw.expovariate(account.rate_per_s)
        running = []
        while due < began + duration_s:
            yield deferLater(reactor, max(due - time.monotonic(), 0), lambda: None)
            running.append(self._send(account, draw, due))
            due += draw.expovariate(account.rate_per_s)
        yield DeferredList(running, fireOnOneErrback=True)

    @inlineCallbacks
    def _send(self, account: Account, draw: random.Random, due: float):
        paying = draw.random() < account.posts
        service = "tickets" if paying else draw.choice(("climb-slots", "peal-register"))
        label = f"{account.name}-{len(self.samples)}"
        method = "POST" if paying else "GET"
        sample = Sample(account.name, method, label, due)
        self.samples.append(sample)
        for _ in range(MAX_TRIES):
            lookup = yield self._look_up(account.name, service, draw)
            if lookup is None:
                continue
            again = yield self._try(sample, account, service, lookup)
            if not again:
                break
        sample.ended = time.monotonic()

    @inlineCallbacks
    def _look_up(self, account: str, service: str, draw: random.Random):
        cached = self.lookups.get((account, service))
        if cached is not None and cached.places and time.monotonic() < cached.expires:
            return cached
        url = f"http://{draw.choice(self.doors)}/v1/lookup?service={service}"
        try:
            response = yield treq.get(url, agent=self.agent, timeout=CONNECT_TIMEOUT_S)
            body = yield response.json()
            places = tuple(
                Place(h["host"], f"http://{h['address']}:{h['port']}")
                for h in body["hosts"]
            )
        except Exception:
            return None
        expires = time.monotonic() + body["ttl"]
        found = CachedLookup(places, expires, body.get("operation_prefix") or "")
        self.lookups[account, service] = found
        return found

    @inlineCallbacks
    def _try(self, sample: Sample, account: Account, service: str, lookup):
        if not lookup.places:
            return True
        place = lookup.places[0]
        headers = {"Almondgap-Key": account.key, "X-Label": sample.label}
        if lookup.prefix:
            headers["Idempotency-Key"] = f"{lookup.prefix}.{sample.label}"
        try:
            response = yield treq.request(
                sample.method,
                f"{place.url}/v1/call/{service}/{sample.label}",
                headers=headers,
                agent=self.agent,
                timeout=ANSWER_TIMEOUT_S,
            )
            data = yield response.content()
        except ConnectError:
            _forget(lookup, place)
            return True
        except Exception:
            sample.broken_at.append(place.name)
            _forget(lookup, place)
            return sample.method == "GET"
        _note_answer(sample, place, response, data)
        if sample.status == 503 and sample.refused:
            _forget(lookup, place)
            return True
        return False


def _forget(lookup: CachedLookup, place: Place) -> None:
    lookup.places = tuple(p for p in lookup.places if p != place)


def _note_answer(sample: Sample, place: Place, response, data: bytes) -> None:
    sample.status = response.code
    sample.host = place.name
    sample.verdict = response.headers.getRawHeaders("Almondgap-Verdict", [""])[0]
    try:
        body = json.loads(data)
    except ValueError:
        sample.whole = False
        return
    sample.reason = body.get("reason", "")
    if sample.status == 200:
        sample.whole = body.get("path") == f"/{sample.label}"

"""Models of targets and hosts in the simulation, and what became of requests."""

from __future__ import annotations

from collections import deque
from math import inf

from attrs import Factory, define

from almondgap_core.gateway.effects import Relay, Send
from almondgap_core.gateway.events import CallArrived
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.target import Announcement
from almondgap_core.units import millis
from almondgap_core.verdict import Refusal

#: Cache size of a model target, and service time of a cache miss relative to a hit: in
#: recorded runs a target evicted an object after some 16 others.
MAX_CACHED_OBJECTS = 16
CACHE_MISS_COST = 3.3


@define(eq=False)
class ModelTarget:
    """A target with slots, a queue and a cache.

    :ivar service_time: service time of a cache hit, in microseconds.
    :ivar queue_length: maximum number of waiting requests.
    :ivar max_cached: number of objects in its cache.
    :ivar miss_cost: service time of a cache miss relative to a hit.
    :ivar mode: ``well``, ``dead`` (refuses connections), ``silent`` (never answers),
        ``failing`` (answers 500), ``shedding`` (answers that it did not run).
    :ivar rate_limit: requests per second that it advertises, infinity for
        none, None for a malformed value.
    :ivar leaving: whether it says in its answers that it leaves.
    :ivar rejects_until: until when it turns requests away, and says so.
    :ivar told: when hosts received what it says of itself, each with the host and the
        time until which it wants no requests, None if it leaves.
    :ivar arrivals: times of all requests that reached it, each with its host.
    :ivar runs: request ids that it started to process, with the time.
    :ivar contents: times, contents and hosts of the requests that reached it.
    :ivar crashes: times at which it crashed.
    :ivar cache_misses: number of objects that it had to fetch.
    """

    announcement: Announcement
    service_time: int = millis(100)
    queue_length: int = 9
    max_cached: int = MAX_CACHED_OBJECTS
    miss_cost: float = CACHE_MISS_COST
    mode: str = "well"
    rate_limit: float | None = inf
    leaving: bool = False
    rejects_until: int = 0
    told: list[tuple[int, str, int | None]] = Factory(list)
    running: int = 0
    waiting: deque = Factory(deque)
    cached: dict[str, int] = Factory(dict)
    arrivals: list[tuple[int, str]] = Factory(list)
    runs: list[tuple[int, str]] = Factory(list)
    contents: list[tuple[int, str, str]] = Factory(list)
    crashes: list[int] = Factory(list)
    cache_misses: int = 0

    def compute_service_time(self, affinity_key: str) -> int:
        """Look up an object in the cache and return the service time of the request."""
        hit = affinity_key in self.cached
        self.cache_misses += not hit
        self.cached.pop(affinity_key, None)
        self.cached[affinity_key] = 1
        while len(self.cached) > self.max_cached:
            del self.cached[next(iter(self.cached))]
        return self.service_time if hit else round(self.service_time * self.miss_cost)


@define
class RequestOutcome:
    """The outcome of a caller's request; times in microseconds.

    :ivar refusal: the host's own answer, None if a target answered.
    :ivar content: content of the request.
    """

    request_id: str
    host: str
    started_at: int
    ended_at: int
    idempotent: bool
    status: int
    refusal: Refusal | None = None
    content: str = ""

    @property
    def latency(self) -> int:
        """Time from the request to the answer, in microseconds."""
        return self.ended_at - self.started_at


@define(eq=False)
class ModelHost:
    """A gateway in the simulation.

    :ivar frozen_until: until when it stands still; events wait.
    :ivar open: requests without an answer, by number.
    :ivar attempts: attempts in flight, by request and attempt number.
    :ivar origins: hosts that handed requests over to this one, by request.
    :ivar relayed_answers: answers of other hosts to this host's requests, by request.
    """

    state: GatewayState
    alive: bool = True
    frozen_until: int = 0
    open: dict[int, CallArrived] = Factory(dict)
    attempts: dict[tuple[int, int], Send] = Factory(dict)
    origins: dict[int, tuple[ModelHost, Relay]] = Factory(dict)
    relayed_answers: dict[int, tuple[int, Refusal | None]] = Factory(dict)

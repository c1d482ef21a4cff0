"""Targets as this host knows them, from their announcements and its own requests."""

from __future__ import annotations

from math import inf

from attrs import Factory, define, frozen

from almondgap_core.units import seconds

#: Weight of the newest sample in the moving averages of a target: about the last five
#: answers count.
SAMPLE_WEIGHT = 0.2

#: Time in which an observation of a target loses half its weight: half the usual length
#: of a disturbance, so that a recovered target is tried again.
HALF_LIFE_US = seconds(4)

#: Number of answers with the usual share of failures that are assumed beside those
#: observed.
ASSUMED_ANSWERS = 4.0

#: Time in which a reported load loses half its weight: about one request's service
#: time.
LOAD_HALF_LIFE_US = seconds(0.5)

#: Bounds of a target's slowdown relative to other targets of its service.
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 20.0

#: Number of objects that a target is assumed to have in its cache, and for how long.
#: Targets keep some 20 to 26 objects, and other hosts send theirs too.
MAX_RECENT_OBJECTS = 16
RECENT_OBJECT_TTL_US = seconds(10)


@frozen
class Announcement:
    """The latest announcement of a target.

    :ivar incarnation: number of this run of the target, greater than that of earlier
        runs.
    :ivar sequence: number of the announcement within the run.
    :ivar slots: requests that the target processes at a time.
    :ivar warmup_left: remaining time of its warm-up, in microseconds.
    """

    target: str
    incarnation: int
    sequence: int
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool = False
    warmup_left: int = 0

    @property
    def age(self) -> tuple[int, int]:
        """Incarnation and sequence, by which announcements of a target are ordered."""
        return self.incarnation, self.sequence


@define
class DecayingAverage:
    """A moving average that decays towards a baseline over time.

    :ivar baseline: value towards which the average decays.
    :ivar value: the average at ``updated_at``.
    :ivar updated_at: when the last sample was added, in microseconds.
    """

    baseline: float
    value: float
    updated_at: int = 0

    def read(self, now: int) -> float:
        """Return the average, closer to the baseline the older it is."""
        weight = 0.5 ** (max(0, now - self.updated_at) / HALF_LIFE_US)
        return self.baseline + (self.value - self.baseline) * weight

    def add(self, sample: float, now: int) -> None:
        """Add a sample."""
        self.value = self.read(now) * (1 - SAMPLE_WEIGHT) + sample * SAMPLE_WEIGHT
        self.updated_at = now


@define
class FailureShare:
    """Share of failures among recent answers, as far as there is evidence.

    Handles targets that fail one request in hundreds as well as those that fail half:
    a single failure among many answers says little, one without any other answer more.
    A target of which little is known is assumed to fail as often as others do, so that
    a failure of all targets alike moves no object.

    :ivar failures: failures, each with half its weight after a half-life.
    :ivar answers: answers and failures, with the same weights.
    :ivar updated_at: when the last one was added, in microseconds.
    """

    failures: float = 0.0
    answers: float = 0.0
    updated_at: int = 0

    def read(self, now: int, usual: float = 0.0) -> float:
        """Return the share, closer to the usual one the fewer answers there are.

        :param usual: share of failures at all targets of the service.
        """
        weight = 0.5 ** (max(0, now - self.updated_at) / HALF_LIFE_US)
        failures = self.failures * weight + usual * ASSUMED_ANSWERS
        return failures / (self.answers * weight + ASSUMED_ANSWERS)

    def add(self, failure: float, now: int) -> None:
        """Add an answer.

        :param failure: 1 for a failure, 0 for a success, or between.
        """
        weight = 0.5 ** (max(0, now - self.updated_at) / HALF_LIFE_US)
        self.failures = self.failures * weight + failure
        self.answers = self.answers * weight + 1.0
        self.updated_at = now


@define
class TargetLimit:
    """An advertised rate limit and this host's part of it; times in microseconds.

    :ivar rate: requests per second from all hosts together, infinity for no limit.
    :ivar observed_at: when an answer to any host said so, as far as this host knows.
    :ivar observed_here: whether that answer went to this host.
    :ivar tokens: requests that this host may send now.
    :ivar refilled_at: when tokens were last added.
    :ivar tried_at: when this host last sent a request without a token.
    """

    rate: float = inf
    observed_at: int = 0
    observed_here: bool = False
    tokens: float = 0.0
    refilled_at: int = 0
    tried_at: int = 0

    @property
    def in_force(self) -> bool:
        """Whether there is a limit."""
        return self.rate != inf


@define
class TargetNotice:
    """What a run of a target said of itself in answers; times in microseconds.

    :ivar seen_at: when the target was last known to this host.
    :ivar leaving: whether it leaves.
    :ivar paused_until: until when it wants no requests of this host.
    """

    incarnation: int
    seen_at: int
    leaving: bool = False
    paused_until: int = 0

    def applies_to(self, target: Target) -> bool:
        """Return whether it was said by the target's present run."""
        return self.incarnation == target.announcement.incarnation


@define
class Target:
    """A target and what this host has observed of it; times in microseconds.

    :ivar known_since: when this host first learned of this run of the target.
    :ivar in_flight: requests of this host that the target has now.
    :ivar peer_load: requests of other hosts that it had according to its last report.
    :ivar load_reported_at: when it last reported its load.
    :ivar slowdown: its latency relative to other targets of its service.
    :ivar failure_share: share of failures among its recent answers.
    :ivar consecutive_timeouts: requests in a row that it left without an answer.
    :ivar down_since: when it was marked as down, None while it is up.
    :ivar next_probe_at: when it is probed next while it is down.
    :ivar failed_probes: number of probes that failed in a row.
    :ivar backoff_until: when it may receive requests again after it rejected one.
    :ivar warmup_until: when its warm-up ends.
    :ivar next_warmup_at: earliest time of the next request to it during warm-up.
    :ivar limit: rate limit that it advertised.
    :ivar recent_objects: objects that this host sent to it, with the time of the last
        request.
    """

    announcement: Announcement
    known_since: int
    in_flight: int = 0
    peer_load: float = 0.0
    load_reported_at: int = 0
    slowdown: DecayingAverage = Factory(lambda: DecayingAverage(1.0, 1.0))
    failure_share: FailureShare = Factory(FailureShare)
    consecutive_timeouts: int = 0
    down_since: int | None = None
    next_probe_at: int = 0
    failed_probes: int = 0
    backoff_until: int = 0
    warmup_until: int = 0
    next_warmup_at: int = 0
    limit: TargetLimit = Factory(TargetLimit)
    recent_objects: dict[str, int] = Factory(dict)

    @property
    def name(self) -> str:
        """The name of the target."""
        return self.announcement.target

    def compute_load(self, now: int) -> float:
        """Return the estimated number of requests that it has now, from all hosts."""
        age = max(0, now - self.load_reported_at)
        return self.in_flight + self.peer_load * 0.5 ** (age / LOAD_HALF_LIFE_US)

    def record_load(self, running: int, waiting: int, now: int) -> None:
        """Record the load that it reported with an answer to this host."""
        self.peer_load = max(0, running + waiting - self.in_flight)
        self.load_reported_at = now

    def has_recent_object(self, affinity_key: str, now: int) -> bool:
        """Return whether this host sent it an object recently."""
        at = self.recent_objects.get(affinity_key)
        return at is not None and now - at < RECENT_OBJECT_TTL_US

    def record_object(self, affinity_key: str, now: int) -> None:
        """Record that it now handles an object."""
        self.recent_objects.pop(affinity_key, None)
        self.recent_objects[affinity_key] = now
        while len(self.recent_objects) > MAX_RECENT_OBJECTS:
            del self.recent_objects[next(iter(self.recent_objects))]

    def reset_observations(self, now: int) -> None:
        """Discard observations of an earlier run after the target restarted."""
        self.known_since = now
        self.peer_load = 0.0
        self.slowdown = DecayingAverage(1.0, 1.0)
        self.failure_share = FailureShare()
        self.consecutive_timeouts = 0
        self.down_since = None
        self.failed_probes = 0
        self.backoff_until = 0
        self.limit = TargetLimit()
        self.recent_objects.clear()

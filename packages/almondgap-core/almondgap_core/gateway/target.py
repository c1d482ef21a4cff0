"""Targets as this host knows them: what they announce and what was seen of them."""

from __future__ import annotations

from attrs import Factory, define, frozen

from almondgap_core.units import seconds

#: Weight of the newest answer in the moving averages of a target: about the last five
#: answers count.
SAMPLE_WEIGHT = 0.2

#: Time in which what was seen of a target loses half its weight: half of the usual
#: length of a disturbance, so that a target that recovered is tried again.
HALF_LIFE_US = seconds(4)

#: Time in which a reported load loses half its weight: about one request's work.
LOAD_HALF_LIFE_US = seconds(0.5)

#: Bounds of the pace of a target against others of its service.
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 20.0

#: Objects that a target is taken to keep warm, and for how long: targets keep some 20
#: to 26 of them, and other hosts send theirs too.
MAX_RECENT_OBJECTS = 16
RECENT_OBJECT_TTL_US = seconds(10)


@frozen
class Announcement:
    """What a target last said of itself.

    :ivar incarnation: number of this run of the target, greater than earlier ones.
    :ivar sequence: number of the announcement within the run.
    :ivar cold_left: how much longer it stays cold, in microseconds.
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


@define
class DecayingAverage:
    """A moving average that falls back to a resting value with age.

    :ivar value: the average when it was last changed.
    :ivar at: when that was, in microseconds.
    """

    baseline: float
    value: float
    updated_at: int = 0

    def read(self, now: int) -> float:
        """Return the average, nearer to the resting value the older it is."""
        trust = 0.5 ** (max(0, now - self.updated_at) / HALF_LIFE_US)
        return self.baseline + (self.value - self.baseline) * trust

    def add(self, sample: float, now: int) -> None:
        """Count a new sample."""
        self.value = self.read(now) * (1 - SAMPLE_WEIGHT) + sample * SAMPLE_WEIGHT
        self.updated_at = now


@define
class Target:
    """A target and what this host has seen of it.

    :ivar known_since: when this host first heard of this run of it.
    :ivar running: requests of this host that it has now.
    :ivar foreign: requests of other hosts that it had when it last told.
    :ivar told_at: when it last told its load.
    :ivar pace: time that it takes for work, in relation to others of its service.
    :ivar failing: share of its answers that are failures.
    :ivar silent: requests in a row that it left without an answer.
    :ivar down_since: when connections to it began to fail, None while they work.
    :ivar probe_at: when it is probed next while it is down.
    :ivar probes: probes in a row that failed.
    :ivar full_until: when it may be asked again after it said it was full.
    :ivar cold_until: when it stops being cold.
    :ivar cold_next: earliest time of the next request to it while it is cold.
    :ivar warm: objects that this host sent to it, with the time of the last request.
    """

    announcement: Announcement
    known_since: int
    in_flight: int = 0
    peer_load: float = 0.0
    load_reported_at: int = 0
    slowdown: DecayingAverage = Factory(lambda: DecayingAverage(1.0, 1.0))
    failure_rate: DecayingAverage = Factory(lambda: DecayingAverage(0.0, 0.0))
    consecutive_timeouts: int = 0
    down_since: int | None = None
    next_probe_at: int = 0
    failed_probes: int = 0
    backoff_until: int = 0
    warmup_until: int = 0
    next_warmup_at: int = 0
    recent_objects: dict[str, int] = Factory(dict)

    @property
    def name(self) -> str:
        """The name of the target."""
        return self.announcement.target

    def compute_load(self, now: int) -> float:
        """Return the requests that it is likely to have now, from all hosts."""
        age = max(0, now - self.load_reported_at)
        return self.in_flight + self.peer_load * 0.5 ** (age / LOAD_HALF_LIFE_US)

    def record_load(self, running: int, waiting: int, now: int) -> None:
        """Note what it told of its load with the answer to a request of this host."""
        self.peer_load = max(0, running + waiting - self.in_flight)
        self.load_reported_at = now

    def has_recent_object(self, affinity_key: str, now: int) -> bool:
        """Return whether this host sent it an object lately."""
        at = self.recent_objects.get(affinity_key)
        return at is not None and now - at < RECENT_OBJECT_TTL_US

    def record_object(self, affinity_key: str, now: int) -> None:
        """Note that it now handles an object."""
        self.recent_objects.pop(affinity_key, None)
        self.recent_objects[affinity_key] = now
        while len(self.recent_objects) > MAX_RECENT_OBJECTS:
            del self.recent_objects[next(iter(self.recent_objects))]

    def reset_observations(self, now: int) -> None:
        """Begin anew: the target was started again and knows nothing of before."""
        self.known_since = now
        self.peer_load = 0.0
        self.slowdown = DecayingAverage(1.0, 1.0)
        self.failure_rate = DecayingAverage(0.0, 0.0)
        self.consecutive_timeouts = 0
        self.down_since = None
        self.failed_probes = 0
        self.backoff_until = 0
        self.recent_objects.clear()

"""Targets as this host knows them: what they announce and what was seen of them."""

from __future__ import annotations

from attrs import Factory, define, frozen

from almondgap_core.units import seconds

#: Weight of the newest answer in the moving averages of a target: about the last five
#: answers count.
NEWEST = 0.2

#: Time in which what was seen of a target loses half its weight: half of the usual
#: length of a disturbance, so that a target that recovered is tried again.
HALF_LIFE_US = seconds(4)

#: Time in which a reported load loses half its weight: about one request's work.
LOAD_HALF_LIFE_US = seconds(0.5)

#: Bounds of the pace of a target against others of its service.
LEAST_PACE = 0.5
MOST_PACE = 20.0

#: Objects that a target is taken to keep warm, and for how long: targets keep some 20
#: to 26 of them, and other hosts send theirs too.
MOST_WARM = 16
WARM_US = seconds(10)


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
class Average:
    """A moving average that falls back to a resting value with age.

    :ivar value: the average when it was last changed.
    :ivar at: when that was, in microseconds.
    """

    rest: float
    value: float
    at: int = 0

    def read(self, now: int) -> float:
        """Return the average, nearer to the resting value the older it is."""
        trust = 0.5 ** (max(0, now - self.at) / HALF_LIFE_US)
        return self.rest + (self.value - self.rest) * trust

    def add(self, sample: float, now: int) -> None:
        """Count a new sample."""
        self.value = self.read(now) * (1 - NEWEST) + sample * NEWEST
        self.at = now


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

    announced: Announcement
    known_since: int
    running: int = 0
    foreign: float = 0.0
    told_at: int = 0
    pace: Average = Factory(lambda: Average(1.0, 1.0))
    failing: Average = Factory(lambda: Average(0.0, 0.0))
    silent: int = 0
    down_since: int | None = None
    probe_at: int = 0
    probes: int = 0
    full_until: int = 0
    warmup_until: int = 0
    next_warmup_at: int = 0
    warm: dict[str, int] = Factory(dict)

    @property
    def name(self) -> str:
        """The name of the target."""
        return self.announced.target

    def compute_load(self, now: int) -> float:
        """Return the requests that it is likely to have now, from all hosts."""
        age = max(0, now - self.told_at)
        return self.running + self.foreign * 0.5 ** (age / LOAD_HALF_LIFE_US)

    def note_load(self, running: int, waiting: int, now: int) -> None:
        """Note what it told of its load with the answer to a request of this host."""
        self.foreign = max(0, running + waiting - self.running)
        self.told_at = now

    def is_warm(self, thing: str, now: int) -> bool:
        """Return whether this host sent it an object lately."""
        at = self.warm.get(thing)
        return at is not None and now - at < WARM_US

    def note_object(self, thing: str, now: int) -> None:
        """Note that it now handles an object."""
        self.warm.pop(thing, None)
        self.warm[thing] = now
        while len(self.warm) > MOST_WARM:
            del self.warm[next(iter(self.warm))]

    def forget_run(self, now: int) -> None:
        """Begin anew: the target was started again and knows nothing of before."""
        self.known_since = now
        self.foreign = 0.0
        self.pace = Average(1.0, 1.0)
        self.failing = Average(0.0, 0.0)
        self.silent = 0
        self.down_since = None
        self.probes = 0
        self.full_until = 0
        self.warm.clear()

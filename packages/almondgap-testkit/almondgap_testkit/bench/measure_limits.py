"""Refusals of requests inside the rate, overshoot and cost of the limits."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator

from attrs import frozen

from almondgap_core.limits.bucket import Bucket
from almondgap_core.limits.catalogue import Limit
from almondgap_core.messages import encode
from almondgap_core.units import MICROS_PER_SECOND, MILLIS_PER_UNIT, millis, seconds
from almondgap_testkit.bench.figure import Figure
from almondgap_testkit.fakes.rates import RateWorld

#: Six failure domains in three regions, one or two hosts in each.
DOMAINS = {"a": "n", "b": "n", "c": "e", "d": "e", "e": "s", "f": "s"}
HOSTS = {
    "a-1": "a",
    "a-2": "a",
    "b-1": "b",
    "b-2": "b",
    "c-1": "c",
    "c-2": "c",
    "d-1": "d",
    "e-1": "e",
    "e-2": "e",
    "f-1": "f",
}
HOST_NAMES = tuple(HOSTS)
REGION_HOSTS = (HOST_NAMES[:4], HOST_NAMES[4:7], HOST_NAMES[7:])

#: Rate per second and burst of the eight accounts.
ACCOUNTS = {
    "r5": (5, 10),
    "r8": (8, 10),
    "r10": (10, 10),
    "r20": (20, 20),
    "r40": (40, 40),
    "r80": (80, 40),
    "r120": (120, 60),
    "r500": (500, 250),
}
LIMITS = {
    name: Limit(rate * MILLIS_PER_UNIT, burst)
    for name, (rate, burst) in ACCOUNTS.items()
}

WARM_US = seconds(14)
MEASURE_US = seconds(10)
MOVE_US = seconds(20)
SKEW = 10

WRONGFUL_BOUND = 0.1
MOVING_BOUND = 1.0
BASELINE_PART = 0.1

#: Picks the host of an arrival: generator, time in microseconds.
Placement = Callable[[random.Random, int], str]


@frozen
class Arrival:
    """One request to come, at a time after the warm-up, in microseconds."""

    at: int
    host: str
    account: str


@frozen
class Outcome:
    """What one run gave.

    :ivar share: wrongful refusals in per cent of all requests.
    :ivar baseline: the same under the equal static split.
    :ivar refused: refusals by account.
    :ivar waits: times to admission by account, in microseconds, sorted.
    """

    share: float
    baseline: float
    overshoot: int
    refused: dict[str, int]
    waits: dict[str, list[int]]


def place_evenly(rng: random.Random, at: int) -> str:
    """Spread over all hosts."""
    return rng.choice(HOST_NAMES)


def place_skewed(rng: random.Random, at: int) -> str:
    """Send ten times as much to one host as to each other."""
    weights = [SKEW] + [1] * (len(HOST_NAMES) - 1)
    return rng.choices(HOST_NAMES, weights)[0]


def place_moving(rng: random.Random, at: int) -> str:
    """Spread over the hosts of one region, another one every 20 s."""
    return rng.choice(REGION_HOSTS[at // MOVE_US % len(REGION_HOSTS)])


def plan_poisson(
    rng: random.Random, load: float, place: Placement, length: int, loud: str = ""
) -> list[Arrival]:
    """Return Poisson arrivals of all accounts at a part of their rates.

    :param loud: an account that asks at five times its rate.
    """
    plan = []
    for account, (rate, _) in ACCOUNTS.items():
        part = 5.0 if account == loud else load
        at = 0.0
        while True:
            at += rng.expovariate(rate * part) * MICROS_PER_SECOND
            if at >= length:
                break
            plan.append(Arrival(int(at), place(rng, int(at)), account))
    return sorted(plan, key=lambda arrival: arrival.at)


def plan_bursts(
    rng: random.Random, load: float, place: Placement, length: int
) -> list[Arrival]:
    """Return bursts as large as each account's, each at one host."""
    plan = []
    for account, (rate, burst) in ACCOUNTS.items():
        period = burst / (rate * load) * MICROS_PER_SECOND
        at = rng.random() * period
        while at < length:
            host = place(rng, int(at))
            plan.extend(Arrival(int(at), host, account) for _ in range(burst))
            at += period
    return sorted(plan, key=lambda arrival: arrival.at)


def run_plan(
    plan: list[Arrival],
    seed: int = 1,
    disturb: Callable[[RateWorld], None] | None = None,
    skip: tuple[str, ...] = (),
) -> Outcome:
    """Run arrivals against the fleet and against the equal static split.

    :param disturb: what happens to the world between warm-up and arrivals.
    :param skip: hosts that callers avoid.
    """
    world = RateWorld(LIMITS, HOSTS, DOMAINS, seed)
    world.run(WARM_US)
    if disturb is not None:
        disturb(world)
    start = world.clock.now
    usable = [name for name in HOST_NAMES if name not in skip]
    for arrival in plan:
        host = arrival.host if arrival.host not in skip else usable[0]
        due = start + arrival.at
        world.clock.call_at(due, lambda h=host, a=arrival.account: world.ask(h, a))
    world.run(plan[-1].at + seconds(3))
    wrongful = {name: world.list_wrongly_refused(name) for name in LIMITS}
    refused = dict.fromkeys(LIMITS, 0)
    waits: dict[str, list[int]] = {name: [] for name in LIMITS}
    for request in world.requests.values():
        if request.admitted is None:
            refused[request.account] += 1
        else:
            waits[request.account].append(request.admitted - request.asked)
    return Outcome(
        100 * sum(len(found) for found in wrongful.values()) / len(plan),
        100 * count_static(plan, usable) / len(plan),
        sum(world.count_overshoot(name) for name in LIMITS),
        refused,
        {name: sorted(found) for name, found in waits.items()},
    )


def count_static(plan: list[Arrival], hosts: list[str]) -> int:
    """Return the wrongful refusals of an equal split over all hosts.

    Each part of a burst is at least one token, in favour of the split.
    """
    parts = len(HOST_NAMES)
    buckets: dict[tuple[str, str], Bucket] = {}
    ideals = {name: Bucket.full(*_split(limit, 1), 0) for name, limit in LIMITS.items()}
    wrongful = 0
    for arrival in plan:
        host = arrival.host if arrival.host in hosts else hosts[0]
        key = (host, arrival.account)
        if key not in buckets:
            buckets[key] = Bucket.full(*_split(LIMITS[arrival.account], parts), 0)
        inside = ideals[arrival.account].take(arrival.at)
        wrongful += inside and not buckets[key].take(arrival.at)
    return wrongful


def _split(limit: Limit, parts: int) -> tuple[int, int]:
    return limit.rate // parts, max(1, limit.burst // parts)


def report(name: str, outcome: Outcome, bound: float) -> Iterator[Figure]:
    """Yield share of wrongful refusals, part of the baseline's, and overshoot."""
    yield Figure(
        f"limits.wrongful.{name}", outcome.share, "%", bound, False, outcome.baseline
    )
    if outcome.baseline:
        part = outcome.share / outcome.baseline
        yield Figure(f"limits.part_of_static.{name}", part, "", BASELINE_PART)
    yield Figure(f"limits.overshoot.{name}", outcome.overshoot, "requests", 0)


def measure() -> Iterator[Figure]:
    """Yield all figures."""
    yield from measure_patterns()
    yield from measure_loud()
    yield from measure_faults()
    yield from measure_cost()


def measure_patterns() -> Iterator[Figure]:
    """Yield wrongful refusals by load, pattern and place of demand."""
    places = {
        "even": (place_evenly, MEASURE_US, WRONGFUL_BOUND),
        "skewed": (place_skewed, MEASURE_US, WRONGFUL_BOUND),
        "moving": (place_moving, MOVE_US * 3 // 2, MOVING_BOUND),
    }
    for load in (0.5, 0.8, 0.95):
        for name, (place, length, bound) in places.items():
            percent = round(load * 100)
            plan = plan_poisson(random.Random(percent), load, place, length)
            yield from report(f"poisson_{percent}_{name}", run_plan(plan), bound)
            plan = plan_bursts(random.Random(percent), load, place, length)
            yield from report(f"bursts_{percent}_{name}", run_plan(plan), bound)


def measure_loud() -> Iterator[Figure]:
    """Yield what seven accounts lose to one at five times its rate."""
    loud = "r80"
    quiet = run_plan(plan_poisson(random.Random(3), 0.5, place_evenly, MEASURE_US))
    plan = plan_poisson(random.Random(3), 0.5, place_evenly, MEASURE_US, loud)
    outcome = run_plan(plan)
    others = [name for name in LIMITS if name != loud]
    refused = sum(outcome.refused[name] for name in others)
    yield Figure("limits.loud.refusals_of_others", refused, "requests", 0)
    worst = max(
        _find_p99(outcome.waits[name]) / _find_p99(quiet.waits[name]) for name in others
    )
    yield Figure("limits.loud.p99_of_others", worst, "of quiet", 1.1)
    yield Figure("limits.overshoot.loud", outcome.overshoot, "requests", 0)


def _find_p99(waits: list[int]) -> float:
    return max(1, waits[len(waits) * 99 // 100])


def measure_faults() -> Iterator[Figure]:
    """Yield the same through a store outage, a crash and a cut."""
    plan = plan_poisson(random.Random(5), 0.8, place_evenly, seconds(62))

    def take_down(world: RateWorld) -> None:
        world.platform.down = True
        world.clock.call_later(
            seconds(60), lambda: setattr(world.platform, "down", False)
        )

    outcome = run_plan(plan, 1, take_down)
    yield from report("outage_60s", outcome, WRONGFUL_BOUND)
    for host, load in (("a-1", 0.95), ("f-1", 0.8), ("f-1", 0.95)):
        plan = plan_poisson(random.Random(6), load, place_evenly, MEASURE_US)

        def crash(world: RateWorld, host: str = host) -> None:
            world.crash(host)
            world.run(seconds(25))

        kind = "with_neighbour" if host == "a-1" else "alone"
        outcome = run_plan(plan, 1, crash, (host,))
        name = f"crashed_{kind}_{round(load * 100)}"
        yield from report(name, outcome, WRONGFUL_BOUND)
    yield from measure_cut()


def measure_cut() -> Iterator[Figure]:
    """Yield what a failure domain serves of its own share when it is cut off."""
    world = RateWorld(LIMITS, HOSTS, DOMAINS)
    world.run(WARM_US)
    world.network.isolate("c")
    world.run(seconds(10))
    start = world.clock.now
    rng = random.Random(8)
    plan = plan_poisson(rng, 0.95, lambda rng, at: "c-1", MEASURE_US)
    plan += plan_poisson(rng, 0.8, lambda rng, at: "a-1", MEASURE_US)
    for arrival in sorted(plan, key=lambda arrival: arrival.at):
        due = start + arrival.at
        world.clock.call_at(
            due, lambda h=arrival.host, a=arrival.account: world.ask(h, a)
        )
    world.run(MEASURE_US + seconds(3))
    served = sum(
        request.host == "c-1" and request.admitted is not None
        for request in world.requests.values()
    )
    owned = sum(rate for rate, _ in ACCOUNTS.values()) / len(DOMAINS)
    part = served / (owned * MEASURE_US / MICROS_PER_SECOND)
    yield Figure("limits.cut.served_of_owned", part, "", 1.0, True)
    overshoot = sum(world.count_overshoot(name) for name in LIMITS)
    yield Figure("limits.overshoot.cut", overshoot, "requests", 0)


def measure_cost() -> Iterator[Figure]:
    """Yield processor time per admission and bytes of control by size of fleet."""
    world = RateWorld(LIMITS, HOSTS, DOMAINS)
    world.run(WARM_US)
    began = time.process_time()
    count = 4_000
    for number in range(count):
        world.ask(HOST_NAMES[number % len(HOST_NAMES)], "r500")
        world.run(millis(2.5))
    spent = time.process_time() - began
    yield Figure("limits.admission_cpu", spent / count * 1e6, "us")
    for members in (10, 50, 100, 400):
        yield measure_bytes(members)


def measure_bytes(members: int) -> Figure:
    """Return what one daemon sends for limits without any request."""
    domains = 6 if members <= 100 else 23
    names = {f"d{number}": f"r{number // 3}" for number in range(domains)}
    hosts = {f"h{number}": f"d{number % domains}" for number in range(members)}
    limits = {f"x{number}": Limit(50_000, 25) for number in range(50)}
    world = CountingWorld(limits, hosts, names)
    warm = seconds(5)
    world.run(warm)
    world.sent.clear()
    length = seconds(2)
    world.run(length)
    most = max(world.sent.values(), default=0)
    rate = most * MICROS_PER_SECOND / length
    return Figure(f"limits.bytes_at_{members}", rate, "B/s", 5_000)


class CountingWorld(RateWorld):
    """Counts the bytes that each host sends for limits."""

    def __init__(self, *args) -> None:
        """Make a world that stands still."""
        self.sent: dict[str, int] = {}
        super().__init__(*args)

    def _send(self, name, effect) -> None:
        if type(effect.message).__module__.startswith("almondgap_core.limits"):
            size = len(encode(effect.message)) + FRAME_BYTES
            self.sent[name] = self.sent.get(name, 0) + size
        super()._send(name, effect)


#: Bytes that the stream adds to a message.
FRAME_BYTES = 4

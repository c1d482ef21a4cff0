"""Slopes of what requests cost in messages between hosts."""

from __future__ import annotations

from collections.abc import Iterator

from almondgap_core.units import MICROS_PER_SECOND, seconds
from almondgap_testkit.bench.series import Series
from almondgap_testkit.fakes.world import World
from almondgap_testkit.scenarios.deployments import Deployment

#: Requests per second over the whole example, spread evenly over hosts and accounts.
RATES = (20, 40, 60, 80)
SERVICE = "climb-slots"
ACCOUNTS = ("city-towers", "harbour-belfry", "southern-ringers", "gate-kiosks")

WARM_UP_US = seconds(12)
DURATION_US = seconds(8)


def measure_requests() -> Iterator[Series]:
    """Yield bytes and messages between hosts by rate of requests."""
    rows = [_measure(rate) for rate in (0, *RATES)]
    xs = (0, *RATES)
    for index, (title, y_name) in enumerate(
        (
            ("request bytes", "bytes between hosts of the whole fleet, B/s"),
            ("request messages", "messages between hosts of the whole fleet, 1/s"),
        )
    ):
        ys = tuple(row[index] for row in rows)
        yield Series(title, "Trust example", "requests per second", y_name, xs, ys)


def _measure(rate: int) -> tuple[float, float]:
    deployment = Deployment.from_example("trust")
    world = World(deployment.to_text(), deployment.hosts)
    world.run(WARM_UP_US)
    sent = sum(world.sent_bytes.values())
    messages = world.network.peer_messages
    _send(world, rate)
    world.run(DURATION_US)
    length = DURATION_US / MICROS_PER_SECOND
    return (
        (sum(world.sent_bytes.values()) - sent) / length,
        (world.network.peer_messages - messages) / length,
    )


def _send(world: World, rate: int) -> None:
    names = list(world.hosts)
    for number in range(rate * DURATION_US // MICROS_PER_SECOND):
        at = world.clock.now + number * MICROS_PER_SECOND // rate
        host = names[number % len(names)]
        account = ACCOUNTS[number % len(ACCOUNTS)]
        world.clock.call_at(
            at, lambda host=host, account=account: world.call(host, SERVICE, account)
        )

"""Bytes of membership that a daemon sends each second, by size of the fleet."""

from __future__ import annotations

from collections.abc import Iterator

from almondgap_core.units import MICROS_PER_SECOND, seconds
from almondgap_testkit.bench.figure import Figure
from almondgap_testkit.fakes.world import World
from almondgap_testkit.fleets import build_fleet_text, place_hosts

#: Members and failure domains of each size of the fleet.
SIZES = ((10, 6), (50, 8), (100, 12), (400, 23))

SERVICES = 8
WARM_UP_US = seconds(4)
DURATION_US = seconds(4)

#: What all control of a daemon may send, in bytes per second.
BUDGET_BYTES = 5_000


def measure() -> Iterator[Figure]:
    """Yield the bytes that the busiest host sends each second, with lengths."""
    for members, domains in SIZES:
        rate = measure_rate(members, domains)
        name = f"membership.bytes_per_s.{members}_members"
        yield Figure(name, rate, "B/s", BUDGET_BYTES)


def measure_rate(members: int, domains: int) -> float:
    """Return the greatest rate of bytes over the hosts of a fleet at rest.

    Streams carry eight services with a target in each failure domain, every host holds
    one partition or more, and lists of hosts and the directory are settled.
    """
    text = build_fleet_text(domains, services=SERVICES)
    world = World(text, place_hosts(members, domains))
    world.run(WARM_UP_US)
    before = dict(world.sent_bytes)
    world.run(DURATION_US)
    sent = [world.sent_bytes[name] - before[name] for name in world.hosts]
    return max(sent) * MICROS_PER_SECOND / DURATION_US

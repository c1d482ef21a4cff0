"""Slopes of control work against the number of hosts, from fleets at rest."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator

from almondgap_core.units import MICROS_PER_SECOND, seconds
from almondgap_testkit.bench.series import Series
from almondgap_testkit.fakes.world import World
from almondgap_testkit.fleets import build_fleet_document, place_hosts

#: Hosts of each fleet; all have as many failure domains as the full size.
SIZES = (23, 46, 92, 184)
DOMAINS = 23
SERVICES = 4

#: Enough that every host of the full size holds one.
PARTITIONS = 20

WARM_UP_US = seconds(16)
DURATION_US = seconds(8)
X_NAME = "hosts"


def measure_fleets() -> Iterator[Series]:
    """Yield bytes, messages, processor time and calls of the store by size."""
    rows = [measure_fleet(size) for size in SIZES]
    names = (
        ("control bytes", "bytes sent per daemon, B/s"),
        ("control messages", "messages sent per daemon, 1/s"),
        ("control cpu", "processor time per daemon, us/s"),
        ("store reads", "rows read of the store, 1/s"),
        ("store writes", "transactions that write, 1/s"),
    )
    for index, (title, y_name) in enumerate(names):
        ys = tuple(row[index] for row in rows)
        yield Series(title, "fleet at rest", X_NAME, y_name, SIZES, ys)


def measure_fleet(size: int) -> tuple[float, ...]:
    """Return a fleet's figures at rest: per daemon the first three, whole the rest.

    The processor time takes in the fake network and clock around the reducers.
    """
    document = build_fleet_document(DOMAINS, services=SERVICES)
    document["partitions_per_domain"] = PARTITIONS
    world = World(json.dumps(document), place_hosts(size, DOMAINS))
    world.run(WARM_UP_US)
    sent = sum(world.sent_bytes.values())
    messages = world.network.peer_messages
    platform = world.platform
    reads, writes = platform.reads, platform.writes
    began = time.process_time()
    world.run(DURATION_US)
    spent = (time.process_time() - began) * MICROS_PER_SECOND
    length = DURATION_US / MICROS_PER_SECOND
    carried = world.network.peer_messages - messages
    return (
        (sum(world.sent_bytes.values()) - sent) / size / length,
        carried / size / length,
        spent / size / length,
        (platform.reads - reads) / length,
        (platform.writes - writes) / length,
    )

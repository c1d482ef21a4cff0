"""Slopes of one daemon's parts: client map, inventory, requests."""

from __future__ import annotations

import json
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Iterator

from almondgap_core.settings.rollout import load_inventory
from almondgap_core.steering.clientmap_builder import build_client_map
from almondgap_testkit.bench.series import Series
from almondgap_testkit.builders import build_document
from almondgap_testkit.client_blocks import iterate_lines, list_addresses

MAP_SIZES = (20_000, 40_000, 80_000, 160_000)
ACCOUNT_SIZES = (200, 400, 800, 1_600)
LOOKUPS = 50_000


def measure_parts() -> Iterator[Series]:
    """Yield memory and processor time of the client map and the inventory."""
    yield from measure_maps()
    yield from measure_inventories()


def measure_maps() -> Iterator[Series]:
    """Yield memory of the client map and time of a look-up by number of blocks."""
    memory = []
    times = []
    for size in MAP_SIZES:
        tracemalloc.start()
        found = build_client_map(iterate_lines(size), "synthetic")
        memory.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        addresses = list_addresses(LOOKUPS)
        began = time.process_time()
        for address in addresses:
            found.find_site(address)
        times.append((time.process_time() - began) / LOOKUPS * 1e6)
    x_name = "blocks"
    yield Series("map memory", "map", x_name, "bytes", MAP_SIZES, tuple(memory))
    yield Series("map look-up", "map", x_name, "us", MAP_SIZES, tuple(times))


def measure_inventories() -> Iterator[Series]:
    """Yield memory of an inventory and time to load it by number of accounts."""
    memory = []
    times = []
    for size in ACCOUNT_SIZES:
        text = _make_text(size)
        load_inventory(text, "warm")
        began = time.process_time()
        load_inventory(text, "capacity")
        times.append((time.process_time() - began) * 1e3)
        tracemalloc.start()
        kept = load_inventory(text, "capacity")
        memory.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del kept
    x_name = "client accounts"
    yield Series(
        "inventory memory", "inventory", x_name, "bytes", ACCOUNT_SIZES, tuple(memory)
    )
    yield Series(
        "inventory load", "inventory", x_name, "ms", ACCOUNT_SIZES, tuple(times)
    )


def measure_process() -> int:
    """Return the resident bytes of a process that loaded a daemon's modules."""
    code = (
        "import os, almondgap_daemon.main;"
        "pages = int(open('/proc/self/statm').read().split()[1]);"
        "print(pages * os.sysconf('SC_PAGE_SIZE'))"
    )
    command = [sys.executable, "-c", code]
    return int(subprocess.run(command, capture_output=True, check=True).stdout)


def _make_text(accounts: int) -> str:
    document = build_document()
    pattern = document["accounts"].pop("one")
    for number in range(accounts):
        key = {"id": f"k{number}", "digest": pattern["keys"][0]["digest"]}
        document["accounts"][f"a{number}"] = {**pattern, "keys": [key]}
    return json.dumps(document)

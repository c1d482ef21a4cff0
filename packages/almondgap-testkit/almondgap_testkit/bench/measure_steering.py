"""The client map at full size: memory, cost of a look-up, and pauses by a delta."""

from __future__ import annotations

import random
import subprocess
import sys
import time
from collections.abc import Callable, Iterator

from almondgap_core.platform import compute_object_name
from almondgap_core.steering.addresses import Family
from almondgap_core.steering.clientmap import NO_SITE, ClientMap, Range
from almondgap_core.steering.clientmap_builder import build_client_map
from almondgap_core.steering.clientmap_codec import (
    DecodeWork,
    decode_delta,
    encode_delta,
    encode_map,
)
from almondgap_core.steering.clientmap_delta import DeltaWork, MapDelta
from almondgap_core.steering.lookup import look_up_body
from almondgap_testkit.bench.figure import Figure
from almondgap_testkit.builders import build_document, build_inventory, build_state
from almondgap_testkit.client_blocks import (
    SITES,
    iterate_lines,
    list_addresses,
    name_site,
)

BLOCKS = 2_300_000
LOOKUPS = 200_000
DELTA_BLOCKS = 1_000
ROUNDS = 5

RESIDENT_BOUND_MB = 64
LOOKUP_BOUND_US = 5
PAUSE_BOUND_MS = 10

#: Reads a body and prints by how many bytes the resident memory grew.
_LOADER = """
import gc, os, sys
from almondgap_core.platform import compute_object_name
from almondgap_core.steering.clientmap_codec import decode_map
def measure():
    gc.collect()
    pages = int(open("/proc/self/statm").read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
before = measure()
body = sys.stdin.buffer.read()
found = decode_map(compute_object_name(body), body)
del body
print(measure() - before)
"""


def measure() -> Iterator[Figure]:
    """Yield the figures of the client map."""
    began = time.process_time()
    found = build_client_map(iterate_lines(BLOCKS), "synthetic")
    yield Figure("steering.map_build_cpu", time.process_time() - began, "s")
    body = encode_map(found)
    name = compute_object_name(body)
    yield Figure("steering.map_body", len(body) / 1e6, "MB")
    ranges = found.ipv4.count_ranges() + found.ipv6.count_ranges()
    yield Figure("steering.map_ranges", ranges, "ranges")
    yield Figure("steering.map_bytes_per_block", len(body) / BLOCKS, "bytes")
    del found
    resident = _measure_resident(body)
    bound = RESIDENT_BOUND_MB
    yield Figure("steering.map_resident", resident / 1e6, "MB", bound=bound)
    client_map, pause = _load(name, body)
    yield Figure("steering.map_load_longest_step", pause, "ms", bound=PAUSE_BOUND_MS)
    yield from _measure_lookups(client_map)
    yield from _measure_delta(client_map, name)


def _measure_resident(body: bytes) -> int:
    command = [sys.executable, "-c", _LOADER]
    done = subprocess.run(command, input=body, capture_output=True, check=True)
    return int(done.stdout)


def _load(name: str, body: bytes) -> tuple[ClientMap, float]:
    return _run_steps(DecodeWork(name, body))


def _run_steps(work: DecodeWork | DeltaWork) -> tuple[ClientMap, float]:
    """Return the map and the longest step in milliseconds."""
    longest = 0.0
    while True:
        began = time.perf_counter()
        found = work.step()
        longest = max(longest, time.perf_counter() - began)
        if found is not None:
            return found, longest * 1e3


def _measure_lookups(client_map: ClientMap) -> Iterator[Figure]:
    addresses = list_addresses(LOOKUPS)
    spent = _time_each(client_map.find_site, addresses)
    yield Figure("steering.map_find_cpu", spent, "us")
    document = build_document()
    document["sites"] = {name_site(number): {} for number in range(SITES)}
    state = build_state(build_inventory(document))
    state.steering.client_map = client_map
    spent = _time_each(lambda text: look_up_body(state, "shop", text, 0), addresses)
    yield Figure("steering.lookup_cpu", spent, "us", bound=LOOKUP_BOUND_US)


def _time_each(work: Callable[[str], object], addresses: list[str]) -> float:
    """Return the processor time of one call in microseconds, the best of some rounds.

    The least time is what the work itself takes; more is what others on the machine do.
    """
    best = float("inf")
    for _ in range(ROUNDS):
        began = time.process_time()
        for address in addresses:
            work(address)
        best = min(best, time.process_time() - began)
    return best / len(addresses) * 1e6


def _measure_delta(client_map: ClientMap, parent: str) -> Iterator[Figure]:
    body = encode_delta(_draw_delta(client_map, parent))
    yield Figure("steering.delta_body", len(body) / 1e3, "KB")
    began = time.perf_counter()
    delta = decode_delta(body)
    work = DeltaWork.begin(client_map, delta)
    begun = (time.perf_counter() - began) * 1e3
    _, longest = _run_steps(work)
    longest = max(begun, longest)
    bound = PAUSE_BOUND_MS
    yield Figure("steering.delta_longest_pause", longest, "ms", bound=bound)


def _draw_delta(client_map: ClientMap, parent: str) -> MapDelta:
    """Return a delta that gives drawn blocks of each family other sites."""
    rng = random.Random(1)
    changes = {}
    for family in Family:
        table = client_map.get_table(family)
        ranges = [found for found in table.list_ranges() if found.site != NO_SITE]
        count = DELTA_BLOCKS * 4 // 5
        if family is Family.IPV6:
            count = DELTA_BLOCKS - count
        drawn = sorted(rng.sample(ranges, count), key=lambda found: found.start)
        changes[family] = tuple(
            Range(found.start, found.end, (found.site + 1) % SITES) for found in drawn
        )
    return MapDelta(parent, client_map.sites, changes)

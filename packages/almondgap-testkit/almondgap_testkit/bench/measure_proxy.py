"""Latency that a host adds to a request, against direct calls in the same run.

One host, its platform and its targets run as processes. Pairs of requests, one to the
host and one straight to a target, are sent one after the other over new connections.
"""

from __future__ import annotations

import json
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

from almondgap_core.settings.parsing import parse_document
from almondgap_testkit.bench.figure import Figure
from almondgap_testkit.fleet import Fleet
from almondgap_testkit.sockets import RawAnswer, build_request, exchange

HOST = "akl-a-1"
PAIRS = 600
WARM_UP = 50
TARGET_DELAY_MS = 0

THROUGH = build_request("/v1/call/climb-slots/x")
DIRECT = build_request("/x")


def measure() -> Iterator[Figure]:
    """Yield the latency through a host, with direct calls as baseline."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet.from_example("trust", Path(folder), (HOST,))
        try:
            target = _prepare(fleet)
            through, direct = _time_pairs(fleet.callers(HOST), target)
        finally:
            fleet.close()
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        ours, theirs = _find(through, share), _find(direct, share)
        yield Figure(f"proxy.latency_{name}", ours, "ms", baseline=theirs)
        yield Figure(f"proxy.added_{name}", ours - theirs, "ms")


def _prepare(fleet: Fleet) -> str:
    """Start the fleet with room for the load; return a target's place."""
    path = fleet.inventory_file
    document = parse_document(path.read_text(), str(path))
    document["accounts"]["city-towers"].update(rate_per_s=10_000, burst=10_000)
    path.write_text(json.dumps(document))
    fleet.start()
    control = f"http://{fleet.target_control}"
    for name in fleet.get(f"{control}/records"):
        body = {"delay_ms": TARGET_DELAY_MS}
        fleet.post(f"{control}/behaviour/{name}", body)
    target = document["services"]["climb-slots"]["targets"][0]
    return f"{target['address']}:{target['port']}"


def _time_pairs(host: str, target: str) -> tuple[list[float], list[float]]:
    through, direct = [], []
    for number in range(WARM_UP + PAIRS):
        times = _time(host, THROUGH), _time(target, DIRECT)
        if number >= WARM_UP:
            through.append(times[0])
            direct.append(times[1])
    return through, direct


def _time(place: str, request: bytes) -> float:
    began = time.perf_counter()
    answer: RawAnswer = exchange(place, request)
    spent = time.perf_counter() - began
    if answer.status != 200:
        raise RuntimeError(f"{place}: {answer.data[:200]!r}")
    return spent * 1_000


def _find(values: list[float], share: float) -> float:
    return sorted(values)[int(len(values) * share)]

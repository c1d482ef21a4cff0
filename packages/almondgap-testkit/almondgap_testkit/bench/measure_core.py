"""Cost of the core's decisions for one request on one host."""

from __future__ import annotations

import time
from collections.abc import Iterator

from almondgap_core.events import AnswerStarted, AttemptEnded, AttemptOutcome
from almondgap_core.reducer import step
from almondgap_testkit.bench.figure import Figure
from almondgap_testkit.builders import (
    build_arrival,
    build_document,
    build_inventory,
    build_state,
)

REQUESTS = 20_000
RATE_PER_S = 1_000_000
GAP_US = 1_000


def measure() -> Iterator[Figure]:
    """Yield the processor time of a request from arrival to answer."""
    document = build_document()
    document["accounts"]["one"].update(rate_per_s=RATE_PER_S, burst=RATE_PER_S)
    state = build_state(build_inventory(document))
    began = time.process_time()
    for number in range(REQUESTS):
        now = number * GAP_US
        req_id = f"r{number}"
        step(state, build_arrival(now, req_id))
        step(state, AnswerStarted(now, req_id, 1, 200))
        step(state, AttemptEnded(now, req_id, 1, AttemptOutcome.COMPLETE))
    spent = time.process_time() - began
    yield Figure("core.request_cpu", spent / REQUESTS * 1e6, "us")

"""Replaces a host as planned while a tenant asks more than its allotment."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stage"))

from deployment import (  # noqa: E402
    ACCOUNT,
    KEY,
    QUOTA_OVERAGE,
    QUOTA_SLACK,
    QUOTA_WINDOW_S,
    CannotRunError,
    Deployment,
    call,
    make_configuration,
    make_request,
    run_case,
)

#: Whether the disruption happens.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

#: Allotment of the tenant, in requests a second and in requests.
RATE_PER_S, BURST = 60, 20

#: What the tenant's clients ask of each host, in requests a second, and for how long.
ASKED_PER_S, ASKED_S = 90, 7.0

#: Time from SIGTERM to the start of the machine that takes the place, in seconds.
REPLACED_AFTER_S = 0.1

#: Time for hosts to hear of each other and to fill their buckets, in seconds.
SETTLING_S = 10.0

BUDGET_MS = 2_000


async def main(record: Path) -> bool:
    """Return whether the tenant got more than its allotment allows."""
    zones = {"zone-a": "region-1", "zone-b": "region-1"}
    deployment = Deployment(zones, record)
    try:
        upstreams = [deployment.add_upstream("shop", zone) for zone in zones]
        tenants = {
            ACCOUNT: {"api_keys": [KEY], "rate_per_s": RATE_PER_S, "burst": BURST}
        }
        await deployment.start(make_configuration(tenants=tenants))
        deployment.start_host("a-1", "zone-a")
        deployment.start_host("b-1", "zone-b")
        await deployment.wait_ready("a-1", "b-1")
        await asyncio.sleep(SETTLING_S)
        if TROUBLE:
            deployment.stop_host("a-1")
            await asyncio.sleep(REPLACED_AFTER_S)
        deployment.start_host("a-2", "zone-a")
        sent: dict[str, float] = {}
        tasks = [
            asyncio.create_task(ask(deployment, name, sent)) for name in ("a-1", "b-1")
        ]
        await deployment.wait_ready("a-2")
        await ask(deployment, "a-2", sent)
        await asyncio.gather(*tasks)
        runs = [(at, name) for upstream in upstreams for at, name in upstream.runs]
        return judge(deployment, sent, runs)
    finally:
        deployment.close()


async def ask(deployment: Deployment, name: str, sent: dict[str, float]) -> None:
    """Send requests of the tenant to a host at a steady rate."""
    address = deployment.find_address(name)
    began_at = time.monotonic()
    tasks = []
    for number in range(int(ASKED_PER_S * ASKED_S)):
        due = began_at + number / ASKED_PER_S
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        request_id = f"{name}-{number}"
        sent[request_id] = time.monotonic()
        request = make_request("GET", "/reads/1", request_id, BUDGET_MS)
        tasks.append(asyncio.create_task(send(address, request)))
    statuses = await asyncio.gather(*tasks)
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    deployment.log(f"host {name} answered {len(statuses)} requests: {counts}")


async def send(address: tuple[str, int], request: bytes) -> int:
    """Return the status of the answer, 0 if the host no longer takes connections."""
    try:
        return await call(address, request)
    except OSError:
        return 0


def judge(
    deployment: Deployment, sent: dict[str, float], runs: list[tuple[float, str]]
) -> bool:
    """Compare the fullest window with the tenant's allotment."""
    pairs = sorted((sent[name], at) for at, name in runs)
    allowed = (RATE_PER_S * QUOTA_WINDOW_S + BURST) * (1 + QUOTA_OVERAGE) + QUOTA_SLACK
    most, most_at = 0, 0.0
    for start, _ in pairs:
        end = start + QUOTA_WINDOW_S
        inside = sum(sent_at >= start and run_at < end for sent_at, run_at in pairs)
        if inside > most:
            most, most_at = inside, start
    deployment.log(
        f"most requests in a window of {QUOTA_WINDOW_S} s: {most} sent and run from "
        f"{most_at - deployment.started_at:.3f} on; allowed {allowed:.0f}"
    )
    if most < RATE_PER_S * QUOTA_WINDOW_S:
        raise CannotRunError("the tenant did not use its allotment")
    return most > allowed


if __name__ == "__main__":
    run_case(main, HERE / "record.txt")

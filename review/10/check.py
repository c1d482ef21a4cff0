"""Lowers the limit of a tenant that pauses, and lets it ask more than that later."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path
from typing import Any

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

#: Allotments before and after the change, in requests a second and in requests.
OLD_RATE_PER_S, OLD_BURST = 200, 200
NEW_RATE_PER_S, NEW_BURST = 20, 20

#: What the tenant's clients ask of each host before the change, in requests a second
#: and in seconds; well below either allotment.
USUAL_PER_S, USUAL_S = 3, 6.0

#: What they ask of each host at the end.
ASKED_PER_S, ASKED_S = 30, 7.0

#: ``config_apply_s`` of the site.
CONFIG_APPLY_S = 2.0

#: Time from the change to the requests at the end: until the limit binds, and more.
PAUSE_S = CONFIG_APPLY_S + QUOTA_WINDOW_S + 1.0

#: Zones, as many as the site has, with their regions; each has a host and an upstream.
ZONES = {f"zone-{number}": f"region-{number % 3 + 1}" for number in range(1, 7)}
HOSTS = {f"host-{number}": f"zone-{number}" for number in range(1, 7)}
BUDGET_MS = 2_000


async def main(record: Path) -> bool:
    """Return whether the tenant got more than its new allotment allows."""
    deployment = Deployment(ZONES, record)
    try:
        upstreams = [deployment.add_upstream("shop", zone) for zone in ZONES]
        first = (OLD_RATE_PER_S, OLD_BURST)
        if not TROUBLE:
            first = (NEW_RATE_PER_S, NEW_BURST)
        await deployment.start(make_desired_state(1, *first))
        deployment.log(f"version 1 limits the tenant to {first[0]}/s, burst {first[1]}")
        for name, zone in HOSTS.items():
            deployment.start_host(name, zone)
        await deployment.wait_ready(*HOSTS)
        await asyncio.sleep(3.0)
        await ask_all(deployment, USUAL_PER_S, USUAL_S, "usual", {})
        state = make_desired_state(2, NEW_RATE_PER_S, NEW_BURST)
        deployment.store.write("op", "config", state)
        deployment.log(
            f"version 2 limits the tenant to {NEW_RATE_PER_S}/s, burst {NEW_BURST}; "
            f"the tenant pauses for {PAUSE_S} s"
        )
        await asyncio.sleep(PAUSE_S)
        sent: dict[str, float] = {}
        await ask_all(deployment, ASKED_PER_S, ASKED_S, "late", sent)
        runs = {name: at for upstream in upstreams for at, name in upstream.runs}
        return judge(deployment, sent, runs)
    finally:
        deployment.close()


def make_desired_state(version: int, rate: int, burst: int) -> dict[str, Any]:
    """Return a desired state with a limit of the tenant."""
    tenant = {"api_keys": [KEY], "rate_per_s": rate, "burst": burst}
    return make_configuration(version=f"{version:08x}", tenants={ACCOUNT: tenant})


async def ask_all(
    deployment: Deployment,
    per_s: float,
    for_s: float,
    label: str,
    sent: dict[str, float],
) -> None:
    """Send requests of the tenant to all hosts."""
    await asyncio.gather(
        *(ask(deployment, name, per_s, for_s, label, sent) for name in HOSTS)
    )


async def ask(
    deployment: Deployment,
    name: str,
    per_s: float,
    for_s: float,
    label: str,
    sent: dict[str, float],
) -> None:
    """Send requests of the tenant to a host at a steady rate."""
    address = deployment.find_address(name)
    began_at = time.monotonic()
    tasks = []
    for number in range(int(per_s * for_s)):
        due = began_at + number / per_s
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        request_id = f"{label}-{name}-{number}"
        sent[request_id] = time.monotonic()
        request = make_request("GET", "/reads/1", request_id, BUDGET_MS)
        tasks.append(asyncio.create_task(call(address, request)))
    statuses = await asyncio.gather(*tasks)
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    deployment.log(f"host {name}, {label} requests: {len(statuses)} sent, {counts}")
    if label == "usual" and set(statuses) != {200}:
        raise CannotRunError("requests below the allotment were refused")


def judge(
    deployment: Deployment, sent: dict[str, float], runs: dict[str, float]
) -> bool:
    """Compare the fullest window with the tenant's new allotment."""
    pairs = sorted((at, runs[name]) for name, at in sent.items() if name in runs)
    allowed = NEW_RATE_PER_S * QUOTA_WINDOW_S + NEW_BURST
    allowed = allowed * (1 + QUOTA_OVERAGE) + QUOTA_SLACK
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
    if most < NEW_RATE_PER_S * QUOTA_WINDOW_S:
        raise CannotRunError("the tenant did not use its allotment")
    return most > allowed


if __name__ == "__main__":
    run_case(main, HERE / "record.txt")

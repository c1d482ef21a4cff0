"""Silences the store for 0.8 s after a change; later an upstream leaves."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stage"))

from deployment import (  # noqa: E402
    CannotRunError,
    Deployment,
    call,
    make_configuration,
    make_request,
    run_case,
)

#: Whether the disruption happens.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

#: Bounds of the site, in seconds.
DRAIN_S, CONTACT_S = 2.0, 3.0

#: Time from the change to the silence of the store, and its length, in seconds.
SILENT_AFTER_S, SILENT_S = 0.5, 0.8

#: Time from the end of the silence until an upstream leaves, in seconds.
LEAVES_AFTER_S = CONTACT_S + 2.0

#: Time for which an upstream that leaves goes on serving, in seconds.
STAYS_S = 10.0

#: What clients ask of each host, in requests a second.
ASKED_PER_S = 20

HOSTS = {"a-1": "zone-a", "b-1": "zone-b"}
BUDGET_MS = 2_000


async def main(record: Path) -> bool:
    """Return whether requests reached an upstream too late after it said it leaves."""
    zones = {"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-2"}
    deployment = Deployment(zones, record)
    try:
        upstreams = [deployment.add_upstream("shop", zone) for zone in zones]
        upstreams.append(deployment.add_upstream("shop", "zone-c"))
        await deployment.start(make_configuration())
        for name, zone in HOSTS.items():
            deployment.start_host(name, zone)
        await deployment.wait_ready(*HOSTS)
        await asyncio.sleep(8.0)
        tasks = [asyncio.create_task(ask(deployment, name)) for name in HOSTS]
        await asyncio.sleep(1.0)
        leave(deployment, upstreams[3])
        await asyncio.sleep(SILENT_AFTER_S)
        if TROUBLE:
            deployment.store.silent = True
            deployment.log("the store is silent")
        await asyncio.sleep(SILENT_S)
        deployment.store.silent = False
        deployment.log("the store answers")
        await asyncio.sleep(LEAVES_AFTER_S)
        left_at = leave(deployment, upstreams[0])
        await asyncio.sleep(STAYS_S)
        for task in tasks:
            task.cancel()
        if not any(at < left_at for at, _ in upstreams[0].runs):
            raise CannotRunError("no request reached the upstream before it left")
        late = [at - left_at for at, _ in upstreams[0].runs if at > left_at + DRAIN_S]
        last = max(late, default=0.0)
        deployment.log(
            f"{len(late)} requests reached {upstreams[0].name} more than {DRAIN_S} s "
            f"after it had said that it leaves, the last {last:.2f} s after it"
        )
        return bool(late)
    finally:
        deployment.close()


def leave(deployment: Deployment, upstream) -> float:
    """Let an upstream say that it leaves; return when the store had taken it."""
    upstream.state = "draining"
    deployment.store.write("servers", upstream.name, upstream.announce(1_000))
    deployment.log(f"upstream {upstream.name} says that it leaves: taken by the store")
    return time.monotonic()


async def ask(deployment: Deployment, name: str) -> None:
    """Send requests to a host at a steady rate."""
    address = deployment.find_address(name)
    number = 0
    while True:
        number += 1
        request = make_request("GET", f"/reads/{number}", f"{name}-{number}", BUDGET_MS)
        await call(address, request)
        await asyncio.sleep(1 / ASKED_PER_S)


if __name__ == "__main__":
    run_case(main, HERE / "record.txt")

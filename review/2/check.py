"""A host that stops takes requests late and ends before their upstreams answer."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from deployment import BOUNDS, Host, Record, Site, route, run_case

#: Usual work of a request and work of a long one, in seconds. The tables give
#: ``roster-swap`` 1.16 s; the site file lets single requests take 3.48 s.
USUAL_S, LONG_S = 1.16, 2.9

TIMEOUT_S, DEADLINE_MS = 5.0, 6_000

GRACE_S = float(BOUNDS["grace_s"])

#: Requests that were sent later than this after the SIGTERM are never excused.
EXCUSED_UNTIL_S = 3.0

#: Times after the SIGTERM at which clients that hold an answer of the directory send
#: long requests, in seconds: answers hold for up to 5 s.
SENT_AT_S = [3.05 + 0.1 * step for step in range(10)]

#: A connection may end without an answer up to this long after the request was sent,
#: in seconds, if the request was not passed on.
LOSS_SLACK_S = 0.2


async def play(record: Record, has_trouble: bool) -> bool:
    """Play the case and return whether the rule held."""
    site = Site(record, {"lj-vic": "ljubljana", "lj-bezigrad": "ljubljana"})
    try:
        return await _play(site, record, has_trouble)
    finally:
        await site.close()


async def _play(site: Site, record: Record, has_trouble: bool) -> bool:
    await site.open()

    async def work(message) -> bytes:
        is_long = message.first[1].endswith("/long")
        await asyncio.sleep(LONG_S if is_long else USUAL_S)
        return b"x" * 1_500

    for number in range(6):
        await site.add_server(f"i-{number + 1}", "rosterbook", "lj-vic", work)
    routes = {"r-swaps": route("unsafe", "rosterbook", "/swaps/", TIMEOUT_S)}
    await site.configure(1, routes)
    hosts = [site.add_host("lj-vic"), site.add_host("lj-bezigrad")]
    for host in hosts:
        host.start()
    for host in hosts:
        await host.wait_until_ready()
    stopping = hosts[0]
    for _ in range(6):
        # Usual requests, from which the host learns how long they take.
        swaps = (
            site.request(stopping, "POST", "/swaps/usual", DEADLINE_MS)
            for _ in range(3)
        )
        outcomes = await asyncio.gather(*swaps)
        record.add(f"usual requests: status {[each.status for each in outcomes]}")
    began = record.now
    killer = None
    if has_trouble:
        stopping.send_signal(signal.SIGTERM)
        record.add(f"SIGTERM to {stopping.name}")
        killer = asyncio.create_task(_kill_after_grace(stopping, record))
    late = (_send_late(site, stopping, record, began, at) for at in SENT_AT_S)
    lost = sum(await asyncio.gather(*late))
    if killer is not None:
        await killer
    record.add(f"{lost} requests were taken and ended without a complete answer")
    return not lost


async def _kill_after_grace(host: Host, record: Record) -> None:
    await asyncio.sleep(GRACE_S)
    has_ended = host.process.poll() is not None
    host.kill()
    record.add(f"{host.name} {'had ended' if has_ended else 'was killed'} at grace_s")


async def _send_late(
    site: Site, host: Host, record: Record, began: float, at: float
) -> bool:
    """Send a long request and return whether it is lost by the rule."""
    await asyncio.sleep(max(0.0, began + at - record.now))
    outcome = await site.request(host, "POST", "/swaps/long", DEADLINE_MS)
    sent, ended = outcome.sent - began, outcome.ended - began
    runs = site.find_runs(outcome.attempt_id)
    states = [f"at work from {run.began - began:.2f}" for run in runs]
    record.add(
        f"request {outcome.attempt_id} sent {sent:.2f} s after SIGTERM, ended at "
        f"{ended:.2f} status {outcome.status} {outcome.detail} {states}"
    )
    if outcome.status or outcome.detail.startswith("no connection"):
        return False
    is_late = ended - sent > LOSS_SLACK_S
    is_excused = sent <= EXCUSED_UNTIL_S or ended - sent >= TIMEOUT_S
    return not is_excused and (bool(runs) or is_late)


if __name__ == "__main__":
    run_case(__file__, play)

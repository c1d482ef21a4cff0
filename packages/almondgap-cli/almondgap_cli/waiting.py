"""Waiting until a configuration version is in force on every host."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any

from attrs import Factory, define
from twisted.internet import defer, reactor, task

from almondgap_cli.web import fetch_json, make_url
from almondgap_core.events import HostEntry
from almondgap_core.exceptions import UserError

POLL_INTERVAL_S = 0.3
VERSION_PATH = "/v1/version"

#: Length in characters to which the reason for a missing version is cut.
MAX_REASON_LENGTH = 120

#: Bound on concurrent requests to hosts.
MAX_CONCURRENT_REQUESTS = 40


@define
class Rollout:
    """Progress of a version's rollout.

    :ivar in_force: seconds until the version was in force, by host name.
    :ivar missing: reason why the version is not in force, by host name.
    """

    version: int
    in_force: dict[str, float] = Factory(dict)
    missing: dict[str, str] = Factory(dict)


async def wait_for_version(
    hosts: tuple[HostEntry, ...],
    version: int,
    timeout: float,
    report: Callable[[str], None] = lambda line: print(line, file=sys.stderr),
) -> Rollout:
    """Poll all hosts until the version is in force or the timeout has passed.

    :param timeout: seconds.
    :param report: called with a line of text when a host has the version in force.
    """
    rollout = Rollout(version)
    poller = _HostPoller(rollout, time.monotonic(), timeout, report)
    polls = [defer.ensureDeferred(poller.poll(entry)) for entry in hosts]
    await defer.gatherResults(polls)
    return rollout


@define
class _HostPoller:
    """Polls each host independently, so that a slow host does not delay others."""

    rollout: Rollout
    started_at: float
    timeout: float
    report: Callable[[str], None]
    semaphore: defer.DeferredSemaphore = Factory(
        lambda: defer.DeferredSemaphore(MAX_CONCURRENT_REQUESTS)
    )

    async def poll(self, entry: HostEntry) -> None:
        """Poll a host until it has the version or the timeout has passed."""
        version = self.rollout.version
        while True:
            missing = await self.semaphore.run(_start_check, entry, version)
            elapsed_s = round(time.monotonic() - self.started_at, 1)
            if missing is None:
                self.rollout.missing.pop(entry.name, None)
                self.rollout.in_force[entry.name] = elapsed_s
                self.report(
                    f"{entry.name}: version {version} in force after {elapsed_s} s"
                )
                return
            self.rollout.missing[entry.name] = missing
            if elapsed_s >= self.timeout:
                return
            await task.deferLater(reactor, POLL_INTERVAL_S)


def _start_check(entry: HostEntry, version: int) -> defer.Deferred:
    return defer.ensureDeferred(_check_version(entry, version))


async def _check_version(entry: HostEntry, version: int) -> str | None:
    """Return why a host does not have the version, or None if it has."""
    try:
        answer = await _fetch_version(entry)
    except UserError as exc:
        return str(exc)[:MAX_REASON_LENGTH]
    if answer["version"] >= version:
        return None
    if answer["rejected"]:
        reason = answer["rejected"][:MAX_REASON_LENGTH]
        return f"keeps version {answer['version']}: {reason}"
    return f"has version {answer['version']}"


async def _fetch_version(entry: HostEntry) -> dict[str, Any]:
    """Fetch the version in plain text, then over TLS if that fails."""
    place = f"{entry.address}:{entry.caller_port}"
    try:
        return await fetch_json(make_url(place, VERSION_PATH))
    except UserError:
        return await fetch_json(make_url(f"https://{place}", VERSION_PATH))

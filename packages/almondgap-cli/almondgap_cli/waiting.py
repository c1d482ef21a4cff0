"""Waiting until a version is in force on every host."""

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

POLL_S = 0.3
VERSION_PATH = "/v1/version"

#: Longest reason that is shown why a host lacks a version, in characters.
MAX_REASON_LENGTH = 120

#: Hosts that are asked at the same time.
ASKED_AT_ONCE = 40


@define
class Rollout:
    """How far a version has come.

    :ivar in_force: seconds until it was in force, by host.
    :ivar missing: why it is not, by host.
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
    """Ask all hosts until the version is in force or the time is over.

    :param timeout: seconds.
    :param report: told of each host as soon as it has the version.
    """
    rollout = Rollout(version)
    follower = _Follower(rollout, time.monotonic(), timeout, report)
    followed = [defer.ensureDeferred(follower.follow(entry)) for entry in hosts]
    await defer.gatherResults(followed)
    return rollout


@define
class _Follower:
    """Follows each host by itself, so that a slow one holds up no other."""

    rollout: Rollout
    began: float
    timeout: float
    report: Callable[[str], None]
    limit: defer.DeferredSemaphore = Factory(
        lambda: defer.DeferredSemaphore(ASKED_AT_ONCE)
    )

    async def follow(self, entry: HostEntry) -> None:
        """Ask a host until it has the version or the time is over."""
        version = self.rollout.version
        while True:
            missing = await self.limit.run(_ask, entry, version)
            took = round(time.monotonic() - self.began, 1)
            if missing is None:
                self.rollout.missing.pop(entry.name, None)
                self.rollout.in_force[entry.name] = took
                self.report(f"{entry.name}: version {version} in force after {took} s")
                return
            self.rollout.missing[entry.name] = missing
            if took >= self.timeout:
                return
            await task.deferLater(reactor, POLL_S)


def _ask(entry: HostEntry, version: int) -> defer.Deferred:
    return defer.ensureDeferred(_find_missing(entry, version))


async def _find_missing(entry: HostEntry, version: int) -> str | None:
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
    """Ask for the version over TLS if the host does not answer without."""
    place = f"{entry.address}:{entry.caller_port}"
    try:
        return await fetch_json(make_url(place, VERSION_PATH))
    except UserError:
        return await fetch_json(make_url(f"https://{place}", VERSION_PATH))

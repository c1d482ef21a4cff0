"""Rollouts, withdrawals and a rolling restart on real processes of this machine."""

from __future__ import annotations

import json
import os
import tempfile
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from unittest import mock

from attrs import Factory, define

from almondgap_testkit.bench.figure import Figure
from almondgap_testkit.fleet import Fleet

HOSTS = ("akl-a-1", "akl-a-2", "wlg-a-1")
SERVICE = "climb-slots"
ACCOUNT = "city-towers"
PEPPER = "trust-example-pepper"
CALLERS = 4
PAUSE_S = 0.05
POLL_S = 0.05

#: Time for which callers keep a look-up, in seconds.
LOOKUP_TTL_S = 5.0

WITHDRAWAL_BOUND_S = 5
IN_FORCE_BOUND_S = 12
LIMIT_S = 60.0


def measure() -> Iterator[Figure]:
    """Yield figures of three hosts and their stand-ins."""
    with _start_fleet() as fleet:
        rollout = _run_cli(fleet, "apply", str(fleet.inventory_file), "--wait")
        in_force = max(rollout["in_force"].values(), default=LIMIT_S)
        yield Figure("restarts.in_force", in_force, "s", IN_FORCE_BOUND_S)
        yield Figure("restarts.missing", len(rollout["missing"]), "hosts", 0)
        key = _run_cli(fleet, "keys", "issue", ACCOUNT)
        _wait_for_status(fleet, key["key"], 200)
        _run_cli(fleet, "keys", "withdraw", key["id"])
        took = _wait_for_status(fleet, key["key"], 401)
        yield Figure("restarts.withdrawal", took, "s", WITHDRAWAL_BOUND_S)
        key = _run_cli(fleet, "keys", "issue", ACCOUNT)["key"]
        _wait_for_status(fleet, key, 200)
        yield from _measure_rolling_restart(fleet, key)


def _measure_rolling_restart(fleet: Fleet, key: str) -> Iterator[Figure]:
    load = _Load(fleet, key)
    load.start()
    slowest = 0.0
    try:
        for host in HOSTS:
            began = time.monotonic()
            fleet.stop(host)
            slowest = max(slowest, time.monotonic() - began)
            fleet.start_host(host)
            fleet.wait_for_url(f"http://{fleet.operators(host)}/v1/ready")
    finally:
        load.stop()
    yield Figure("restarts.requests", load.count, "requests")
    yield Figure("restarts.cut", load.cut, "requests", 0)
    yield Figure("restarts.in_doubt", load.in_doubt, "requests", 0)
    yield Figure("restarts.refused", load.refused, "requests")
    yield Figure("restarts.longest_stop", slowest, "s")


@contextmanager
def _start_fleet() -> Iterator[Fleet]:
    environment = mock.patch.dict(os.environ, ALMONDGAP_PEPPER=PEPPER)
    with tempfile.TemporaryDirectory() as folder, environment:
        fleet = Fleet.from_example("trust", Path(folder), HOSTS)
        try:
            fleet.start()
            yield fleet
        finally:
            fleet.close()


def _run_cli(fleet: Fleet, *args: str) -> dict:
    place = ("--platform", fleet.platform, "--output", "json")
    return json.loads(fleet.run_cli(*args, *place).stdout)


def _wait_for_status(fleet: Fleet, key: str, status: int) -> float:
    """Return the seconds until all hosts answer a key with a status."""
    began = time.monotonic()
    waiting = set(HOSTS)
    while waiting and time.monotonic() - began < LIMIT_S:
        for host in sorted(waiting):
            if _call(fleet.callers(host), key, None)[0] == status:
                waiting.discard(host)
        time.sleep(POLL_S)
    return LIMIT_S if waiting else time.monotonic() - began


def _call(place: str, key: str, operation: str | None) -> tuple[int, str]:
    """Return status and verdict of a request."""
    headers = {"Almondgap-Key": key}
    if operation is not None:
        headers["Idempotency-Key"] = operation
    url = f"http://{place}/v1/call/{SERVICE}/book"
    method = "GET" if operation is None else "POST"
    request = urllib.request.Request(url, headers=headers, method=method)
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            response.read()
            return response.status, response.headers["Almondgap-Verdict"]
    except urllib.error.HTTPError as exc:
        return exc.code, exc.headers["Almondgap-Verdict"]


@define
class _Load:
    """Callers that send operations one after the other, as look-ups tell them.

    :ivar cut: requests whose connection broke after it was opened.
    :ivar in_doubt: requests that were told "may have run".
    :ivar refused: requests that were refused as not run.
    """

    fleet: Fleet
    key: str
    count: int = 0
    cut: int = 0
    in_doubt: int = 0
    refused: int = 0
    stopping: threading.Event = Factory(threading.Event)
    threads: list[threading.Thread] = Factory(list)
    lock: threading.Lock = Factory(threading.Lock)

    def start(self) -> None:
        """Begin to send."""
        for number in range(CALLERS):
            thread = threading.Thread(target=self._send, args=(number,))
            self.threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Stop sending and wait for the last answers."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _send(self, number: int) -> None:
        answer, known_until, sent = None, 0.0, 0
        while not self.stopping.wait(PAUSE_S):
            if time.monotonic() >= known_until:
                answer = self._look_up() or answer
                known_until = time.monotonic() + LOOKUP_TTL_S
            if answer is not None:
                sent += 1
                operation = f"{answer['operation_prefix']}.c{number}-{sent}"
                self._try_hosts(answer["hosts"], operation)

    def _look_up(self) -> dict | None:
        for host in HOSTS:
            url = f"http://{self.fleet.callers(host)}/v1/lookup?service={SERVICE}"
            try:
                answer = self.fleet.get(url)
            except OSError:
                continue
            if answer["operation_prefix"]:
                return answer
        return None

    def _try_hosts(self, hosts: list[dict], operation: str) -> None:
        for entry in hosts:
            place = f"{entry['address']}:{entry['port']}"
            try:
                status, verdict = _call(place, self.key, operation)
            except urllib.error.URLError as exc:
                if isinstance(exc.reason, ConnectionRefusedError):
                    continue
                self._note(0, "")
                return
            except OSError:
                self._note(0, "")
                return
            if status == 503 and verdict == "not-run":
                continue
            self._note(status, verdict)
            return
        self._note(503, "not-run")

    def _note(self, status: int, verdict: str) -> None:
        with self.lock:
            self.count += 1
            self.cut += status == 0
            self.in_doubt += verdict == "may-have-run"
            self.refused += verdict == "not-run"

"""Real gateway processes on loopback, with stand-ins for the store and the targets."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

from attrs import Factory, define

from almondgap_daemon.platform.settings import SETTINGS_VARIABLE
from almondgap_testkit.gateways.builders import HOST_NAME, KEY, REGIONS

STORE_PORT = 7_000
WORKERS_PORT = 7_100
CALLERS_PORT, READY_PORT, DIRECTORY_PORT, PEERS_PORT = 8_000, 8_001, 8_002, 8_003

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.05

#: Second octets of the loopback addresses that sites may use, apart from those of
#: fleets, and the address suffix and port of the socket that reserves them.
FIRST_NET, LAST_NET = 20, 135
GUARD_SUFFIX, GUARD_PORT = "253.1", 6_998

CONFIGURATION: dict[str, Any] = {
    "version": "00000001",
    "routes": {
        "reads": {
            "host": HOST_NAME,
            "prefix": "/reads/",
            "kind": "safe",
            "timeout_s": 2,
            "target_latency_s": 1,
            "priority": 1,
            "backend": "shop",
            "max_attempts": 2,
            "sticky": True,
        },
        "orders": {
            "host": HOST_NAME,
            "prefix": "/orders/",
            "kind": "unsafe",
            "timeout_s": 2,
            "target_latency_s": 1,
            "priority": 0,
            "backend": "shop",
            "max_attempts": 2,
        },
    },
    "services": {"shop": {"health_check": "/health", "max_conns": 100}},
    "tenants": {"one": {"api_keys": [KEY], "rate_per_s": 500, "burst": 500}},
    "limits": {"idle_timeout_s": 15},
}


@define
class Reply:
    """The answer to a caller."""

    status: int
    headers: dict[str, str]
    body: bytes


@define
class Site:
    """The processes of one site.

    :ivar net: prefix of the site's addresses, so that sites do not collide.
    :ivar guard: listening socket that reserves the prefix.
    :ivar descriptors: number of descriptors that hosts are told they may use.
    :ivar grace_s: time from SIGTERM in which hosts are told to end, in seconds.
    """

    net: str
    guard: socket.socket
    folder: Path
    processes: dict[str, subprocess.Popen] = Factory(dict)
    descriptors: int = 4_096
    grace_s: float = 3

    @classmethod
    def start(
        cls,
        workers: int = 2,
        work_s: float = 0.02,
        failure_domains: str = "a1",
        announced_port: int = WORKERS_PORT,
        grace_s: float = 3,
    ) -> Site:
        """Start the store and the targets, and write the configuration.

        :param work_s: service time of the targets, in seconds.
        :param failure_domains: failure domains of the targets in turn, comma-separated.
        :param announced_port: port that the first target announces, if others are to
            reach it through a proxy.
        :param grace_s: time from SIGTERM in which hosts are told to end, in seconds.
        """
        net, guard = _reserve_net()
        folder = Path(tempfile.mkdtemp(prefix="almondgap-site-"))
        site = cls(net, guard, folder, grace_s=grace_s)
        try:
            site._start(workers, work_s, failure_domains, announced_port)
        except BaseException:
            site.close()
            raise
        return site

    def _start(
        self, workers: int, work_s: float, failure_domains: str, announced_port: int
    ) -> None:
        self._run("store", "almondgap_testkit.standins.store", "--port", STORE_PORT)
        self.wait_for_port("store", self.store)
        self._run(
            "workers",
            "almondgap_testkit.standins.workers",
            *("--port", WORKERS_PORT, "--count", workers, "--store", self.store),
            *("--work", work_s, "--failure-domains", failure_domains),
            *("--announced-port", announced_port),
        )
        for number in range(workers):
            self.wait_for_port("workers", f"{self.net}.0.1:{WORKERS_PORT + number}")
        self.write({"table": "op", "key": "config", "value": CONFIGURATION})

    @property
    def store(self) -> str:
        """Address of the store."""
        return f"{self.net}.0.1:{STORE_PORT}"

    def address(self, host: str, port: int) -> str:
        """Return an address of a host, whose name is ``h`` and a number."""
        return f"{self.net}.1.{int(host[1:])}:{port}"

    def start_second_store(self, port: int) -> str:
        """Start another store with the same configuration; return its address."""
        address = f"{self.net}.0.1:{port}"
        name = f"store at {port}"
        self._run(name, "almondgap_testkit.standins.store", "--port", port)
        self.wait_for_port(name, address)
        self.write(
            {"table": "op", "key": "config", "value": CONFIGURATION}, store=address
        )
        return address

    def start_host(self, host: str, failure_domain: str = "a1", **changes) -> None:
        """Start a gateway and wait until it is ready."""
        self.launch_host(host, failure_domain, **changes)
        self.wait_until(lambda: self.is_ready(host))

    def launch_host(self, host: str, failure_domain: str = "a1", **changes) -> None:
        """Start a gateway without waiting for it."""
        self.write_settings(host, failure_domain, **changes)
        environ = {**os.environ, SETTINGS_VARIABLE: str(self.folder / f"{host}.json")}
        with open(self.folder / f"{host}.log", "ab") as log:
            self.processes[host] = subprocess.Popen(
                [sys.executable, "-m", "almondgap_daemon"],
                env=environ,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def write_settings(self, host: str, failure_domain: str = "a1", **changes) -> None:
        """Write the settings file of a host."""
        settings = {
            "host": host,
            "failure_domain": failure_domain,
            "region": REGIONS[failure_domain],
            "regions": REGIONS,
            "address": f"{self.net}.1.{int(host[1:])}",
            "peer_ports": [PEERS_PORT, PEERS_PORT + 10],
            "store": self.store,
            "listen": {
                "callers": self.address(host, CALLERS_PORT),
                "readiness": self.address(host, READY_PORT),
                "directory": self.address(host, DIRECTORY_PORT),
            },
            "limits": {
                "retry_ratio": 0.2,
                "retry_burst": 50,
                "account_window_s": 5,
                "account_over_ratio": 0.1,
                "account_over": 20,
                "descriptors": self.descriptors,
                "grace_s": self.grace_s,
                "most_ttl_s": 5,
                "return_s": 2,
            },
            "answer_ttl_s": 1.5,
            "log_lines_per_s": 200,
            **changes,
        }
        text = "// Settings of a test.\n" + json.dumps(settings)
        (self.folder / f"{host}.json").write_text(text)

    def is_ready(self, host: str) -> bool:
        """Return whether a host reports that it is ready."""
        try:
            address = self.address(host, READY_PORT)
            return self.get(f"http://{address}/ready").status == 200
        except OSError:
            return False

    def call(
        self,
        host: str,
        path: str = "/reads/1",
        method: str = "GET",
        body: bytes | None = None,
        request_id: str = "r1",
        **headers: str,
    ) -> Reply:
        """Send a caller's request and return the answer."""
        conn = http.client.HTTPConnection(
            self.address(host, CALLERS_PORT), timeout=STOP_TIMEOUT_S
        )
        defaults = {
            "Host": HOST_NAME,
            "Authorization": f"Bearer {KEY}",
            "X-Almondgap-Request-Attempt-Id": request_id,
            "X-Almondgap-Affinity-Key": "7",
            "X-Almondgap-Deadline-Ms": "3000",
        }
        conn.request(method, path, body, {**defaults, **headers})
        response = conn.getresponse()
        names = {name.lower(): value for name, value in response.getheaders()}
        reply = Reply(response.status, names, response.read())
        conn.close()
        return reply

    def get(self, url: str) -> Reply:
        """Fetch a page and return the answer, whatever its status."""
        try:
            with urllib.request.urlopen(url, timeout=5) as page:
                return Reply(page.status, dict(page.headers), page.read())
        except urllib.error.HTTPError as exc:
            return Reply(exc.code, dict(exc.headers), exc.read())

    def write(self, *rows: dict[str, Any], store: str = "") -> None:
        """Write rows into a store as an operator.

        :param store: address, empty for the store of the site.
        """
        self.post(f"http://{store or self.store}/control/rows", list(rows))

    def set_mode(self, worker: int, mode: str) -> None:
        """Set the behaviour of a target."""
        address = f"{self.net}.0.1:{WORKERS_PORT + worker}"
        self.post(f"http://{address}/control/mode", mode)

    def list_runs(self, worker: int) -> dict[str, Any]:
        """Return the requests that ran at a target, and the latest one received."""
        address = f"{self.net}.0.1:{WORKERS_PORT + worker}"
        return json.loads(self.get(f"http://{address}/control/runs").body)

    def post(self, url: str, node: Any) -> None:
        """Post JSON to a stand-in."""
        body = json.dumps(node).encode()
        urllib.request.urlopen(urllib.request.Request(url, body, method="POST")).close()

    def read_log(self, host: str) -> list[dict[str, Any]]:
        """Return the decoded lines of a host's log."""
        lines = (self.folder / f"{host}.log").read_text().splitlines()
        return [json.loads(line) for line in lines]

    def stop_host(self, host: str) -> int:
        """Stop a host and return its exit code."""
        process = self.processes.pop(host)
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_TIMEOUT_S)

    def close(self) -> None:
        """Kill all processes and release the address prefix."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.guard.close()

    def wait_until(self, condition, timeout: float = START_TIMEOUT_S) -> None:
        """Wait until a condition holds.

        :raises TimeoutError: the condition does not hold in time.
        """
        deadline = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(f"{condition} not met within {timeout} s")
            time.sleep(POLL_S)

    def wait_for_port(self, name: str, address: str) -> None:
        """Wait until a process listens at an address.

        :raises RuntimeError: the process has ended.
        """
        host, _, port = address.rpartition(":")

        def listens() -> bool:
            if self.processes[name].poll() is not None:
                raise RuntimeError(f"{name} has ended")
            with socket.socket() as probe:
                return probe.connect_ex((host, int(port))) == 0

        self.wait_until(listens)

    def _run(self, name: str, module: str, *args) -> None:
        command = [sys.executable, "-m", module, "--address", f"{self.net}.0.1"]
        self.processes[name] = subprocess.Popen(
            command + [str(arg) for arg in args], stdout=subprocess.DEVNULL
        )


def _reserve_net() -> tuple[str, socket.socket]:
    for octet in range(FIRST_NET, LAST_NET):
        guard = socket.socket()
        try:
            guard.bind((f"127.{octet}.{GUARD_SUFFIX}", GUARD_PORT))
        except OSError:
            guard.close()
            continue
        guard.listen()
        return f"127.{octet}", guard
    raise RuntimeError("no free address prefix on loopback")

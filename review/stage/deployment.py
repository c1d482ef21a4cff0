"""A small deployment on loopback: hosts as separate processes, and their stand-ins.

Hosts run the command of the deploy file with settings as its template renders them.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from store import Store
from web import Request, Response, read_body, read_head, serve

ROOT = Path(__file__).resolve().parents[2]

HOST_NAME = "shop.example"
KEY = "key-of-one"
ACCOUNT = "one"

CALLERS_PORT, READY_PORT, DIRECTORY_PORT, PEERS_PORT = 8686, 8680, 8684, 7740
METRICS_PORT = 9464
STORE_PORT, UPSTREAMS_PORT = 8682, 8601

#: Second octets of loopback addresses that a deployment may use, and the port of the
#: socket that reserves them.
FIRST_NET, LAST_NET = 140, 250
GUARD_PORT = 6_997

#: Bounds of the users' small sites.
GRACE_S = 6.0
QUOTA_WINDOW_S, QUOTA_OVERAGE, QUOTA_SLACK = 5.0, 0.1, 20

START_TIMEOUT_S = 30.0
POLL_S = 0.05


class CannotRunError(Exception):
    """The case could not be played."""


@dataclass
class Upstream:
    """A sound upstream that answers at once or after some work.

    :ivar state: what its entry says, ``ready`` or ``draining``.
    :ivar runs: time and id of each request that it ran.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int = 64
    work_s: float = 0.0
    body: bytes = b"whole body of the upstream"
    state: str = "ready"
    born: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    runs: list[tuple[float, str]] = field(default_factory=list)

    def announce(self, sequence: int) -> dict[str, Any]:
        """Return the upstream's entry."""
        return {
            "address": self.address,
            "born": self.born,
            "info": {
                "backend": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": self.state, "seq": sequence, "cold_left_s": 0},
        }

    async def handle(self, request: Request) -> Response:
        """Run a request, or answer a health check."""
        if request.path == "/health":
            return Response(200, {"X-Almondgap-Instance-Id": self.name})
        request_id = request.headers.get("x-almondgap-request-attempt-id", "")
        headers = {"X-Almondgap-Request-Attempt-Id": request_id}
        if request.headers.get("x-almondgap-expect-instance", self.name) != self.name:
            return Response(421, headers)
        self.runs.append((time.monotonic(), request_id))
        if self.work_s:
            await asyncio.sleep(self.work_s)
        headers["X-Almondgap-Response-Seal"] = f"{self.name}.{request_id}"
        return Response(200, headers, self.body)


@dataclass
class Deployment:
    """The processes and stand-ins of one installation.

    :ivar zones: region of each zone.
    :ivar net: prefix of the loopback addresses in use.
    """

    zones: dict[str, str]
    record: Path
    net: str = field(init=False)
    guard: socket.socket = field(init=False)
    folder: Path = field(init=False)
    store: Store = field(init=False)
    upstreams: list[Upstream] = field(default_factory=list)
    processes: dict[str, subprocess.Popen] = field(default_factory=dict)
    places: dict[str, str] = field(default_factory=dict)
    started_at: float = field(default_factory=time.monotonic)
    _servers: list[asyncio.Server] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="almondgap-review-"))
        self.record.write_text("")
        self.store = Store(self.log)
        self.net, self.guard = _reserve_net()

    def log(self, line: str) -> None:
        """Add a line to the record, with the time since the start."""
        with open(self.record, "a") as file:
            file.write(f"{time.monotonic() - self.started_at:8.3f} {line}\n")

    async def start(self, configuration: dict[str, Any]) -> None:
        """Start the store and the upstreams, and write the desired state."""
        host, port = f"{self.net}.0.1", STORE_PORT
        self._servers.append(await serve(self.store.handle, host, port))
        for upstream in self.upstreams:
            name, _, port = upstream.address.rpartition(":")
            self._servers.append(await serve(upstream.handle, name, int(port)))
        # An entry changes only when more than `seq` does, so once is enough.
        for upstream in self.upstreams:
            self.store.write("servers", upstream.name, upstream.announce(1))
        self.store.write("op", "config", configuration)

    def add_upstream(self, service: str, zone: str, **changes) -> Upstream:
        """Add an upstream that starts with the deployment."""
        number = len(self.upstreams) + 1
        address = f"{self.net}.2.{number}:{UPSTREAMS_PORT}"
        upstream = Upstream(f"i-{number:08x}", service, address, zone, **changes)
        self.upstreams.append(upstream)
        return upstream

    def start_host(self, name: str, zone: str) -> None:
        """Start a host process with the command of the deploy file."""
        number = self.places.setdefault(name, str(len(self.places) + 1))
        address = f"{self.net}.1.{number}"
        settings = {
            "host": name,
            "failure_domain": zone,
            "region": self.zones[zone],
            "regions": self.zones,
            "address": address,
            "peer_ports": [PEERS_PORT, PEERS_PORT + 15],
            "store": f"{self.net}.0.1:{STORE_PORT}",
            "listen": {
                "callers": f"{address}:{CALLERS_PORT}",
                "readiness": f"{address}:{READY_PORT}",
                "directory": f"{address}:{DIRECTORY_PORT}",
            },
            "limits": {
                "retry_ratio": 0.2,
                "retry_burst": 56,
                "account_window_s": QUOTA_WINDOW_S,
                "account_over_ratio": QUOTA_OVERAGE,
                "account_over": QUOTA_SLACK,
                "descriptors": 1_000,
                "grace_s": GRACE_S,
                "most_ttl_s": 5,
                "return_s": 2.0,
            },
            "answer_ttl_s": 1.5,
            "log_lines_per_s": 200,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = role["roles"]["gateway"]["run"].split(" ")
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env |= {"ALMONDGAP_BOOT": str(path), "PYTHONPATH": "target/deps"}
        with open(self.folder / f"{name}.log", "ab") as output:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=output, stderr=subprocess.STDOUT
            )
        self.log(f"host {name} starts in zone {zone}")

    async def wait_ready(self, *names: str) -> None:
        """Wait until hosts say that they are ready."""
        for name in names:
            end = time.monotonic() + START_TIMEOUT_S
            while not await self._is_ready(name):
                if time.monotonic() > end or self.processes[name].poll() is not None:
                    raise CannotRunError(f"host {name} is not ready")
                await asyncio.sleep(POLL_S)
            self.log(f"host {name} is ready")

    async def wait_ended(self, name: str) -> None:
        """Wait until a host's process has ended."""
        end = time.monotonic() + START_TIMEOUT_S
        while self.processes[name].poll() is None:
            if time.monotonic() > end:
                raise CannotRunError(f"host {name} has not ended")
            await asyncio.sleep(POLL_S)
        self.log(f"host {name} has ended, exit code {self.processes[name].returncode}")

    def stop_host(self, name: str) -> None:
        """Send a host SIGTERM, as the platform does before it stops a process."""
        self.log(f"host {name} gets SIGTERM")
        self.processes[name].send_signal(signal.SIGTERM)

    def find_address(self, name: str) -> tuple[str, int]:
        """Return the address of a host for callers."""
        return f"{self.net}.1.{self.places[name]}", CALLERS_PORT

    def close(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for server in self._servers:
            server.close()
        self.guard.close()

    async def _is_ready(self, name: str) -> bool:
        host = f"{self.net}.1.{self.places[name]}"
        try:
            reader, writer = await asyncio.open_connection(host, READY_PORT)
        except OSError:
            return False
        writer.write(f"GET /ready HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        head = await read_head(reader)
        writer.close()
        return head is not None and head[0].split(" ")[1] == "200"


def make_request(method: str, path: str, request_id: str, budget_ms: int) -> bytes:
    """Return the bytes of a client's request without a body."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Authorization: Bearer {KEY}",
        f"X-Almondgap-Request-Attempt-Id: {request_id}",
        f"X-Almondgap-Deadline-Ms: {budget_ms}",
    ]
    if method != "GET":
        lines.append("Content-Length: 0")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def call(address: tuple[str, int], request: bytes) -> int:
    """Send a request on a connection of its own; return the status of its answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request)
        head = await read_head(reader)
        if head is None:
            return 0
        await read_body(reader, head[1])
        return int(head[0].split(" ")[1])
    finally:
        writer.close()


def make_configuration(**changes) -> dict[str, Any]:
    """Return a desired state with a safe and an unsafe route to one service."""
    route = {
        "host": HOST_NAME,
        "timeout_s": 6.0,
        "target_latency_s": 1.0,
        "priority": 1,
        "backend": "shop",
        "max_attempts": 3,
    }
    return {
        "version": "00000001",
        "routes": {
            "reads": {**route, "prefix": "/reads/", "kind": "safe"},
            "orders": {**route, "prefix": "/orders/", "kind": "unsafe"},
        },
        "services": {"shop": {"health_check": "/health", "max_conns": 330}},
        "tenants": {ACCOUNT: {"api_keys": [KEY], "rate_per_s": 0, "burst": 0}},
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 8_388_608,
            "header_timeout_s": 3.0,
            "idle_timeout_s": 10.0,
        },
        **changes,
    }


def run_case(main, record: Path) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 on failure."""
    try:
        broken = asyncio.run(main(record))
    except Exception as exc:
        with open(record, "a") as file:
            file.write(f"cannot run: {exc!r}\n")
        print(f"cannot run: {exc!r}")
        sys.exit(2)
    sys.exit(1 if broken else 0)


def _reserve_net() -> tuple[str, socket.socket]:
    """Return a free prefix of addresses, and the socket that reserves it."""
    for octet in range(FIRST_NET, LAST_NET):
        net = f"127.{octet}"
        try:
            guard = socket.create_server((f"{net}.255.1", GUARD_PORT))
        except OSError:
            continue
        try:
            for address in ((f"{net}.0.1", STORE_PORT), (f"{net}.1.1", METRICS_PORT)):
                with socket.create_server(address):
                    pass
        except OSError:
            guard.close()
            continue
        return net, guard
    raise CannotRunError("no free loopback addresses")

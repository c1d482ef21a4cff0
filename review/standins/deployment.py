"""Stand-ins for the store, upstreams and clients, and a starter of gateway processes.

They speak what PROTOCOL.md says, with the standard library only, and run on one asyncio
loop in the process of a case. Gateways are separate processes, started with the command
of the deploy file and settings made from its template.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]

#: Exit codes of a case.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

#: Time within which a case must end, in seconds.
CASE_LIMIT_S = 110.0

#: Time within which a gateway must be ready, in seconds.
START_LIMIT_S = 20.0

#: Time between two parts of a message that is sent or read at a limited rate.
PACE_S = 0.05

#: Ports of the addresses of a site; each machine has an address of its own.
FRONT, READINESS, DIRECTORY, CONTROL, PEERS, STORE, SERVER = range(8_680, 8_687)

#: Bounds as the pages of the small sites give them.
BOUNDS = {
    "retry_budget_ratio": 0.2,
    "retry_burst": 56,
    "quota_window_s": 5,
    "quota_overage": 0.1,
    "quota_slack": 20,
    "grace_s": 6,
    "ttl_max_s": 5,
}

LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 67_108_864,
    "header_timeout_s": 3,
    "idle_timeout_s": 15,
}

HOST_NAME = "hulo84.example"
KEY = "s989anu6wsjnbanfqasn"
TENANT = "cuka620"

SEAL = "X-Almondgap-Response-Seal"
ATTEMPT_ID = "X-Almondgap-Request-Attempt-Id"

_PLACEHOLDER = re.compile(r"\{\{([\w.]+)\|json\}\}")


class CannotRun(Exception):
    """The case could not be set up."""


@dataclass
class Record:
    """What was sent, answered and run, as lines of a file with times from the start."""

    path: Path
    began: float = field(default_factory=time.monotonic)

    def __post_init__(self) -> None:
        self.path.write_text("")

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.began

    def add(self, text: str) -> None:
        """Write a line."""
        line = f"{self.now:8.3f}  {text}"
        with self.path.open("a") as file:
            file.write(line + "\n")
        print(line, flush=True)


@dataclass
class Message:
    """A request or an answer that was read completely.

    :ivar first: the parts of its first line.
    """

    first: list[str]
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str]]:
    """Read the first line and the headers, whose names become lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    return first.split(" ", 2), headers


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a length or is sent in chunks."""
    first, headers = await read_head(reader)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(first, headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if not size:
            await reader.readuntil(b"\r\n")
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


def encode(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = [first, *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's store: rows, transactions and feeds, without faults."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.history: list[tuple[int, tuple[str, str, str], str | None]] = []
        self.version = 0
        self.changed = asyncio.Condition()

    async def put(self, table: str, key: str, value: dict) -> int:
        """Write a row as the operator or an upstream does; return its version."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return await self._apply({(table, "", key): text})

    async def drop(self, table: str, key: str) -> int:
        """Remove a row."""
        return await self._apply({(table, "", key): None})

    async def _apply(self, changes: dict[tuple[str, str, str], str | None]) -> int:
        async with self.changed:
            self.version += 1
            for name, text in changes.items():
                if text is None:
                    if self.rows.pop(name, None) is None:
                        continue
                else:
                    self.rows[name] = (text, self.version)
                self.history.append((self.version, name, text))
            self.changed.notify_all()
        return self.version

    async def serve(self, reader, writer) -> None:
        """Answer the calls of one connection."""
        try:
            while True:
                message = await read_message(reader)
                status, node = await self._answer(message)
                data = json.dumps(node).encode()
                fields = {"Content-Type": "application/json"}
                writer.write(encode(f"HTTP/1.1 {status} -", fields, data))
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _answer(self, message: Message) -> tuple[int, dict]:
        method, target, _ = message.first
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        if (method, parts.path) == ("GET", "/rows-get"):
            return 200, self._read(query)
        if (method, parts.path) == ("GET", "/rows-feed"):
            return 200, await self._follow(query)
        if (method, parts.path) == ("POST", "/rows-tx"):
            return await self._transact(json.loads(message.body))
        return 404, {}

    def _stamp(self) -> dict:
        return {"ver": self.version, "now_s": time.monotonic()}

    def _read(self, query: dict[str, str]) -> dict:
        limit = min(500, int(query.get("limit", 500)))
        first, part = query.get("from", ""), query.get("part", "")
        names = sorted(
            name
            for name in self.rows
            if name[:2] == (query["table"], part) and name[2] >= first
        )
        rows = [self._dump(name, *self.rows[name]) for name in names[:limit]]
        return {"rows": rows, "has_more": len(names) > limit, **self._stamp()}

    async def _follow(self, query: dict[str, str]) -> dict:
        after, wait_s = int(query["after"]), int(query.get("wait_ms", 0)) / 1000

        def list_rows() -> list[dict]:
            latest = {
                name: (text, version)
                for version, name, text in self.history
                if version > after and name[0] == query["table"]
            }
            return [self._dump(name, *row) for name, row in latest.items()]

        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(list_rows), wait_s)
            except TimeoutError:
                pass
            return {"rows": list_rows(), **self._stamp()}

    async def _transact(self, node: dict) -> tuple[int, dict]:
        changes: dict[tuple[str, str, str], str | None] = {}
        for row in node.get("expect_rev", []):
            known = self.rows.get(_name(row), ("", 0))[1]
            if known != row["ver"]:
                return 412, {"rows": [], **self._stamp()}
        for row in node.get("writes", []):
            changes[_name(row)] = row["value"]
        for row in node.get("deletes", []):
            changes[_name(row)] = None
        if any(name[0] in ("op", "servers") for name in changes):
            return 403, self._stamp()
        await self._apply(changes)
        return 200, self._stamp()

    def _dump(self, name: tuple[str, str, str], text: str | None, version: int) -> dict:
        row = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        return {**row, **({"tombstone": True} if text is None else {"value": text})}


def _name(row: dict) -> tuple[str, str, str]:
    return row["table"], row.get("part", ""), row["key"]


@dataclass
class Run:
    """One run of a request at an upstream; times from the start of the record."""

    attempt_id: str
    server: str
    began: float
    ended: float | None = None


#: Returns the body of the answer; it may wait for the time that the work takes.
Work = Callable[[Message], Awaitable[bytes]]


class Server:
    """A sound upstream: runs what it expects, one request at a time on a connection.

    :ivar work: does the work of a request.
    :ivar runs: what began to run, in order.
    """

    def __init__(self, record: Record, name: str, work: Work, slots: int = 3) -> None:
        self.record, self.name, self.work = record, name, work
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.runs: list[Run] = []
        self.running = self.waiting = 0

    async def serve(self, reader, writer) -> None:
        """Answer the requests of one connection."""
        try:
            while True:
                message = await read_message(reader)
                writer.write(await self._answer(message))
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _answer(self, message: Message) -> bytes:
        method, target, _ = message.first
        headers = {"X-Almondgap-Instance-Id": self.name}
        if (method, target) == ("GET", "/health"):
            return encode("HTTP/1.1 200 OK", headers)
        expected = message.headers.get("x-almondgap-expect-instance", self.name)
        if expected != self.name:
            return encode("HTTP/1.1 421 Misdirected Request", headers)
        attempt_id = message.headers.get(ATTEMPT_ID.lower(), "")
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            run = Run(attempt_id, self.name, self.record.now)
            self.runs.append(run)
            try:
                body = await self.work(message)
            finally:
                self.running -= 1
            run.ended = self.record.now
        load = f"{self.running},{self.waiting},{self.slot_count}"
        fields = {ATTEMPT_ID: attempt_id, SEAL: "3e1b.07", **headers}
        fields["X-Almondgap-Server-Load"] = load
        return encode("HTTP/1.1 200 OK", fields, body)


@dataclass
class Outcome:
    """What a client saw of its attempt.

    :ivar status: status of the complete answer, 0 if there is none.
    :ivar sent: when the whole request was sent.
    :ivar detail: how the attempt ended otherwise.
    :ivar received: bytes of the body that a slow reader has read.
    """

    attempt_id: str
    status: int
    sent: float
    ended: float
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    detail: str = ""
    received: int = 0


class KeptConnection:
    """A connection of a client that carries one request after another."""

    def __init__(self, site: Site, reader, writer) -> None:
        self.site, self.reader, self.writer = site, reader, writer

    @classmethod
    async def open(
        cls, site: Site, host: Host, receive_bytes: int = 0
    ) -> KeptConnection:
        """Connect to a host.

        :param receive_bytes: size of the receive buffer, 0 for the system's own.
        """
        sock = socket.socket()
        sock.setblocking(False)
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        try:
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (host.ip, FRONT))
        except BaseException:
            sock.close()
            raise
        limit = receive_bytes or 2**20
        return cls(site, *await asyncio.open_connection(sock=sock, limit=limit))

    async def request(
        self,
        method: str,
        path: str,
        deadline_ms: int,
        body: bytes = b"",
        bytes_per_s: float = 0.0,
        read_bytes_per_s: float = 0.0,
    ) -> Outcome:
        """Send a request and wait for its answer.

        :param bytes_per_s: rate at which the request is sent, 0 for any.
        :param read_bytes_per_s: rate at which the answer is read, 0 for any.
        """
        fields = self.site.make_headers(deadline_ms)
        data = encode(f"{method} {path} HTTP/1.1", fields, body)
        record = self.site.record
        outcome = Outcome(fields[ATTEMPT_ID], 0, record.now, record.now)
        try:
            answer = await asyncio.wait_for(
                self._exchange(data, bytes_per_s, read_bytes_per_s, outcome),
                deadline_ms / 1000,
            )
        except TimeoutError:
            outcome.detail = "no complete answer in time"
        except (OSError, EOFError) as exc:
            outcome.detail = f"closed without a complete answer: {type(exc).__name__}"
        else:
            outcome.status = int(answer.first[1])
            outcome.headers, outcome.body = answer.headers, answer.body
        outcome.ended = record.now
        return outcome

    async def _exchange(
        self, data: bytes, write_rate: float, read_rate: float, outcome: Outcome
    ) -> Message:
        step = int(write_rate * PACE_S) or len(data)
        for start in range(0, len(data), step):
            self.writer.write(data[start : start + step])
            await self.writer.drain()
            if write_rate:
                await asyncio.sleep(PACE_S)
        outcome.sent = self.site.record.now
        if not read_rate:
            return await read_message(self.reader)
        first, headers = await read_head(self.reader)
        left, parts = int(headers["content-length"]), []
        while left:
            part = await self.reader.readexactly(min(left, int(read_rate * PACE_S)))
            parts.append(part)
            left -= len(part)
            outcome.received += len(part)
            await asyncio.sleep(PACE_S)
        return Message(first, headers, b"".join(parts))

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Host:
    """A gateway process of the project."""

    def __init__(self, site: Site, name: str, zone: str, ip: str) -> None:
        self.site, self.name, self.zone, self.ip = site, name, zone, ip
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self.site.folder / f"{self.name}.json"
        path.write_text(self.site.render_settings(self))
        passed_on = ("PATH", "HOME", "LANG")
        environ = {name: os.environ[name] for name in passed_on if name in os.environ}
        environ["ALMONDGAP_BOOT"] = str(path)
        environ["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.site.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "almondgap_daemon"],
                cwd=ROOT,
                env=environ,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def wait_until_ready(self) -> None:
        """Wait until the host says that it is ready."""
        deadline = time.monotonic() + START_LIMIT_S
        while True:
            try:
                status = await self._ask_ready()
            except (OSError, EOFError):
                status = 0
            if status == 200:
                return
            if time.monotonic() > deadline:
                raise CannotRun(f"{self.name} is not ready")
            await asyncio.sleep(0.05)

    async def _ask_ready(self) -> int:
        reader, writer = await asyncio.open_connection(self.ip, READINESS)
        try:
            writer.write(encode("GET /ready HTTP/1.1", {"Host": self.ip}))
            return int((await read_message(reader)).first[1])
        finally:
            writer.close()

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    @property
    def resident_mb(self) -> float:
        """Memory of the process, in MB, 0 after its end."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        match = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(match[1]) / 1000 if match else 0.0


class Site:
    """A small deployment on loopback addresses of its own.

    :ivar zones: region of each zone.
    """

    def __init__(self, record: Record, zones: dict[str, str]) -> None:
        self.record, self.zones = record, zones
        self.folder = Path(tempfile.mkdtemp(prefix="almondgap-review-"))
        self.net, self._guard = _reserve_net()
        self.store = Store()
        self.hosts: list[Host] = []
        self.servers: dict[str, Server] = {}
        self._listening: list[asyncio.Server] = []
        self._ids = itertools.count(1)

    async def open(self) -> None:
        """Open the store."""
        await self.listen(self.store.serve, f"{self.net}.0.1", STORE)

    async def listen(self, serve, ip: str, port: int) -> None:
        """Listen at an address."""
        limit = 2**20
        server = await asyncio.start_server(
            serve, ip, port, limit=limit, backlog=512, start_serving=True
        )
        self._listening.append(server)

    async def add_server(
        self, name: str, service: str, zone: str, work: Work, slots: int = 3
    ) -> Server:
        """Start an upstream and register it."""
        number = len(self.servers) + 1
        ip = f"{self.net}.2.{number}"
        server = self.servers[name] = Server(self.record, name, work, slots)
        await self.listen(server.serve, ip, SERVER)
        entry = {
            "address": f"{ip}:{SERVER}",
            "info": {"backend": service, "version": "v1", "zone": zone, "slots": slots},
            "status": {"state": "ready", "seq": 1, "cold_left_s": 0},
            "born": round(time.time() * 1000),
        }
        await self.store.put("servers", name, entry)
        return server

    async def configure(self, version: int, routes: dict, **changes) -> None:
        """Write a desired state."""
        services = {}
        for route in routes.values():
            services[route["backend"]] = {
                "health_check": "/health",
                "max_conns": 330,
                "cold_s": 3.0,
                "cold_per_s": 5.0,
            }
        tenant = {"api_keys": [KEY], "priority": 1, "rate_per_s": 87, "burst": 87}
        state = {
            "version": f"{version:08x}",
            "routes": routes,
            "services": services,
            "limits": LIMITS,
            "tenants": {TENANT: {**tenant, "allowed_regions": []}},
            **changes,
        }
        await self.store.put("op", "config", state)

    def add_host(self, zone: str) -> Host:
        """Add a machine; its process is not started."""
        number = len(self.hosts) + 1
        host = Host(self, f"edge-{zone}-{number}", zone, f"{self.net}.1.{number}")
        self.hosts.append(host)
        return host

    def render_settings(self, host: Host) -> str:
        """Fill in the template of the deploy file."""
        fields = {
            "node": host.name,
            "zone": host.zone,
            "region": self.zones[host.zone],
            "zones": self.zones,
            "ip": host.ip,
            "port_range": [PEERS, PEERS],
            "provider": {"address": f"{self.net}.0.1:{STORE}"},
            "listen": {
                "front": f"{host.ip}:{FRONT}",
                "readiness": f"{host.ip}:{READINESS}",
                "directory": f"{host.ip}:{DIRECTORY}",
                "control": f"{host.ip}:{CONTROL}",
            },
            "bounds": BOUNDS,
            "limits": {"max_fds": 4100, "memory_mb": 300},
        }

        def fill(match: re.Match) -> str:
            value = fields
            for part in match[1].split("."):
                value = value[part]
            return json.dumps(value)

        return _PLACEHOLDER.sub(fill, (ROOT / "deploy" / "host.json").read_text())

    def make_headers(self, deadline_ms: int) -> dict[str, str]:
        """Return the headers of a client's request, with an id of its own."""
        return {
            "Host": HOST_NAME,
            ATTEMPT_ID: f"{next(self._ids):016x}",
            "X-Almondgap-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
        }

    async def request(
        self, host: Host, method: str, path: str, deadline_ms: int, body: bytes = b""
    ) -> Outcome:
        """Send a request on a new connection and wait for its answer."""
        began = self.record.now
        try:
            conn = await asyncio.wait_for(KeptConnection.open(self, host), 1.0)
        except (OSError, TimeoutError) as exc:
            detail = f"no connection: {type(exc).__name__}"
            return Outcome("", 0, began, self.record.now, detail=detail)
        try:
            return await conn.request(method, path, deadline_ms, body)
        finally:
            conn.close()

    def find_runs(self, attempt_id: str) -> list[Run]:
        """Return the runs of an attempt at all upstreams."""
        return [
            run
            for server in self.servers.values()
            for run in server.runs
            if run.attempt_id == attempt_id
        ]

    async def close(self) -> None:
        """End all processes and tasks, and remove the folder."""
        for host in self.hosts:
            host.kill()
        for server in self._listening:
            server.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        # Closed connections end with the next turn of the loop.
        await asyncio.sleep(PACE_S)
        self._guard.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def _reserve_net() -> tuple[str, socket.socket]:
    """Return a prefix of loopback addresses that no other case uses now."""
    for octet in random.sample(range(140, 240), 100):
        guard = socket.socket()
        try:
            guard.bind((f"127.{octet}.255.1", STORE))
        except OSError:
            guard.close()
            continue
        guard.listen()
        return f"127.{octet}", guard
    raise CannotRun("no free loopback addresses")


def route(kind: str, backend: str, prefix: str, timeout_s: float, **changes) -> dict:
    """Return a route of a desired state."""
    return {
        "host": HOST_NAME,
        "prefix": prefix,
        "kind": kind,
        "timeout_s": timeout_s,
        "target_latency_s": 0.8,
        "priority": 1,
        "backend": backend,
        "max_attempts": 2,
        "public": False,
        "sticky": False,
        "allowed_regions": [],
        **changes,
    }


def run_case(path: str, play: Callable[[Record, bool], Awaitable[bool]]) -> None:
    """Play a case and exit with its code.

    :param path: file of the case, beside which the record is written.
    :param play: plays it with or without the disruption; returns whether the rule held.
    """
    record = Record(Path(path).with_name("record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))

    async def play_in_time() -> bool:
        # One task for all of it, so that closing the site may cancel all others.
        async with asyncio.timeout(CASE_LIMIT_S):
            return await play(record, has_trouble)

    try:
        held = asyncio.run(play_in_time())
    except Exception as exc:
        record.add(f"the case could not run: {exc!r}")
        sys.exit(COULD_NOT_RUN)
    record.add("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)

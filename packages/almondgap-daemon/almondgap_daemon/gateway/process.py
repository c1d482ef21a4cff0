"""The process of a gateway: its ports, its start, its reload and its planned stop."""

from __future__ import annotations

import gc
import os
import random
import signal
import sys
import time
from pathlib import Path

from attrs import define, evolve, field
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from almondgap_core.exceptions import ConfigurationError, MessageError, PlatformError
from almondgap_core.gateway.configuration import CallerLimits
from almondgap_core.gateway.events import StopRequested
from almondgap_core.gateway.fleet import list_caller_addresses, register_peers
from almondgap_core.gateway.state import GatewayState
from almondgap_core.units import MICROS_PER_SECOND
from almondgap_daemon.gateway.follower import StoreFollower
from almondgap_daemon.gateway.logs import LineWriter, ReportLog
from almondgap_daemon.gateway.messages import MessageSocket
from almondgap_daemon.gateway.metrics import GatewayMetrics
from almondgap_daemon.gateway.node import Node
from almondgap_daemon.http.pages import Page, Pages
from almondgap_daemon.http.server import ServerFactory, ServerLimits
from almondgap_daemon.platform.directory import (
    JSON_TYPE,
    METRICS_PATH,
    READY_PATH,
    RESOLVE_PATH,
    encode_addresses,
    read_question,
)
from almondgap_daemon.platform.records import HOSTS_TABLE, decode_place, encode_place
from almondgap_daemon.platform.settings import (
    METRICS_PORT,
    SETTINGS_VARIABLE,
    HostSettings,
)
from almondgap_daemon.platform.store import StoreClient

#: Connections that wait to be accepted.
BACKLOG = 512

#: Time for which a host that is stopping goes on taking requests, as a part of the
#: grace: callers keep what the directory said for some seconds.
LEAVE_PART = 0.58

#: Time after the last answer at which the process ends, in seconds: a lost packet is
#: sent once more after a fifth of a second, and again after two fifths.
LINGER_S = 0.8

#: Time before the end of the grace at which the process ends in any case, in seconds.
END_MARGIN_S = 0.4

#: Pause before another try to register with the store, in seconds.
REGISTER_PAUSE_S = 0.5

#: Time between two looks at the settings file and the end of a stop, in seconds.
WATCH_S = 0.5

#: Exit code for settings that cannot be used.
BAD_SETTINGS = 2


def main() -> None:
    """Run a gateway until it is told to stop."""
    path = Path(os.environ[SETTINGS_VARIABLE])
    try:
        cfg = HostSettings.from_file(path)
    except ConfigurationError as exc:
        print(exc, file=sys.stderr)
        sys.exit(BAD_SETTINGS)
    use_steady_clock(reactor)
    gateway = GatewayProcess.from_config(reactor, cfg, path)
    reactor.callWhenRunning(gateway.start)
    # What was loaded stays until the end: the collector need not look at it again.
    gc.collect()
    gc.freeze()
    reactor.run(installSignalHandlers=False)


def use_steady_clock(reactor) -> None:
    """Let a reactor keep time by a clock that nobody sets.

    Twisted's own is the time of day: when that is set, timers come late or early, and
    buckets earn tokens for time that has not passed.
    """
    reactor.seconds = time.monotonic


@define
class GatewayProcess:
    """A gateway with its ports.

    :ivar callers_port: port that callers connect to, None once it is closed.
    :ivar stopping_since: when the planned stop began, None while none was asked for.
    """

    reactor: object
    cfg: HostSettings
    path: Path
    log: ReportLog
    node: Node
    store: StoreClient
    follower: StoreFollower = field(init=False)
    messages: MessageSocket = field(init=False)
    callers: ServerFactory = field(init=False)
    callers_port: object = None
    stopping_since: float | None = None
    _read_at: float = 0.0

    @classmethod
    def from_config(cls, reactor, cfg: HostSettings, path: Path) -> GatewayProcess:
        """Return the process that the settings describe."""
        place = cfg.place
        writer = LineWriter(sys.stdout.fileno())
        log = ReportLog(writer, place.host, cfg.lines_per_s, time.time)
        state = GatewayState(
            place,
            incarnation=time.time_ns() // 1_000_000,
            regions=cfg.regions,
            bounds=cfg.bounds,
            seed=random.getrandbits(63),
        )
        node = Node(reactor, state, log, GatewayMetrics(), send_message=None)
        store = StoreClient(reactor, cfg.store)
        return cls(reactor, cfg, path, log, node, store)

    def __attrs_post_init__(self) -> None:
        node = self.node
        self.follower = StoreFollower(
            self.reactor, self.store, node.feed, node.now, random.random, self._warn
        )
        self.messages = MessageSocket(node.heard, self._warn)
        node.send_message = self.messages.send
        self.callers = ServerFactory(self.reactor, node, self._warn)
        self._read_at = _find_change_time(self.path)

    def start(self) -> None:
        """Open the ports, learn all from the store, and serve."""
        place = self.cfg.place
        directory = Pages({RESOLVE_PATH: self._resolve})
        readiness = Pages({READY_PATH: self._tell_ready})
        metrics = Pages({METRICS_PATH: self._render_metrics})
        self.callers_port = self._listen(place.caller_address, self.callers)
        self._listen(self.cfg.readiness, self._make_pages(readiness))
        self._listen(self.cfg.directory, self._make_pages(directory))
        host, _, port = place.peer_address.rpartition(":")
        self._listen(f"{host}:{METRICS_PORT}", self._make_pages(metrics))
        self.reactor.listenUDP(int(port), self.messages, host)
        self._on_signal(signal.SIGTERM, self.stop)
        self._on_signal(signal.SIGINT, self.stop)
        self._on_signal(signal.SIGHUP, self.reload)
        incarnation = self.node.state.incarnation
        self.log.write(
            "host started", incarnation=incarnation, failure_domain=place.failure_domain
        )
        self.node.start()
        self.follower.start()
        self._register()
        self._watch()

    def stop(self) -> None:
        """Begin the planned stop: leave the directory, serve what comes, end."""
        if self.stopping_since is not None:
            return
        self.stopping_since = self.reactor.seconds()
        self.callers.closing = True
        self.node.feed(StopRequested(self.node.now()))
        removing = self.store.delete_row(HOSTS_TABLE, self.cfg.place.host)
        removing.addErrback(self._report_platform_error, "row of this host stays")

    def reload(self) -> None:
        """Take over what can change while the host runs; keep the rest."""
        self._read_at = _find_change_time(self.path)
        try:
            cfg = HostSettings.from_file(self.path)
        except ConfigurationError as exc:
            self.log.write("settings kept", cause=str(exc))
            return
        fixed = (cfg.place, cfg.readiness, cfg.directory, cfg.store)
        if fixed != (
            self.cfg.place,
            self.cfg.readiness,
            self.cfg.directory,
            self.cfg.store,
        ):
            cause = "addresses and place change with a restart only"
            self.log.write("settings kept in part", cause=cause)
        before = self.cfg
        self.cfg = evolve(
            cfg,
            place=self.cfg.place,
            readiness=self.cfg.readiness,
            directory=self.cfg.directory,
            store=self.cfg.store,
        )
        self.node.state.bounds = cfg.bounds
        self.node.state.regions = cfg.regions
        self.log.lines_per_s = cfg.lines_per_s
        self.log.write("settings read", changed=self.cfg != before)

    def _watch(self) -> None:
        """Look after the settings file, callers' limits and the planned stop."""
        self.reactor.callLater(WATCH_S, self._watch)
        if _find_change_time(self.path) != self._read_at:
            self.reload()
        if self.node.state.configuration is not None:
            self.callers.limits = _make_limits(self.node.state.configuration.limits)
        if self.stopping_since is None:
            return
        elapsed = self.reactor.seconds() - self.stopping_since
        if elapsed < self.cfg.grace * LEAVE_PART:
            return
        self._close_port()
        self.callers.close_idle()
        # What was written last may have to be sent once more by the system.
        quiet = not self.node.running and self.node.quiet_s >= LINGER_S
        if quiet or elapsed >= self.cfg.grace - END_MARGIN_S:
            self._end()

    def _close_port(self) -> None:
        """Take no more connections; callers that still come go to another host."""
        port, self.callers_port = self.callers_port, None
        if port is not None:
            port.stopListening()

    def _end(self) -> None:
        self.log.write("host stopped", cut=self.node.running)
        self.log.tick()
        self.follower.stop()
        self.reactor.stop()

    @inlineCallbacks
    def _register(self):
        """Enter this host into the store, and learn of the others."""
        place = self.cfg.place
        written = False
        while self.stopping_since is None:
            try:
                if not written:
                    yield self.store.write_row(
                        HOSTS_TABLE, place.host, encode_place(place)
                    )
                    written = True
                read = yield self.store.read_rows(HOSTS_TABLE)
            except PlatformError as exc:
                self.log.write("not registered yet", cause=str(exc))
                yield deferLater(self.reactor, REGISTER_PAUSE_S)
                continue
            self._meet(read.rows)
            return

    def _meet(self, rows) -> None:
        places = []
        for row in rows:
            try:
                places.append(decode_place(row.value))
            except MessageError as exc:
                self._warn(f"host {row.key}: {exc}")
        register_peers(self.node.state, places, self.node.now())

    def _resolve(self, query: dict[str, str]) -> Page:
        question = read_question(query)
        addresses = list_caller_addresses(
            self.node.state,
            question.failure_domain,
            question.region,
            self.node.now(),
        )
        if not addresses:
            return Page(503, b"no host is ready")
        body = encode_addresses(addresses, self.cfg.answer_ttl)
        return Page(200, body, JSON_TYPE)

    def _tell_ready(self, query: dict[str, str]) -> Page:
        if self.node.state.ready:
            return Page(200, b"ready")
        return Page(503, b"not ready")

    def _render_metrics(self, query: dict[str, str]) -> Page:
        gauges = self.node.metrics.gauges
        gauges["requests_running"] = self.node.running
        gauges["store_calls"] = self.store.calls
        gauges["target_connections_opened"] = self.node.sender.pool.opened
        gauges["configuration_version"] = self.node.state.version
        return Page(200, self.node.metrics.render(), "text/plain; version=0.0.4")

    def _listen(self, address: str, factory: ServerFactory):
        host, _, port = address.rpartition(":")
        return self.reactor.listenTCP(int(port), factory, BACKLOG, host)

    def _make_pages(self, pages: Pages) -> ServerFactory:
        return ServerFactory(self.reactor, pages, self._warn)

    def _on_signal(self, number: int, act) -> None:
        signal.signal(number, lambda *_: self.reactor.callFromThread(act))

    def _warn(self, cause: str) -> None:
        self.log.write("input ignored", cause=cause[:300])

    def _report_platform_error(self, failure, event: str) -> None:
        failure.trap(PlatformError)
        self.log.write(event, cause=failure.getErrorMessage())


def _make_limits(limits: CallerLimits) -> ServerLimits:
    return ServerLimits(
        limits.header_bytes,
        limits.body_bytes,
        limits.header_timeout / MICROS_PER_SECOND,
        limits.idle_timeout / MICROS_PER_SECOND,
    )


def _find_change_time(path: Path) -> float:
    """Return when a file was last changed; 0 if it is not there for a moment."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0.0

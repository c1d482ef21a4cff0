"""The gateway process: listening ports, start, reload of settings and planned stop."""

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
from almondgap_core.gateway.events import StoreRestored
from almondgap_core.gateway.fleet import list_caller_addresses, register_peers
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.store_views import plan_call
from almondgap_core.units import MICROS_PER_SECOND
from almondgap_daemon.gateway.logs import LineWriter, ReportLog
from almondgap_daemon.gateway.messages import MessageSocket
from almondgap_daemon.gateway.metrics import GatewayMetrics
from almondgap_daemon.gateway.planned_stop import PlannedStop
from almondgap_daemon.gateway.runtime import GatewayRuntime
from almondgap_daemon.gateway.suspect_store import SuspectStore
from almondgap_daemon.gateway.watcher import StoreWatcher
from almondgap_daemon.http.pages import Page, PageHandler
from almondgap_daemon.http.server import ServerFactory, ServerLimits
from almondgap_daemon.platform.directory import (
    JSON_TYPE,
    METRICS_PATH,
    READY_PATH,
    RESOLVE_PATH,
    encode_addresses,
    parse_query,
)
from almondgap_daemon.platform.records import HOSTS_TABLE, decode_place, encode_place
from almondgap_daemon.platform.settings import (
    METRICS_PORT,
    SETTINGS_VARIABLE,
    HostSettings,
)
from almondgap_daemon.platform.store import StoreClient

#: Length of the listen queue, in connections.
LISTEN_BACKLOG = 512

#: Share of the descriptors that callers' connections may take; the rest is for targets,
#: other hosts, the store and files.
CALLER_DESCRIPTORS_FRACTION = 0.6

#: Delay before another attempt to register with the store, in seconds.
REGISTER_RETRY_S = 0.5

#: Interval of checks of the settings file, in seconds.
POLL_INTERVAL_S = 0.5

#: Exit code for invalid settings.
EXIT_BAD_SETTINGS = 2


def main() -> None:
    """Run a gateway until it is stopped by a signal."""
    path = Path(os.environ[SETTINGS_VARIABLE])
    try:
        cfg = HostSettings.from_file(path)
    except ConfigurationError as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    use_monotonic_clock(reactor)
    gateway = GatewayProcess.from_config(reactor, cfg, path)
    reactor.callWhenRunning(gateway.start)
    # Modules stay loaded; excluding them makes garbage collections shorter.
    gc.collect()
    gc.freeze()
    reactor.run(installSignalHandlers=False)


def use_monotonic_clock(reactor) -> None:
    """Make a reactor use the monotonic clock.

    Twisted's default is the time of day. When that is set, timers fire late or early,
    and token buckets refill for time that has not passed.
    """
    reactor.seconds = time.monotonic


@define
class GatewayProcess:
    """A gateway with its listening ports.

    :ivar path: settings file.
    :ivar callers: server of the callers' connections.
    :ivar callers_port: port that callers connect to.
    :ivar planned_stop: the planned stop, None before it begins.
    """

    reactor: object
    cfg: HostSettings
    path: Path
    log: ReportLog
    runtime: GatewayRuntime
    store: StoreClient
    watcher: StoreWatcher = field(init=False)
    suspects: SuspectStore = field(init=False)
    messages: MessageSocket = field(init=False)
    callers: ServerFactory = field(init=False)
    callers_port: object = None
    planned_stop: PlannedStop | None = None
    _settings_mtime: float = 0.0

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
            started_at=round(reactor.seconds() * MICROS_PER_SECOND),
        )
        runtime = GatewayRuntime(
            reactor,
            state,
            log,
            GatewayMetrics(),
            send_message=None,
            read_table=None,
            save_suspect=None,
            read_suspects=None,
        )
        store = StoreClient(reactor, cfg.store)
        return cls(reactor, cfg, path, log, runtime, store)

    def __attrs_post_init__(self) -> None:
        runtime = self.runtime
        self.watcher = StoreWatcher(
            self.reactor,
            self.store,
            runtime.feed,
            runtime.now,
            random.random,
            self._log_ignored,
            lambda table, failures: plan_call(runtime.state, table, failures),
        )
        self.suspects = SuspectStore(
            self.reactor,
            self.store,
            runtime.feed,
            runtime.now,
            time.time,
            self._log_ignored,
        )
        self.messages = MessageSocket(runtime.handle_message, self._log_ignored)
        self.store.on_restored = self._handle_store_restored
        runtime.send_message = self.messages.send
        runtime.read_table = self.watcher.read_table
        runtime.save_suspect = self.suspects.save
        runtime.read_suspects = self.suspects.read
        self.callers = ServerFactory(self.reactor, runtime, self._log_ignored)
        self.callers.connections.limit = _count_callers(self.cfg)
        self._settings_mtime = _read_mtime(self.path)

    def start(self) -> None:
        """Open the ports, start watching the store and register this host."""
        place = self.cfg.place
        directory = PageHandler({RESOLVE_PATH: self._serve_directory})
        readiness = PageHandler({READY_PATH: self._serve_readiness})
        metrics = PageHandler({METRICS_PATH: self._serve_metrics})
        self.callers_port = self._listen(place.caller_address, self.callers)
        self._listen(self.cfg.readiness, self._make_page_factory(readiness))
        self._listen(self.cfg.directory, self._make_page_factory(directory))
        host, _, port = place.peer_address.rpartition(":")
        self._listen(f"{host}:{METRICS_PORT}", self._make_page_factory(metrics))
        self.reactor.listenUDP(int(port), self.messages, host)
        self._set_signal_handler(signal.SIGTERM, self.stop)
        self._set_signal_handler(signal.SIGINT, self.stop)
        self._set_signal_handler(signal.SIGHUP, self.reload)
        incarnation = self.runtime.state.incarnation
        self.log.write(
            "host started", incarnation=incarnation, failure_domain=place.failure_domain
        )
        self.runtime.start()
        self.watcher.start()
        self.suspects.read()
        self._register()
        self._poll()

    def stop(self) -> None:
        """Begin the planned stop.

        The host leaves the directory at once.
        """
        if self.planned_stop is not None:
            return
        self.planned_stop = PlannedStop(
            self.reactor,
            self.runtime,
            self.callers,
            self.callers_port,
            self.cfg.grace,
            self._exit,
        )
        self.planned_stop.begin()
        self._unregister()

    def reload(self) -> None:
        """Apply the settings that can change at run time; ignore the others."""
        self._settings_mtime = _read_mtime(self.path)
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
            cause = "addresses and place need a restart to change"
            self.log.write("settings kept in part", cause=cause)
        before = self.cfg
        self.cfg = evolve(
            cfg,
            place=self.cfg.place,
            readiness=self.cfg.readiness,
            directory=self.cfg.directory,
            store=self.cfg.store,
        )
        self.callers.connections.limit = _count_callers(cfg)
        self.runtime.state.bounds = cfg.bounds
        self.runtime.state.regions = cfg.regions
        self.log.lines_per_s = cfg.lines_per_s
        self.log.write("settings read", changed=self.cfg != before)

    def _poll(self) -> None:
        """Check the settings file, and apply callers' limits."""
        self.reactor.callLater(POLL_INTERVAL_S, self._poll)
        if _read_mtime(self.path) != self._settings_mtime:
            self.reload()
        if self.runtime.state.configuration is not None:
            self.callers.limits = _make_server_limits(
                self.runtime.state.configuration.limits
            )

    def _exit(self) -> None:
        self.log.write("host stopped", cut=self.runtime.in_flight)
        self.log.tick()
        self.watcher.stop()
        self.reactor.stop()

    @inlineCallbacks
    def _register(self):
        """Write this host's row to the store and read the rows of the other hosts."""
        place = self.cfg.place
        registered = False
        while self.planned_stop is None:
            try:
                if not registered:
                    yield self.store.write_row(
                        HOSTS_TABLE, place.host, encode_place(place)
                    )
                    registered = True
                batch = yield self.store.read_rows(HOSTS_TABLE)
            except PlatformError as exc:
                self.log.write("not registered yet", cause=str(exc))
                yield deferLater(self.reactor, REGISTER_RETRY_S)
                continue
            self._add_hosts(batch.rows)
            return

    def _unregister(self) -> None:
        deletion = self.store.delete_row(HOSTS_TABLE, self.cfg.place.host)
        deletion.addErrback(self._report_platform_error, "row of this host stays")

    def _handle_store_restored(self, era: int) -> None:
        """Write or remove this host's row again, since the copy may be older."""
        self.runtime.feed(StoreRestored(self.runtime.now(), era))
        if self.planned_stop is None:
            self._register()
        else:
            self._unregister()

    def _add_hosts(self, rows) -> None:
        places = []
        for row in rows:
            try:
                places.append(decode_place(row.value))
            except MessageError as exc:
                self._log_ignored(f"host {row.key}: {exc}")
        register_peers(self.runtime.state, places, self.runtime.now())

    def _serve_directory(self, query: dict[str, str]) -> Page:
        parsed = parse_query(query)
        addresses = list_caller_addresses(
            self.runtime.state,
            parsed.failure_domain,
            parsed.region,
            self.runtime.now(),
        )
        if not addresses:
            return Page(503, b"no host is ready")
        body = encode_addresses(addresses, self.cfg.answer_ttl)
        return Page(200, body, JSON_TYPE)

    def _serve_readiness(self, query: dict[str, str]) -> Page:
        if self.runtime.state.ready:
            return Page(200, b"ready")
        return Page(503, b"not ready")

    def _serve_metrics(self, query: dict[str, str]) -> Page:
        gauges = self.runtime.metrics.gauges
        gauges["requests_running"] = self.runtime.in_flight
        gauges["store_calls"] = self.store.calls
        gauges["target_connections_opened"] = self.runtime.target_client.pool.opened
        gauges["configuration_version"] = self.runtime.state.version
        return Page(200, self.runtime.metrics.render(), "text/plain; version=0.0.4")

    def _listen(self, address: str, factory: ServerFactory):
        host, _, port = address.rpartition(":")
        return self.reactor.listenTCP(int(port), factory, LISTEN_BACKLOG, host)

    def _make_page_factory(self, handler: PageHandler) -> ServerFactory:
        return ServerFactory(self.reactor, handler, self._log_ignored)

    def _set_signal_handler(self, number: int, handler) -> None:
        signal.signal(number, lambda *_: self.reactor.callFromThread(handler))

    def _log_ignored(self, cause: str) -> None:
        self.log.write("input ignored", cause=cause[:300])

    def _report_platform_error(self, failure, event: str) -> None:
        failure.trap(PlatformError)
        self.log.write(event, cause=failure.getErrorMessage())


def _count_callers(cfg: HostSettings) -> int:
    """Return how many connections of callers may be open at a time."""
    return max(1, int(cfg.descriptors * CALLER_DESCRIPTORS_FRACTION))


def _make_server_limits(limits: CallerLimits) -> ServerLimits:
    return ServerLimits(
        limits.header_bytes,
        limits.body_bytes,
        limits.header_timeout / MICROS_PER_SECOND,
        limits.idle_timeout / MICROS_PER_SECOND,
    )


def _read_mtime(path: Path) -> float:
    """Return a file's modification time, 0 while it is missing during a replacement."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0.0

"""Runs the reducer of a host: feeds it events and performs the effects it returns."""

from __future__ import annotations

from collections.abc import Callable

import structlog
from attrs import define, field
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from almondgap_core import effects, events
from almondgap_core.exceptions import PlatformError
from almondgap_core.messages import Message
from almondgap_core.reducer import step
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_MILLI, MICROS_PER_SECOND
from almondgap_daemon.interfaces import HostList, ObjectStore, TableService
from almondgap_daemon.metrics import Metrics
from almondgap_daemon.peers import PeerLinks

log = structlog.get_logger(__name__)

TICK_INTERVAL_S = 0.05
HOST_LIST_INTERVAL_S = 2.0

#: Requests that end with this status or a higher one are logged at level info.
MIN_ERROR_STATUS = 500


@define
class HostRuntime:
    """Runs one host: its state and everything that performs effects.

    :ivar links: streams to other hosts.
    :ivar requests: open exchanges with callers, by request identifier.
    :ivar on_stopped: called when the planned stop is complete.
    """

    reactor: object
    state: HostState
    tables: TableService
    objects: ObjectStore
    host_list: HostList
    links: PeerLinks
    metrics: Metrics
    requests: dict[str, object] = field(factory=dict)
    on_stopped: Callable[[], None] = lambda: None
    tick_loop: LoopingCall | None = None
    host_list_loop: LoopingCall | None = None

    def start(self) -> None:
        """Start the periodic tick and the polling of the platform's list of hosts."""
        self.tick_loop = LoopingCall(self._tick)
        self.tick_loop.clock = self.reactor
        self.tick_loop.start(TICK_INTERVAL_S)
        self.host_list_loop = LoopingCall(self._read_hosts)
        self.host_list_loop.clock = self.reactor
        self.host_list_loop.start(HOST_LIST_INTERVAL_S)

    def stop(self) -> None:
        """Stop ticking and close the streams to other hosts."""
        for call in (self.tick_loop, self.host_list_loop):
            if call is not None and call.running:
                call.stop()
        self.links.close()

    def now(self) -> int:
        """Return the monotonic time in microseconds."""
        return int(self.reactor.seconds() * MICROS_PER_SECOND)

    def feed(self, event: events.Event) -> None:
        """Pass an event to the reducer and perform the effects it returns."""
        for effect in self._step(event):
            try:
                self._perform(effect)
            except Exception:
                log.exception("effect failed", effect=type(effect).__name__)

    def receive(self, host: str, message: Message) -> None:
        """Handle a message from another host."""
        self.feed(events.PeerMessage(self.now(), host, message))

    def _step(self, event: events.Event) -> list[effects.Effect]:
        try:
            return step(self.state, event)
        except Exception:
            self.state.pending.clear()
            self.state.effects.clear()
            raise

    def _perform(self, effect: effects.Effect) -> None:
        match effect:
            case effects.SendMessage():
                self.links.send(effect.host, effect.message)
            case effects.Dispatch() | effects.Relay() | effects.CancelAttempt():
                self._notify_exchange(effect)
            case effects.Refuse() | effects.Replay() | effects.CutAnswer():
                self._notify_exchange(effect)
            case effects.Finished():
                self.metrics.record(effect)
                _log_finished(effect)
            case effects.Transact():
                self._transact(effect)
            case effects.FetchBody():
                self._fetch_configuration(effect)
            case effects.FetchObject():
                self._fetch_object(effect.name)
            case effects.WakeAt():
                self._schedule_tick(effect.at)
            case effects.LearnHosts():
                self._update_addresses(effect.hosts)
            case effects.LogEntry():
                log.info(effect.event, **dict(effect.fields))
            case effects.Stopped():
                self.on_stopped()
            case _:
                raise TypeError(f"unknown effect {type(effect).__name__}")

    def _tick(self) -> None:
        try:
            self.feed(events.Tick(self.now()))
        except Exception:
            log.exception("tick failed")

    def _notify_exchange(self, effect) -> None:
        exchange = self.requests.get(effect.req_id)
        if exchange is not None:
            exchange.perform(effect)

    def _schedule_tick(self, at: int) -> None:
        delay = max(at - self.now(), 0) / MICROS_PER_SECOND
        self.reactor.callLater(delay, self._tick)

    def _transact(self, effect: effects.Transact) -> None:
        def feed_result(result) -> None:
            self.feed(events.TransactionEnded(self.now(), effect.ticket, result))

        pending = self.tables.transact(effect.transaction)
        pending.addCallback(feed_result)
        pending.addErrback(_log_failure)

    def _fetch_configuration(self, effect: effects.FetchBody) -> None:
        def feed_result(body: bytes | None) -> None:
            text = None if body is None else body.decode(errors="replace")
            self.feed(events.BodyFetched(self.now(), effect.version, text))

        pending = self.objects.get(effect.body)
        pending.addErrback(_ignore_platform_error)
        pending.addCallback(feed_result)
        pending.addErrback(_log_failure)

    def _fetch_object(self, name: str) -> None:
        def feed_result(body: bytes | None) -> None:
            self.feed(events.ObjectFetched(self.now(), name, body))

        pending = self.objects.get(name)
        pending.addErrback(_ignore_platform_error)
        pending.addCallback(feed_result)
        pending.addErrback(_log_failure)

    def _read_hosts(self) -> None:
        pending = self.host_list.list_hosts()
        pending.addCallback(self._handle_host_list)
        pending.addErrback(_ignore_platform_error)
        pending.addErrback(_log_failure)

    def _handle_host_list(self, hosts: tuple[events.HostEntry, ...]) -> None:
        self._update_addresses(hosts)
        self.feed(events.HostsListed(self.now(), hosts))

    def _update_addresses(self, hosts: tuple[events.HostEntry, ...]) -> None:
        for entry in hosts:
            if entry.name != self.state.host:
                self.links.set_address(entry.name, entry.address, entry.peer_port)


def _log_finished(finished: effects.Finished) -> None:
    """Log a finished request, at level info if it failed and at debug otherwise."""
    write = (
        log.info
        if finished.status == 0 or finished.status >= MIN_ERROR_STATUS
        else log.debug
    )
    write(
        "request over",
        request=finished.req_id,
        account=finished.account,
        service=finished.service,
        status=finished.status,
        verdict=finished.verdict.value,
        elapsed_ms=finished.elapsed / MICROS_PER_MILLI,
    )


def _ignore_platform_error(failure: Failure) -> None:
    failure.trap(PlatformError)


def _log_failure(failure: Failure) -> None:
    log.error("unexpected error", error=failure.getTraceback())

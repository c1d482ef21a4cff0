"""The shell around the reducer: feeds it events and performs its effects."""

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
from almondgap_daemon.metrics import Metrics
from almondgap_daemon.peers import PeerLinks
from almondgap_daemon.rim import HostList, ObjectStore, TableService

log = structlog.get_logger(__name__)

TICK_S = 0.05
HOST_LIST_INTERVAL_S = 2.0

#: Answers from this status on are logged at level info.
FAILED_STATUS = 500


@define
class Node:
    """One host: state, and everything that performs effects.

    :ivar requests: open exchanges with callers, by request identifier.
    :ivar on_stopped: called once when the planned stop is complete.
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
    ticks: LoopingCall | None = None
    listing: LoopingCall | None = None

    def start(self) -> None:
        """Begin to tick and to read the platform's list of hosts."""
        self.ticks = LoopingCall(self._tick)
        self.ticks.clock = self.reactor
        self.ticks.start(TICK_S)
        self.listing = LoopingCall(self._read_hosts)
        self.listing.clock = self.reactor
        self.listing.start(HOST_LIST_INTERVAL_S)

    def stop(self) -> None:
        """Stop ticking and close the streams to other hosts."""
        for call in (self.ticks, self.listing):
            if call is not None and call.running:
                call.stop()
        self.links.close()

    def now(self) -> int:
        """Return the monotonic time in microseconds."""
        return int(self.reactor.seconds() * MICROS_PER_SECOND)

    def feed(self, event: events.Event) -> None:
        """Let the reducer handle an event and perform what it wants done."""
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
                self._tell_exchange(effect)
            case effects.Refuse() | effects.Replay() | effects.CutAnswer():
                self._tell_exchange(effect)
            case effects.Finished():
                self.metrics.record(effect)
                _log_end(effect)
            case effects.Transact():
                self._transact(effect)
            case effects.FetchBody():
                self._fetch(effect)
            case effects.FetchObject():
                self._fetch_object(effect.name)
            case effects.WakeAt():
                self._wake(effect.at)
            case effects.LearnHosts():
                self._learn_addresses(effect.hosts)
            case effects.LogEntry():
                log.info(effect.event, **dict(effect.fields))
            case effects.Stopped():
                self.on_stopped()
            case _:
                raise TypeError(f"no way to perform {type(effect).__name__}")

    def _tick(self) -> None:
        try:
            self.feed(events.Tick(self.now()))
        except Exception:
            log.exception("tick failed")

    def _tell_exchange(self, effect) -> None:
        exchange = self.requests.get(effect.req_id)
        if exchange is not None:
            exchange.perform(effect)

    def _wake(self, at: int) -> None:
        delay = max(at - self.now(), 0) / MICROS_PER_SECOND
        self.reactor.callLater(delay, self._tick)

    def _transact(self, effect: effects.Transact) -> None:
        def report(result) -> None:
            self.feed(events.TransactionEnded(self.now(), effect.ticket, result))

        done = self.tables.transact(effect.transaction)
        done.addCallback(report)
        done.addErrback(_log_failure)

    def _fetch(self, effect: effects.FetchBody) -> None:
        def report(body: bytes | None) -> None:
            text = None if body is None else body.decode(errors="replace")
            self.feed(events.BodyFetched(self.now(), effect.version, text))

        done = self.objects.get(effect.body)
        done.addErrback(_forgive_platform)
        done.addCallback(report)
        done.addErrback(_log_failure)

    def _fetch_object(self, name: str) -> None:
        def report(body: bytes | None) -> None:
            self.feed(events.ObjectFetched(self.now(), name, body))

        done = self.objects.get(name)
        done.addErrback(_forgive_platform)
        done.addCallback(report)
        done.addErrback(_log_failure)

    def _read_hosts(self) -> None:
        done = self.host_list.list_hosts()
        done.addCallback(self._note_hosts)
        done.addErrback(_forgive_platform)
        done.addErrback(_log_failure)

    def _note_hosts(self, hosts: tuple[events.HostEntry, ...]) -> None:
        self._learn_addresses(hosts)
        self.feed(events.HostsListed(self.now(), hosts))

    def _learn_addresses(self, hosts: tuple[events.HostEntry, ...]) -> None:
        for entry in hosts:
            if entry.name != self.state.host:
                self.links.set_address(entry.name, entry.address, entry.peer_port)


def _log_end(end: effects.Finished) -> None:
    """Log a request that is over; what went wrong at a higher level."""
    write = log.info if end.status == 0 or end.status >= FAILED_STATUS else log.debug
    write(
        "request over",
        request=end.req_id,
        account=end.account,
        service=end.service,
        status=end.status,
        verdict=end.verdict.value,
        elapsed_ms=end.elapsed / MICROS_PER_MILLI,
    )


def _forgive_platform(failure: Failure) -> None:
    failure.trap(PlatformError)


def _log_failure(failure: Failure) -> None:
    log.error("unexpected error", error=failure.getTraceback())

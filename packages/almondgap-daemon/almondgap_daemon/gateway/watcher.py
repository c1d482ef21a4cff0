"""Watches the platform's store and turns row changes into gateway events.

Two tables are watched: the operators' configuration and evacuations, and the targets'
announcements. Each watch reads a snapshot first and then long-polls for changes, so
that an idle store costs few calls and a change arrives at once.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import Factory, define, field
from twisted.internet.defer import CancelledError, Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from almondgap_core.exceptions import MessageError, PlatformError
from almondgap_core.gateway.events import (
    ConfigurationRead,
    EvacuationsRead,
    GatewayEvent,
    StoreLost,
    StoreRegained,
    TargetAnnounced,
    TargetsRead,
    TargetWithdrawn,
)
from almondgap_daemon.platform.records import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    OPERATORS_TABLE,
    TARGETS_TABLE,
    StoreRow,
    decode_announcement,
    decode_configuration,
)
from almondgap_daemon.platform.store import (
    LONG_POLL_S,
    HistoryLost,
    RowBatch,
    StoreClient,
)

#: Bounds of the exponential back-off after a failed call, in seconds. The upper bound
#: lets a host resume within a second of the store's return, with few calls during an
#: outage.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.7

#: Delay before the next call after changes of targets, in seconds, so that one call
#: returns a batch. Less than half of the 2 s within which a draining target must stop
#: receiving requests.
BATCH_DELAY_S = 0.8

#: Randomised share of a back-off, so that hosts do not reconnect in step.
JITTER_RATIO = 0.4

EventSink = Callable[[GatewayEvent], None]


@define
class TableWatcher:
    """Watches one table: reads a snapshot, then long-polls for changes.

    A store that hangs never answers the calls it received meanwhile, even after it
    recovers. A long poll is therefore sent only right after a successful call;
    otherwise a call that returns at once goes first.

    :ivar on_snapshot: called with all rows of the table.
    :ivar on_changes: called with the rows that changed.
    :ivar on_call_result: called after each call with the table and the error, or None.
    :ivar uniform: returns a random number in [0, 1), for jitter.
    :ivar batch_delay_s: delay after a long poll that returned changes, in seconds.
    :ivar version: store version up to which rows were read, None before the snapshot.
    """

    reactor: object
    store: StoreClient
    table: str
    on_snapshot: Callable[[tuple[StoreRow, ...]], None]
    on_changes: Callable[[tuple[StoreRow, ...]], None]
    on_call_result: Callable[[str, str | None], None]
    uniform: Callable[[], float]
    batch_delay_s: float = 0.0
    version: int | None = None
    running: bool = True
    _answered: bool = False
    _backoff_s: float = 0.0
    _current: Deferred | None = None

    def start(self) -> None:
        """Start watching the table."""
        self._current = self._run()
        self._current.addErrback(lambda failure: failure.trap(CancelledError))

    def stop(self) -> None:
        """Stop watching and cancel the call in flight."""
        self.running = False
        if self._current is not None:
            self._current.cancel()

    @inlineCallbacks
    def _run(self):
        while self.running:
            try:
                yield self._poll()
            except HistoryLost:
                self.version = None
                continue
            except PlatformError as exc:
                if not self.running:
                    return
                self._answered = False
                self.on_call_result(self.table, str(exc))
                self._backoff_s = min(
                    max(MIN_BACKOFF_S, self._backoff_s * 2), MAX_BACKOFF_S
                )
                yield deferLater(
                    self.reactor, self._backoff_s * (1 - JITTER_RATIO * self.uniform())
                )
                continue
            self._backoff_s = 0.0
            self.on_call_result(self.table, None)

    @inlineCallbacks
    def _poll(self):
        if self.version is None:
            read: RowBatch = yield self.store.read_rows(self.table)
            self.on_snapshot(read.rows)
        else:
            wait_s = LONG_POLL_S if self._answered else 0.0
            read = yield self.store.wait_for_changes(self.table, self.version, wait_s)
            if read.rows:
                self.on_changes(read.rows)
        long_polled, self._answered = self._answered, True
        self.version = read.version
        if self.batch_delay_s and long_polled and read.rows:
            # Changes tend to come in bursts; the next call then returns them together.
            yield deferLater(self.reactor, self.batch_delay_s)
            self._answered = False


@define
class StoreWatcher:
    """Watches the tables of the store and feeds their rows to the reducer as events.

    :ivar feed: handles an event.
    :ivar now: returns the time in microseconds.
    :ivar uniform: returns a random number in [0, 1), for jitter.
    :ivar on_error: called with the reason why a row was ignored.
    """

    reactor: object
    store: StoreClient
    feed: EventSink
    now: Callable[[], int]
    uniform: Callable[[], float]
    on_error: Callable[[str], None]
    _evacuated: set[str] = Factory(set)
    _reachable: dict[str, bool] = Factory(dict)
    _watchers: list[TableWatcher] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._watchers = [
            self._build_watcher(OPERATORS_TABLE, self._handle_operator_rows, 0.0),
            self._build_watcher(TARGETS_TABLE, self._handle_target_rows, BATCH_DELAY_S),
        ]

    def start(self) -> None:
        """Start watching all tables."""
        for watcher in self._watchers:
            watcher.start()

    def stop(self) -> None:
        """Stop watching."""
        for watcher in self._watchers:
            watcher.stop()

    def _build_watcher(self, table: str, handler, batch_delay_s: float) -> TableWatcher:
        return TableWatcher(
            self.reactor,
            self.store,
            table,
            lambda rows: handler(rows, True),
            lambda rows: handler(rows, False),
            self._record_call_result,
            self.uniform,
            batch_delay_s,
        )

    def _handle_operator_rows(self, rows: tuple[StoreRow, ...], whole: bool) -> None:
        if whole:
            self._evacuated.clear()
        for row in rows:
            if row.key == CONFIGURATION_KEY and row.value is not None:
                self._handle_configuration(row)
            elif row.key.startswith(EVACUATION_PREFIX):
                failure_domain = row.key.removeprefix(EVACUATION_PREFIX)
                if row.value is None:
                    self._evacuated.discard(failure_domain)
                else:
                    self._evacuated.add(failure_domain)
        self.feed(EvacuationsRead(self.now(), frozenset(self._evacuated)))

    def _handle_configuration(self, row: StoreRow) -> None:
        try:
            cfg = decode_configuration(row.value)
        except MessageError as exc:
            self.on_error(f"configuration of store version {row.version}: {exc}")
            return
        self.feed(ConfigurationRead(self.now(), cfg))

    def _handle_target_rows(self, rows: tuple[StoreRow, ...], whole: bool) -> None:
        announcements = []
        for row in rows:
            if row.value is None:
                self.feed(TargetWithdrawn(self.now(), row.key))
                continue
            try:
                announced = decode_announcement(row.key, row.value)
            except MessageError as exc:
                self.on_error(f"target {row.key}: {exc}")
                if not whole:
                    self.feed(TargetWithdrawn(self.now(), row.key))
                continue
            if whole:
                announcements.append(announced)
            else:
                self.feed(TargetAnnounced(self.now(), announced))
        if whole:
            self.feed(TargetsRead(self.now(), tuple(announcements)))

    def _record_call_result(self, table: str, error: str | None) -> None:
        before = all(self._reachable.values())
        self._reachable[table] = error is None
        after = all(self._reachable.values())
        if before and not after:
            self.feed(StoreLost(self.now(), error or "no answer"))
        elif after and not before:
            self.feed(StoreRegained(self.now()))

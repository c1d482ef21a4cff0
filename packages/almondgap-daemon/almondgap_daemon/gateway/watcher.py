"""Following the platform's store: what operators wrote, and what targets announce."""

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

#: Pause after a failed call, in seconds: the first, and the longest. The longest keeps
#: a host within a second of the store's return, with few calls meanwhile.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.7

#: Time for which changes of targets are gathered before the next call, in seconds:
#: less than half of the time in which a draining target must get no more work, 2 s.
BATCH_DELAY_S = 0.8

#: Part of a pause that is drawn at random, so that hosts do not come back together.
JITTER_RATIO = 0.4

EventSink = Callable[[GatewayEvent], None]


@define
class TableWatcher:
    """Follows one table: reads it whole, then waits for changes.

    A call that is made while the store is silent is never answered. So a long wait
    begins only right after an answer: otherwise a call that does not wait goes first.

    :ivar take_all: takes all rows of the table.
    :ivar take_changes: takes rows that changed.
    :ivar on_state: told of each call whether the store answered, and why not.
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
    _loop: Deferred | None = None

    def start(self) -> None:
        """Follow the table until it is stopped."""
        self._loop = self._run()
        self._loop.addErrback(lambda failure: failure.trap(CancelledError))

    def stop(self) -> None:
        """Follow no longer."""
        self.running = False
        if self._loop is not None:
            self._loop.cancel()

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
            batch: RowBatch = yield self.store.read_rows(self.table)
            self.on_snapshot(batch.rows)
        else:
            poll_s = LONG_POLL_S if self._answered else 0.0
            batch = yield self.store.wait_for_changes(self.table, self.version, poll_s)
            if batch.rows:
                self.on_changes(batch.rows)
        long_polled, self._answered = self._answered, True
        self.version = batch.version
        if self.batch_delay_s and long_polled and batch.rows:
            # Changes often come several together: one call brings them all.
            yield deferLater(self.reactor, self.batch_delay_s)
            self._answered = False


@define
class StoreWatcher:
    """Turns rows of the store into events."""

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
        """Begin to follow."""
        for table in self._watchers:
            table.start()

    def stop(self) -> None:
        """Follow no longer."""
        for table in self._watchers:
            table.stop()

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

    def _handle_operator_rows(
        self, rows: tuple[StoreRow, ...], is_snapshot: bool
    ) -> None:
        if is_snapshot:
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

    def _handle_target_rows(
        self, rows: tuple[StoreRow, ...], is_snapshot: bool
    ) -> None:
        announcements = []
        for row in rows:
            if row.value is None:
                self.feed(TargetWithdrawn(self.now(), row.key))
                continue
            try:
                announcement = decode_announcement(row.key, row.value)
            except MessageError as exc:
                self.on_error(f"target {row.key}: {exc}")
                if not is_snapshot:
                    self.feed(TargetWithdrawn(self.now(), row.key))
                continue
            if is_snapshot:
                announcements.append(announcement)
            else:
                self.feed(TargetAnnounced(self.now(), announcement))
        if is_snapshot:
            self.feed(TargetsRead(self.now(), tuple(announcements)))

    def _record_call_result(self, table: str, error: str | None) -> None:
        was_reachable = all(self._reachable.values())
        self._reachable[table] = error is None
        is_reachable = all(self._reachable.values())
        if was_reachable and not is_reachable:
            self.feed(StoreLost(self.now(), error or "no answer"))
        elif is_reachable and not was_reachable:
            self.feed(StoreRegained(self.now()))

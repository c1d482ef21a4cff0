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

from almondgap_core.exceptions import PlatformError
from almondgap_core.gateway.events import (
    ConfigurationRead,
    EvacuationsRead,
    GatewayEvent,
    StoreLost,
    StoreRegained,
    StoreTable,
    TableRead,
    TargetAnnounced,
    TargetsRead,
    TargetWithdrawn,
)
from almondgap_core.gateway.store_views import CallPlan
from almondgap_core.units import MICROS_PER_SECOND
from almondgap_daemon.platform.records import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    OPERATORS_TABLE,
    TARGETS_TABLE,
    StoreRow,
    decode_announcement,
    decode_configuration,
)
from almondgap_daemon.platform.store import HistoryLost, RowBatch, StoreClient

#: Pause after the first failed call, in seconds; it doubles with each further one.
MIN_BACKOFF_S = 0.1

#: Age from which a call that does not wait is replaced by a new one, in seconds: the
#: store was silent when it was sent.
MIN_CALL_AGE_S = 0.5

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
    recovers. A long poll is therefore sent only after a successful call; otherwise a
    call that returns at once goes first.

    :ivar on_rows: called with the rows that were read, and whether they are all rows
        of the table.
    :ivar on_read: called after each successful call with what it read, and the time
        at which it was sent, in seconds.
    :ivar on_call_result: called after each call with the error, or None.
    :ivar on_internal_error: called with an exception that was not expected.
    :ivar plan_call: returns how long a call takes, given the number of calls that
        failed in a row.
    :ivar uniform: returns a random number in [0, 1), for jitter.
    :ivar batch_delay_s: delay after a long poll that returned changes, in seconds.
    :ivar version: store version up to which rows were read, None before the snapshot.
    :ivar era: era of the store to which that version belongs.
    """

    reactor: object
    store: StoreClient
    table: str
    on_rows: Callable[[tuple[StoreRow, ...], bool], None]
    on_read: Callable[[RowBatch, float], None]
    on_call_result: Callable[[str | None], None]
    on_internal_error: Callable[[Exception], None]
    plan_call: Callable[[int], CallPlan]
    uniform: Callable[[], float]
    batch_delay_s: float = 0.0
    version: int | None = None
    era: int = 0
    _run_number: int = 0
    _answered: bool = False
    _fresh: bool = False
    _failures: int = 0
    _backoff_s: float = 0.0
    _current: Deferred | None = None
    _call_started_s: float = 0.0
    _batching: bool = False

    def start(self) -> None:
        """Start watching the table."""
        self._run_number += 1
        self._current = self._run(self._run_number)
        self._current.addErrback(lambda failure: failure.trap(CancelledError))

    def stop(self) -> None:
        """Stop watching and cancel the call in flight."""
        self._run_number += 1
        if self._current is not None:
            self._current.cancel()

    def read_now(self) -> None:
        """Read changes at once on a new connection, in place of the call in flight.

        Does nothing while the snapshot is read, or if a read that does not wait was
        started a moment ago or is due.
        """
        # The current run may be the caller, and must not be cancelled in the middle.
        self.reactor.callLater(0, self._supersede, self._run_number)

    def _supersede(self, number: int) -> None:
        age_s = self.reactor.seconds() - self._call_started_s
        is_reading = not self._answered and age_s < MIN_CALL_AGE_S
        is_stale = self._run_number != number
        if is_stale or self.version is None or self._batching or is_reading:
            return
        # The cancelled run sees that its number is no longer the latest and ends.
        superseded = self._current
        self._answered = False
        self._fresh = True
        self.start()
        superseded.cancel()

    @inlineCallbacks
    def _run(self, number: int):
        while self._run_number == number:
            try:
                yield self._poll()
            except Exception as exc:
                if self._run_number != number:
                    return
                self._handle_error(exc)
            else:
                self._failures = 0
                self._backoff_s = 0.0
                self.on_call_result(None)
                continue
            self._answered = False
            self._failures += 1
            max_pause = self.plan_call(self._failures).max_pause
            self._backoff_s = min(
                max(MIN_BACKOFF_S, self._backoff_s * 2), max_pause / MICROS_PER_SECOND
            )
            yield deferLater(
                self.reactor, self._backoff_s * (1 - JITTER_RATIO * self.uniform())
            )

    def _handle_error(self, exc: Exception) -> None:
        if isinstance(exc, HistoryLost):
            self.version = None
        elif isinstance(exc, PlatformError):
            self.on_call_result(str(exc))
        else:
            # One row that cannot be handled must not end the watch.
            self.on_internal_error(exc)

    @inlineCallbacks
    def _poll(self):
        self._call_started_s = self.reactor.seconds()
        waits = self._answered
        if self.version is None:
            read: RowBatch = yield self.store.read_rows(self.table)
            self.version, self.era = read.version, read.era
            self.on_rows(read.rows, True)
        else:
            plan = self.plan_call(self._failures)
            fresh, self._fresh = self._fresh, False
            read = yield self.store.wait_for_changes(
                self.table,
                self.version,
                self.era,
                plan.wait / MICROS_PER_SECOND if waits else 0.0,
                plan.timeout / MICROS_PER_SECOND,
                reuse=not fresh,
            )
            self.version = read.version
            if read.rows:
                self.on_rows(read.rows, False)
        self._answered = True
        self.on_read(read, self._call_started_s)
        if self.batch_delay_s and waits and read.rows:
            # Changes tend to come in bursts; the next call then returns them together.
            self._batching = True
            try:
                yield deferLater(self.reactor, self.batch_delay_s)
            finally:
                self._batching = False


@define
class StoreWatcher:
    """Watches the tables of the store and feeds their rows to the reducer as events.

    :ivar feed: handles an event.
    :ivar now: returns the time in microseconds.
    :ivar uniform: returns a random number in [0, 1), for jitter.
    :ivar on_error: called with the reason why a row was ignored.
    :ivar plan_call: returns how long a call for a table takes, given the number of
        calls that failed in a row.
    """

    reactor: object
    store: StoreClient
    feed: EventSink
    now: Callable[[], int]
    uniform: Callable[[], float]
    on_error: Callable[[str], None]
    plan_call: Callable[[StoreTable, int], CallPlan]
    _evacuated: set[str] = Factory(set)
    _reachable: dict[StoreTable, bool] = Factory(dict)
    _watchers: dict[StoreTable, TableWatcher] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._watchers = {
            StoreTable.OPERATORS: self._build_watcher(
                StoreTable.OPERATORS, OPERATORS_TABLE, self._handle_operator_rows, 0.0
            ),
            StoreTable.TARGETS: self._build_watcher(
                StoreTable.TARGETS,
                TARGETS_TABLE,
                self._handle_target_rows,
                BATCH_DELAY_S,
            ),
        }

    def start(self) -> None:
        """Start watching all tables."""
        for watcher in self._watchers.values():
            watcher.start()

    def stop(self) -> None:
        """Stop watching."""
        for watcher in self._watchers.values():
            watcher.stop()

    def read_table(self, table: StoreTable) -> None:
        """Read the changes of a table at once."""
        self._watchers[table].read_now()

    def _build_watcher(
        self, table: StoreTable, name: str, handler, batch_delay_s: float
    ) -> TableWatcher:
        return TableWatcher(
            self.reactor,
            self.store,
            name,
            on_rows=handler,
            on_read=lambda read, asked_s: self.feed(
                TableRead(
                    self.now(),
                    table,
                    read.version,
                    max((row.version for row in read.rows), default=0),
                    round(asked_s * MICROS_PER_SECOND),
                    read.era,
                )
            ),
            on_call_result=lambda error: self._record_call_result(table, error),
            on_internal_error=lambda exc: self.on_error(f"{name}: {exc!r}"),
            plan_call=lambda failures: self.plan_call(table, failures),
            uniform=self.uniform,
            batch_delay_s=batch_delay_s,
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
        except Exception as exc:
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
            except Exception as exc:
                # Whatever is wrong with one row, those after it count.
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

    def _record_call_result(self, table: StoreTable, error: str | None) -> None:
        before = all(self._reachable.values())
        self._reachable[table] = error is None
        after = all(self._reachable.values())
        if before and not after:
            self.feed(StoreLost(self.now(), error or "no answer"))
        elif after and not before:
            self.feed(StoreRegained(self.now()))

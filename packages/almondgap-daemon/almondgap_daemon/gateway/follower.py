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
from almondgap_daemon.platform.store import WAIT_S, HistoryLost, RowsRead, StoreClient

#: Pause after a failed call, in seconds: the first, and the longest. The longest keeps
#: a host within a second of the store's return, with few calls meanwhile.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.7

#: Time for which changes of targets are gathered before the next call, in seconds:
#: less than half of the time in which a draining target must get no more work, 2 s.
GATHER_S = 0.8

#: Part of a pause that is drawn at random, so that hosts do not come back together.
JITTER = 0.4

Feed = Callable[[GatewayEvent], None]


@define
class TableFollower:
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
    take_all: Callable[[tuple[StoreRow, ...]], None]
    take_changes: Callable[[tuple[StoreRow, ...]], None]
    on_state: Callable[[str, str | None], None]
    draw: Callable[[], float]
    gather_s: float = 0.0
    version: int | None = None
    running: bool = True
    _answered: bool = False
    _pause: float = 0.0
    _current: Deferred | None = None

    def start(self) -> None:
        """Follow the table until it is stopped."""
        self._current = self._follow()
        self._current.addErrback(lambda failure: failure.trap(CancelledError))

    def stop(self) -> None:
        """Follow no longer."""
        self.running = False
        if self._current is not None:
            self._current.cancel()

    @inlineCallbacks
    def _follow(self):
        while self.running:
            try:
                yield self._read()
            except HistoryLost:
                self.version = None
                continue
            except PlatformError as exc:
                if not self.running:
                    return
                self._answered = False
                self.on_state(self.table, str(exc))
                self._pause = min(max(FIRST_PAUSE_S, self._pause * 2), LONGEST_PAUSE_S)
                yield deferLater(self.reactor, self._pause * (1 - JITTER * self.draw()))
                continue
            self._pause = 0.0
            self.on_state(self.table, None)

    @inlineCallbacks
    def _read(self):
        if self.version is None:
            read: RowsRead = yield self.store.read_rows(self.table)
            self.take_all(read.rows)
        else:
            wait_s = WAIT_S if self._answered else 0.0
            read = yield self.store.wait_for_changes(self.table, self.version, wait_s)
            if read.rows:
                self.take_changes(read.rows)
        waited, self._answered = self._answered, True
        self.version = read.version
        if self.gather_s and waited and read.rows:
            # Changes often come several together: one call brings them all.
            yield deferLater(self.reactor, self.gather_s)
            self._answered = False


@define
class StoreFollower:
    """Turns rows of the store into events."""

    reactor: object
    store: StoreClient
    feed: Feed
    now: Callable[[], int]
    draw: Callable[[], float]
    on_error: Callable[[str], None]
    _evacuated: set[str] = Factory(set)
    _answering: dict[str, bool] = Factory(dict)
    _tables: list[TableFollower] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._tables = [
            self._make(OPERATORS_TABLE, self._take_operators, 0.0),
            self._make(TARGETS_TABLE, self._take_targets, GATHER_S),
        ]

    def start(self) -> None:
        """Begin to follow."""
        for table in self._tables:
            table.start()

    def stop(self) -> None:
        """Follow no longer."""
        for table in self._tables:
            table.stop()

    def _make(self, table: str, take, gather_s: float) -> TableFollower:
        return TableFollower(
            self.reactor,
            self.store,
            table,
            lambda rows: take(rows, True),
            lambda rows: take(rows, False),
            self._note_state,
            self.draw,
            gather_s,
        )

    def _take_operators(self, rows: tuple[StoreRow, ...], whole: bool) -> None:
        if whole:
            self._evacuated.clear()
        for row in rows:
            if row.key == CONFIGURATION_KEY and row.value is not None:
                self._take_configuration(row)
            elif row.key.startswith(EVACUATION_PREFIX):
                failure_domain = row.key.removeprefix(EVACUATION_PREFIX)
                if row.value is None:
                    self._evacuated.discard(failure_domain)
                else:
                    self._evacuated.add(failure_domain)
        self.feed(EvacuationsRead(self.now(), frozenset(self._evacuated)))

    def _take_configuration(self, row: StoreRow) -> None:
        try:
            cfg = decode_configuration(row.value)
        except MessageError as exc:
            self.on_error(f"configuration of store version {row.version}: {exc}")
            return
        self.feed(ConfigurationRead(self.now(), cfg))

    def _take_targets(self, rows: tuple[StoreRow, ...], whole: bool) -> None:
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

    def _note_state(self, table: str, error: str | None) -> None:
        before = all(self._answering.values())
        self._answering[table] = error is None
        after = all(self._answering.values())
        if before and not after:
            self.feed(StoreLost(self.now(), error or "no answer"))
        elif after and not before:
            self.feed(StoreRegained(self.now()))

"""Hosts that follow a store in virtual time: real watchers and reducers.

The store is a model that can fall silent for all hosts or for some. A call that it has
when it falls silent, or that it gets meanwhile, is never answered.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable

from attrs import Factory, define, field, frozen
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from almondgap_core.exceptions import PlatformAnswerLost
from almondgap_core.gateway.effects import Log, ReadTable, SendHeartbeat, SendStoreView
from almondgap_core.gateway.events import (
    GatewayEvent,
    HeartbeatReceived,
    StoreRestored,
    StoreViewReceived,
    Ticked,
)
from almondgap_core.gateway.fleet import register_peers
from almondgap_core.gateway.reducer import step
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.store_views import plan_call
from almondgap_core.units import MICROS_PER_SECOND
from almondgap_daemon.gateway.watcher import StoreWatcher
from almondgap_daemon.platform.records import (
    CONFIGURATION_KEY,
    OPERATORS_TABLE,
    StoreRow,
)
from almondgap_daemon.platform.store import HistoryLost, RowBatch
from almondgap_testkit.gateways.builders import REGIONS, build_location
from almondgap_testkit.gateways.site import CONFIGURATION

STORE_DELAY_S = 0.004
MESSAGE_DELAY_S = 0.005
TICK_S = 0.25


@define(eq=False)
class WaitingCall:
    """A call that the model store has not answered."""

    host: str
    table: str
    after: int
    era: int
    answer: Deferred


@frozen
class StoreCopy:
    """A copy of a model store's rows."""

    version: int
    rows: dict[tuple[str, str], StoreRow]
    history: list[StoreRow]


@define
class ModelStore:
    """Rows of a store with a single version counter.

    :ivar era: rises when the store is restored from a copy.
    :ivar silent: hosts whose calls are not answered.
    :ivar calls: number of calls of each host.
    """

    clock: Clock
    version: int = 0
    era: int = 1
    rows: dict[tuple[str, str], StoreRow] = Factory(dict)
    history: list[StoreRow] = Factory(list)
    silent: set[str] = Factory(set)
    calls: dict[str, int] = Factory(dict)
    _waiting: list[WaitingCall] = Factory(list)

    def write(self, table: str, key: str, value: bytes | None) -> None:
        """Write or remove a row and answer the calls that wait for it."""
        self.version += 1
        row = StoreRow(table, key, value, self.version)
        self.rows[table, key] = row
        self.history.append(row)
        for call in list(self._waiting):
            if call.table == table and call.host not in self.silent:
                self._answer(call)

    def silence(self, *hosts: str) -> None:
        """Fall silent for some hosts; the calls that they have open are lost."""
        self.silent |= set(hosts)
        self._waiting = [call for call in self._waiting if call.host not in self.silent]

    def copy(self) -> StoreCopy:
        """Return a copy of the rows."""
        return StoreCopy(self.version, dict(self.rows), list(self.history))

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy; the calls that are open are lost."""
        self._waiting.clear()
        self.version = copy.version
        self.rows = dict(copy.rows)
        self.history = list(copy.history)
        self.era += 1

    def restart(self) -> None:
        """Count versions anew, with the rows that there are."""
        self.history.clear()
        self.version = 0
        for name, row in self.rows.items():
            self.version += 1
            self.rows[name] = StoreRow(row.table, row.key, row.value, self.version)

    def read(self, host: str, table: str) -> Deferred:
        """Read all rows of a table for a host."""
        answer = self._begin(host, 1.5)

        def read() -> RowBatch:
            rows = [row for row in self.rows.values() if row.table == table]
            values = tuple(row for row in rows if row.value)
            return RowBatch(values, self.version, self.era)

        self._schedule(host, answer, read)
        return answer

    def wait(
        self,
        host: str,
        table: str,
        after: int,
        era: int,
        wait_s: float,
        timeout_s: float,
    ) -> Deferred:
        """Wait for changes of a table for a host."""
        answer = self._begin(host, wait_s + timeout_s)
        call = WaitingCall(host, table, after, era, answer)
        if wait_s and not self._list_changes(call):
            if host not in self.silent:
                self._waiting.append(call)
                self.clock.callLater(wait_s, self._answer, call)
        else:
            self._schedule(host, answer, lambda: self._build_batch(call))
        return answer

    def _begin(self, host: str, timeout_s: float) -> Deferred:
        self.calls[host] = self.calls.get(host, 0) + 1
        answer: Deferred = Deferred()
        answer.addTimeout(timeout_s, self.clock)
        answer.addErrback(_raise_answer_lost)
        return answer

    def _schedule(self, host: str, answer: Deferred, build) -> None:
        if host in self.silent:
            return

        def finish() -> None:
            if not answer.called and host not in self.silent:
                try:
                    answer.callback(build())
                except HistoryLost as exc:
                    answer.errback(exc)

        self.clock.callLater(STORE_DELAY_S, finish)

    def _answer(self, call: WaitingCall) -> None:
        if call in self._waiting:
            self._waiting.remove(call)
            self._schedule(call.host, call.answer, lambda: self._build_batch(call))

    def _build_batch(self, call: WaitingCall) -> RowBatch:
        if self.version < call.after or self.era != call.era:
            raise HistoryLost("versions count anew")
        return RowBatch(tuple(self._list_changes(call)), self.version, self.era)

    def _list_changes(self, call: WaitingCall) -> list[StoreRow]:
        return [
            row
            for row in self.history
            if row.table == call.table and row.version > call.after
        ]


def _raise_answer_lost(failure) -> None:
    if failure.check(HistoryLost):
        failure.raiseException()
    raise PlatformAnswerLost(failure.getErrorMessage())


@define
class ModelStoreClient:
    """The calls of one host at the model store.

    :ivar on_restored: called with the new era when an answer names one.
    """

    store: ModelStore
    host: str
    on_restored: Callable[[int], None] = lambda era: None
    era: int = 0

    def read_rows(self, table: str) -> Deferred:
        """Return all rows of a table."""
        return self._record_era(self.store.read(self.host, table))

    def wait_for_changes(
        self,
        table: str,
        after: int,
        era: int,
        wait_s: float,
        timeout_s: float,
        reuse: bool,
    ) -> Deferred:
        """Return the rows that changed after a version."""
        answer = self.store.wait(self.host, table, after, era, wait_s, timeout_s)
        return self._record_era(answer)

    def _record_era(self, answer: Deferred) -> Deferred:
        def record(result):
            is_answer = not isinstance(result, Failure) or result.check(HistoryLost)
            previous, era = self.era, self.store.era
            if is_answer and era > previous:
                self.era = era
                if previous:
                    self.on_restored(era)
            return result

        return answer.addBoth(record)


@define(eq=False)
class Follower:
    """A host that follows the store."""

    state: GatewayState
    watcher: StoreWatcher
    reports: list = Factory(list)


@define
class Followers:
    """Hosts that follow a model store and hear each other.

    :ivar muted: hosts whose messages are lost.
    """

    clock: Clock = Factory(Clock)
    store: ModelStore = field(init=False)
    hosts: dict[str, Follower] = Factory(dict)
    muted: set[str] = Factory(set)

    def __attrs_post_init__(self) -> None:
        # Twisted's virtual clock starts at 0, a reactor's does not.
        self.clock.advance(100.0)
        self.store = ModelStore(self.clock)

    @classmethod
    def start(cls, **failure_domains: str) -> Followers:
        """Start hosts in the given failure domains, with a configuration."""
        followers = cls()
        followers.configure(1)
        for host, failure_domain in failure_domains.items():
            followers._add_host(host, failure_domain)
        locations = [each.state.location for each in followers.hosts.values()]
        for each in followers.hosts.values():
            register_peers(each.state, locations, followers.now())
        followers.run(10.0)
        return followers

    def configure(self, version: int) -> None:
        """Write a configuration as an operator."""
        value = {**CONFIGURATION, "version": f"{version:08x}"}
        self.store.write(OPERATORS_TABLE, CONFIGURATION_KEY, json.dumps(value).encode())

    def list_versions(self) -> dict[str, int]:
        """Return the configuration version in force at each host."""
        return {name: host.state.version for name, host in self.hosts.items()}

    def now(self) -> int:
        """Return the virtual time in microseconds."""
        return round(self.clock.seconds() * MICROS_PER_SECOND)

    def run(self, duration_s: float) -> None:
        """Advance the virtual time."""
        end = self.clock.seconds() + duration_s
        while self.clock.seconds() < end - 1e-9:
            self.clock.advance(0.001)

    def feed(self, host: str, kind: type[GatewayEvent], *args) -> None:
        """Feed a host an event."""
        self._perform(host, step(self.hosts[host].state, kind(self.now(), *args)))

    def _add_host(self, host: str, failure_domain: str) -> None:
        state = GatewayState(build_location(host, failure_domain), 1, REGIONS)
        client = ModelStoreClient(self.store, host)
        client.on_restored = lambda era: self.feed(host, StoreRestored, era)
        watcher = StoreWatcher(
            self.clock,
            client,
            lambda event: self._perform(host, step(state, event)),
            self.now,
            random.Random(host).random,
            lambda cause: None,
            lambda table, failures: plan_call(state, table, failures),
        )
        self.hosts[host] = Follower(state, watcher)
        watcher.start()
        self._tick(host)

    def _tick(self, host: str) -> None:
        self.clock.callLater(TICK_S, self._tick, host)
        self.feed(host, Ticked)

    def _perform(self, host: str, effects) -> None:
        for effect in effects:
            if isinstance(effect, Log):
                self.hosts[host].reports.append(effect.report)
            elif isinstance(effect, ReadTable):
                self.hosts[host].watcher.read_table(effect.table)
            elif isinstance(effect, SendHeartbeat):
                self._send(host, effect, HeartbeatReceived, effect.heartbeat)
            elif isinstance(effect, SendStoreView):
                self._send(host, effect, StoreViewReceived, effect.view)

    def _send(self, sender: str, effect, kind: type[GatewayEvent], content) -> None:
        if sender in self.muted:
            return
        for address in effect.addresses:
            receiver = address.partition(":")[0]
            if receiver in self.hosts:
                self.clock.callLater(
                    MESSAGE_DELAY_S, self.feed, receiver, kind, content
                )

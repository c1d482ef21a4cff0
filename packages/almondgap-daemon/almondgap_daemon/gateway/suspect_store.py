"""Rows of the store about requests that crash targets, for hosts that start later."""

from __future__ import annotations

from collections.abc import Callable

from attrs import Factory, define
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from almondgap_core.exceptions import MessageError, PlatformError
from almondgap_core.gateway.events import GatewayEvent, SuspectsReceived
from almondgap_core.gateway.suspects import SuspectReport, Suspects
from almondgap_daemon.platform.records import (
    SUSPECTS_TABLE,
    decode_suspect,
    encode_suspect,
)
from almondgap_daemon.platform.store import StoreClient

#: Delay before another attempt after a call failed, in seconds.
RETRY_S = 2.0

#: Age from which a row is removed, in seconds.
MAX_AGE_S = 3_600.0

#: Name under which rows of the store are reported.
SOURCE = "store"


@define
class SuspectStore:
    """Saves what this host knows about requests, and reads what others saved.

    :ivar feed: handles an event.
    :ivar now: returns the time in microseconds.
    :ivar read_clock: returns the time of day as Unix time, in seconds.
    :ivar on_error: called with the reason why a row was ignored or not written.
    """

    reactor: object
    store: StoreClient
    feed: Callable[[GatewayEvent], None]
    now: Callable[[], int]
    read_clock: Callable[[], float]
    on_error: Callable[[str], None]
    _unsaved: dict[str, SuspectReport] = Factory(dict)
    _saving: bool = False
    _reading: bool = False

    def read(self) -> None:
        """Read all rows, unless that is under way, and feed them as an event."""
        if not self._reading:
            self._reading = True
            self._read().addErrback(self._report_error)

    def save(self, report: SuspectReport) -> None:
        """Write the row of a request, or remove it if the request was cleared."""
        self._unsaved[report.fingerprint] = report
        if not self._saving:
            self._saving = True
            self._save_all().addErrback(self._report_error)

    @inlineCallbacks
    def _read(self):
        try:
            while True:
                try:
                    batch = yield self.store.read_rows(SUSPECTS_TABLE)
                    break
                except PlatformError:
                    yield deferLater(self.reactor, RETRY_S)
        finally:
            self._reading = False
        reports = []
        for row in batch.rows:
            try:
                report, saved_at = decode_suspect(row.key, row.value)
            except MessageError as exc:
                self.on_error(f"request {row.key}: {exc}")
                continue
            if self.read_clock() - saved_at > MAX_AGE_S:
                self.save(SuspectReport(row.key, (), (), 0))
            else:
                reports.append(report)
        if reports:
            suspects = Suspects(SOURCE, tuple(reports))
            self.feed(SuspectsReceived(self.now(), suspects))

    @inlineCallbacks
    def _save_all(self):
        try:
            while self._unsaved:
                fingerprint, report = next(iter(self._unsaved.items()))
                try:
                    yield self._write(report)
                except PlatformError:
                    yield deferLater(self.reactor, RETRY_S)
                    continue
                if self._unsaved.get(fingerprint) is report:
                    del self._unsaved[fingerprint]
        finally:
            self._saving = False

    def _write(self, report: SuspectReport):
        if report.is_cleared:
            return self.store.delete_row(SUSPECTS_TABLE, report.fingerprint)
        value = encode_suspect(report, self.read_clock())
        return self.store.write_row(SUSPECTS_TABLE, report.fingerprint, value)

    def _report_error(self, failure) -> None:
        self.on_error(f"{SUSPECTS_TABLE}: {failure.value!r}")

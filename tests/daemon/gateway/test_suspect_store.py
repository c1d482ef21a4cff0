"""Requests that crash targets, saved in a store that fails now and then."""

from __future__ import annotations

from unittest import TestCase

from attrs import Factory, define
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from almondgap_core.exceptions import PlatformUnavailable
from almondgap_core.gateway.suspects import Crash, SuspectReport
from almondgap_daemon.gateway.suspect_store import MAX_AGE_S, RETRY_S, SuspectStore
from almondgap_daemon.platform.records import StoreRow, encode_suspect
from almondgap_daemon.platform.store import RowBatch
from tests.daemon.gateway.site_case import SiteTestCase

REPORT = SuspectReport("f1", tuple(Crash(f"t{n}", 7) for n in range(3)), (), 1)


@define
class FailingStore:
    """Rows by key, and how many of the next calls fail."""

    failures: int = 0
    calls: int = 0
    rows: dict[str, bytes] = Factory(dict)

    def read_rows(self, table: str) -> Deferred:
        rows = [StoreRow(table, key, value, 1) for key, value in self.rows.items()]
        return self._answer(lambda: RowBatch(tuple(rows), 1))

    def write_row(self, table: str, key: str, value: bytes) -> Deferred:
        return self._answer(lambda: self.rows.update({key: value}))

    def delete_row(self, table: str, key: str) -> Deferred:
        return self._answer(lambda: self.rows.pop(key, None))

    def _answer(self, act) -> Deferred:
        self.calls += 1
        if self.failures:
            self.failures -= 1
            return fail(PlatformUnavailable("down"))
        return succeed(act())


class SuspectStoreTests(TestCase):
    def setUp(self):
        self.clock = Clock()
        self.time = 1_000_000.0
        self.store = FailingStore()
        self.events, self.errors = [], []
        self.suspects = SuspectStore(
            self.clock,
            self.store,
            self.events.append,
            lambda: 5,
            lambda: self.time,
            self.errors.append,
        )

    def test_saved_request_is_read_again(self):
        self.suspects.save(REPORT)
        self.suspects.read()
        [event] = self.events
        self.assertEqual(event.suspects.reports, (REPORT,))

    def test_calls_that_fail_are_repeated(self):
        self.store.failures = 2
        self.suspects.save(REPORT)
        self.suspects.read()
        self.assertEqual(self.store.rows, {})
        self.clock.advance(RETRY_S)
        self.clock.advance(RETRY_S)
        self.assertEqual(list(self.store.rows), ["f1"])
        self.assertFalse(self.suspects._saving or self.suspects._reading)

    def test_cleared_request_is_removed(self):
        self.suspects.save(REPORT)
        cleared = SuspectReport("f1", REPORT.crashes, REPORT.crashes, 1)
        self.suspects.save(cleared)
        self.assertEqual(self.store.rows, {})

    def test_newest_report_is_written_while_the_store_is_down(self):
        self.store.failures = 1
        self.suspects.save(REPORT)
        newer = SuspectReport("f1", REPORT.crashes, (), 2)
        self.suspects.save(newer)
        self.clock.advance(RETRY_S)
        self.suspects.read()
        self.assertEqual(self.events[-1].suspects.reports, (newer,))
        self.assertEqual(self.store.calls, 3)

    def test_old_and_malformed_rows_are_not_used(self):
        self.store.rows["f1"] = encode_suspect(REPORT, self.time - MAX_AGE_S - 1)
        for number, value in enumerate(
            (b"", b"[]", b'{"crashes": [["t", -1, 0]], "trials": 0, "saved_at": 1}')
        ):
            self.store.rows[f"bad{number}"] = value
        self.suspects.read()
        self.assertEqual(self.events, [])
        self.assertEqual(len(self.errors), 3)
        self.assertNotIn("f1", self.store.rows)


class RestartTests(SiteTestCase):
    def test_host_that_starts_refuses_a_request_that_was_saved(self):
        site = self.start()
        self.assertEqual(site.call("h1", "/reads/9").status, 200)
        site.set_mode(0, "cutting")
        site.set_mode(1, "cutting")
        site.call("h1", "/reads/9")
        lines = [x for x in site.read_log("h1") if x["event"] == "attempt lost"]
        fingerprint = lines[-1]["fingerprint"]
        for number in range(2):
            site.set_mode(number, "well")
        site.stop_host("h1")
        crashes = [[f"t{number}", 7, False] for number in range(3)]
        value = {"crashes": crashes, "trials": 2, "saved_at": 4_000_000_000}
        row = {"table": "almondgap-suspects", "key": fingerprint, "value": value}
        site.write(row)
        site.start_host("h1")
        site.wait_until(lambda: site.call("h1", "/reads/9").status == 503)
        reply = site.call("h1", "/reads/9", request_id="r2")
        self.assertIn(b"quarantined", reply.body)
        self.assertEqual(site.call("h1", "/reads/8").status, 200)

"""Answers of the platform's store, as its client takes them."""

from __future__ import annotations

import base64
import json
from unittest import TestCase

from attrs import Factory, define
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from almondgap_core.exceptions import PlatformAnswerLost, PlatformError
from almondgap_daemon.http.response import Response
from almondgap_daemon.platform.store import (
    HistoryLost,
    StoreClient,
    decode_answer,
    decode_rows,
)


@define
class ScriptedPool:
    """Connections whose calls are answered by the test, in order of the calls."""

    calls: list[Deferred] = Factory(list)

    def acquire(self, server: str, address: str):
        return self

    def send(self, request) -> Deferred:
        self.calls.append(Deferred())
        return self.calls[-1]

    def abort(self) -> None:
        pass

    def release(self, server: str, conn, max_idle: int) -> None:
        pass

    def close(self) -> None:
        pass

    def answer(self, number: int, version: int, era: str, rows=()) -> None:
        """Answer a call; there are more rows if there are any."""
        content = {"rows": list(rows), "has_more": bool(rows), "ver": version}
        body = json.dumps(content).encode()
        headers = [(b"Store-Era", era.encode())]
        self.calls[number].callback(Response(200, b"OK", headers, body))


class EraTests(TestCase):
    def setUp(self) -> None:
        self.client = StoreClient(Clock(), "10.0.0.1:80")
        self.pool = self.client._pool = ScriptedPool()

    def test_changes_of_a_newer_era_mean_a_new_snapshot_whatever_the_version(self):
        for version in (3, 5, 9):
            self.setUp()
            self.client.read_rows("op")
            self.pool.answer(0, 5, "1")
            changes = self.client.wait_for_changes("op", 5, 1)
            self.pool.answer(1, version, "2")
            self.assertIsInstance(self.get_failure(changes), HistoryLost)

    def test_pages_of_two_eras_are_no_snapshot(self):
        read = self.client.read_rows("op")
        row = {"table": "op", "part": "", "key": "config", "value": "", "ver": 4}
        self.pool.answer(0, 5, "1", [row])
        self.pool.answer(1, 9, "2")
        self.assertIsInstance(self.get_failure(read), HistoryLost)

    def test_late_answer_of_an_earlier_era_is_not_used(self):
        first = self.client.read_rows("op")
        self.pool.answer(0, 5, "1")
        self.assertEqual(self.get_result(first).era, 1)
        late = self.client.wait_for_changes("op", 5, 1)
        other = self.client.read_rows("servers")
        self.pool.answer(2, 3, "2")
        self.assertEqual(self.get_result(other).era, 2)
        self.pool.answer(1, 9, "1")
        self.assertIsInstance(self.get_failure(late), PlatformAnswerLost)

    def test_write_acknowledged_in_an_earlier_era_counts_as_lost(self):
        first = self.client.read_rows("op")
        write = self.client.write_row("almondgap-hosts", "h1", b"{}")
        self.pool.answer(0, 5, "2")
        self.get_result(first)
        self.pool.answer(1, 6, "1")
        self.assertIsInstance(self.get_failure(write), PlatformAnswerLost)

    def get_result(self, deferred: Deferred):
        results: list = []
        deferred.addCallback(results.append)
        return results[0]

    def get_failure(self, deferred: Deferred) -> Exception:
        failures: list = []
        deferred.addErrback(failures.append)
        return failures[0].value


class AnswerTests(TestCase):
    def make_body(self, *rows: str) -> bytes:
        return f'{{"ver": 9, "rows": [{", ".join(rows)}]}}'.encode()

    def make_row(self, **changes) -> str:
        value = base64.b64encode(b"{}").decode()
        row = {"table": "servers", "part": "", "key": "t1", "value": value, "ver": 4}
        return json.dumps({**row, **changes})

    def test_row_that_cannot_be_read_hides_no_other(self):
        # Guards against an answer that is refused for one row, again and again.
        good = self.make_row(key="t2")
        for changes in ({"value": 7}, {"value": "*"}, {"value": None}, {"value": [[]]}):
            with self.subTest(changes=changes):
                data = decode_answer(self.make_body(self.make_row(**changes), good))
                odd, other = decode_rows(data, "servers")
                self.assertEqual((odd.key, odd.value), ("t1", b""))
                self.assertEqual((other.key, other.value), ("t2", b"{}"))

    def test_rows_of_other_parts_are_other_rows(self):
        # Guards against a row of the same key that hides that of a target.
        body = self.make_body(self.make_row(part="x"), self.make_row(key="t2"))
        rows = decode_rows(decode_answer(body), "servers")
        self.assertEqual([row.key for row in rows], ["t2"])

    def test_answer_that_is_nested_too_deeply_is_lost(self):
        for body in (b"[" * 100_000, b"{" * 3, b"[]", b"\xff"):
            with self.assertRaises(PlatformError):
                decode_answer(body)

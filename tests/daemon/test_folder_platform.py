from __future__ import annotations

import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from unittest import TestCase

from almondgap_core.events import HostEntry
from almondgap_core.exceptions import PlatformUnavailable
from almondgap_core.platform import (
    Check,
    RowKey,
    Transaction,
    TransactionOutcome,
    Write,
)
from almondgap_daemon.tables.folder import HOSTS_FILE, TABLES_FILE, FolderPlatform

ROW = RowKey("config", "head")

#: Program that increments a row ten times by optimistic transactions, with retries.
COUNTER = """
import sys
from pathlib import Path
from twisted.internet import defer, task
from almondgap_core.platform import *
from almondgap_daemon.tables.folder import FolderPlatform

async def count():
    platform = FolderPlatform(Path(sys.argv[1]))
    done = 0
    while done < 10:
        row = (await platform.transact(Transaction(reads=(RowKey("t", "n"),)))).rows[0]
        write = Write("t", "n", str(int(row.value or 0) + 1))
        change = Transaction((Check("t", "n", row.version),), (write,))
        result = await platform.transact(change)
        done += result.outcome is TransactionOutcome.COMMITTED

task.react(lambda _: defer.ensureDeferred(count()))
"""


def get_result(done):
    """Return the result of a Deferred, or raise its failure."""
    results = []
    done.addBoth(results.append)
    if hasattr(results[0], "raiseException"):
        results[0].raiseException()
    return results[0]


class FolderPlatformTests(TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.platform = FolderPlatform(self.folder)

    def transact(self, *args, **kwargs):
        return get_result(self.platform.transact(Transaction(*args, **kwargs)))

    def write(self, value: str, version: int):
        check = Check(ROW.table, ROW.key, version)
        return self.transact((check,), (Write(ROW.table, ROW.key, value),), (ROW,))

    def test_failed_check_prevents_the_write(self):
        self.assertIs(self.write("a", 0).outcome, TransactionOutcome.COMMITTED)
        result = self.write("b", 0)
        self.assertIs(result.outcome, TransactionOutcome.CONFLICT)
        self.assertEqual((result.rows[0].value, result.rows[0].version), ("a", 1))

    def test_rows_persist(self):
        self.write("a", 0)
        other = FolderPlatform(self.folder)
        self.assertEqual(get_result(other.scan(ROW.table, "h"))[0].value, "a")

    def test_partially_written_file_is_ignored(self):
        self.write("a", 0)
        (self.folder / f"{TABLES_FILE}.1.new").write_text("[{")
        self.assertEqual(self.transact(reads=(ROW,)).rows[0].value, "a")

    def test_corrupt_file_is_unavailable_and_kept(self):
        (self.folder / TABLES_FILE).write_text("[{")
        self.assertIs(self.write("a", 0).outcome, TransactionOutcome.UNAVAILABLE)
        self.assertEqual((self.folder / TABLES_FILE).read_text(), "[{")

    def test_objects_are_found_by_name(self):
        name = get_result(self.platform.put(b"body"))
        self.assertEqual(get_result(self.platform.get(name)), b"body")
        with self.assertRaises(PlatformUnavailable):
            get_result(self.platform.get("../tables.json"))

    def test_hosts_come_from_a_file_with_comments(self):
        with self.assertRaises(PlatformUnavailable):
            get_result(self.platform.list_hosts())
        (self.folder / HOSTS_FILE).write_text(
            '[// one\n{"name": "a", "failure_domain": "d", "address": "127.0.0.1",'
            ' "caller_port": 1, "peer_port": 2}]'
        )
        expected = HostEntry("a", "d", "127.0.0.1", 1, 2)
        self.assertEqual(get_result(self.platform.list_hosts()), (expected,))

    def test_processes_do_not_lose_each_others_writes(self):
        command = [sys.executable, "-c", COUNTER, str(self.folder)]
        with ThreadPoolExecutor(3) as pool:
            runs = pool.map(lambda _: subprocess.run(command, check=True), range(3))
            list(runs)
        row = self.transact(reads=(RowKey("t", "n"),)).rows[0]
        self.assertEqual((row.value, row.version), ("30", 30))

"""The platform in a local folder, for a small site without a platform service."""

from __future__ import annotations

import fcntl
import json
import os
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import pyjson5
from attrs import asdict, frozen
from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks, maybeDeferred
from twisted.internet.task import deferLater

from almondgap_core.events import HostEntry
from almondgap_core.exceptions import PlatformError, PlatformUnavailable
from almondgap_core.platform import (
    Row,
    RowKey,
    Transaction,
    TransactionOutcome,
    TransactionResult,
    compute_object_name,
)
from almondgap_daemon.tables.codec import load_hosts, load_rows
from almondgap_daemon.tables.memory import MemoryTables

#: Delay between attempts to take the lock, and the time-out for it, in seconds.
LOCK_RETRY_S = 0.01
LOCK_TIMEOUT_S = 3.0

TABLES_FILE = "tables.json"
HOSTS_FILE = "hosts.json"
LOCK_FILE = "lock"
OBJECTS_FOLDER = "objects"


@frozen
class FolderPlatform:
    """Table service, object store and host list in one folder.

    The folder must be on a local file system: every host and command that uses it runs
    on the same machine. All rows are in one file that is replaced atomically, under a
    lock that every transaction holds.
    """

    folder: Path

    @classmethod
    def from_config(cls, cfg) -> FolderPlatform:
        """Return the platform in the configured folder."""
        return cls(Path(cfg.folder))

    @inlineCallbacks
    def transact(self, transaction: Transaction):
        """Run a transaction.

        The outcome is UNAVAILABLE when the lock times out or a file cannot be used.
        """
        waited = 0.0
        while waited <= LOCK_TIMEOUT_S:
            try:
                return self._transact(transaction)
            except BlockingIOError:
                yield deferLater(reactor, LOCK_RETRY_S)
                waited += LOCK_RETRY_S
            except (OSError, PlatformError):
                break
        return TransactionResult(TransactionOutcome.UNAVAILABLE)

    def scan(self, table: str, prefix: str) -> Deferred[tuple[Row, ...]]:
        """Return the rows whose key starts with ``prefix``."""
        return maybeDeferred(lambda: self._read_tables().find(table, prefix))

    def put(self, body: bytes) -> Deferred[str]:
        """Store a body."""
        return maybeDeferred(self._put, body)

    def get(self, name: str) -> Deferred[bytes]:
        """Return a body."""
        return maybeDeferred(self._get, name)

    def list_hosts(self) -> Deferred[tuple[HostEntry, ...]]:
        """Return the hosts in the file that the operators maintain."""
        return maybeDeferred(self._list_hosts)

    def _transact(self, transaction: Transaction) -> TransactionResult:
        if transaction.writes:
            self.folder.mkdir(parents=True, exist_ok=True)
        with self._lock():
            tables = self._read_tables()
            result = tables.apply(transaction)
            if transaction.writes and result.outcome is TransactionOutcome.COMMITTED:
                rows = [asdict(row) for row in tables.rows.values()]
                _replace(self.folder / TABLES_FILE, json.dumps(rows).encode())
            return result

    @contextmanager
    def _lock(self) -> Iterator[None]:
        with open(self.folder / LOCK_FILE, "ab") as lock_file:
            fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            yield

    def _read_tables(self) -> MemoryTables:
        path = self.folder / TABLES_FILE
        try:
            rows = load_rows(json.loads(path.read_bytes()))
        except FileNotFoundError:
            return MemoryTables()
        except (OSError, ValueError, TypeError) as exc:
            raise PlatformUnavailable(f"{path}: {exc}") from exc
        return MemoryTables({RowKey(row.table, row.key): row for row in rows})

    def _put(self, body: bytes) -> str:
        name = compute_object_name(body)
        folder = self.folder / OBJECTS_FOLDER
        try:
            folder.mkdir(parents=True, exist_ok=True)
            _replace(folder / name, body)
        except OSError as exc:
            raise PlatformUnavailable(f"{folder}: {exc}") from exc
        return name

    def _get(self, name: str) -> bytes:
        try:
            return (self.folder / OBJECTS_FOLDER / Path(name).name).read_bytes()
        except OSError as exc:
            raise PlatformUnavailable(f"no object {name}: {exc}") from exc

    def _list_hosts(self) -> tuple[HostEntry, ...]:
        path = self.folder / HOSTS_FILE
        try:
            items = pyjson5.decode(path.read_text())
        except (OSError, pyjson5.Json5Exception) as exc:
            raise PlatformUnavailable(f"{path}: {exc}") from exc
        return load_hosts(json.dumps(items).encode())


def _replace(path: Path, data: bytes) -> None:
    """Replace a file atomically: readers and crashes see the old or the new content."""
    temporary = path.with_name(f"{path.name}.{os.getpid()}.new")
    try:
        with open(temporary, "wb") as output:
            output.write(data)
            output.flush()
            os.fsync(output.fileno())
        os.replace(temporary, path)
    except OSError:
        with suppress(OSError):
            temporary.unlink()
        raise

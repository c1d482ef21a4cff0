"""The platform in memory: the reference semantics of its tables, without a network."""

from __future__ import annotations

from attrs import Factory, define
from twisted.internet.defer import Deferred, fail, succeed

from almondgap_core.events import HostEntry
from almondgap_core.exceptions import PlatformUnavailable
from almondgap_core.platform import (
    Row,
    RowKey,
    Transaction,
    TransactionOutcome,
    TransactionResult,
    compute_object_name,
)


@define
class MemoryTables:
    """Tables in memory.

    :ivar rows: rows by table and key; a removed row stays, to keep its version.
    """

    rows: dict[RowKey, Row] = Factory(dict)

    def apply(self, transaction: Transaction) -> TransactionResult:
        """Run a transaction and return its result."""
        outcome = TransactionOutcome.COMMITTED
        for check in transaction.checks:
            if self.read(RowKey(check.table, check.key)).version != check.version:
                outcome = TransactionOutcome.CONFLICT
        if outcome is TransactionOutcome.COMMITTED:
            for write in transaction.writes:
                name = RowKey(write.table, write.key)
                version = self.read(name).version + 1
                self.rows[name] = Row(name.table, name.key, write.value, version)
        rows = tuple(self.read(name) for name in transaction.reads)
        return TransactionResult(outcome, rows)

    def read(self, name: RowKey) -> Row:
        """Return one row."""
        return self.rows.get(name) or Row(name.table, name.key, None, 0)

    def find(self, table: str, prefix: str) -> tuple[Row, ...]:
        """Return the rows whose key starts with ``prefix``, sorted by key."""
        found = [
            row
            for row in self.rows.values()
            if row.table == table and row.key.startswith(prefix) and row.value
        ]
        return tuple(sorted(found, key=lambda row: row.key))


@define
class MemoryPlatform:
    """Table service, object store and host list in memory; always available."""

    tables: MemoryTables = Factory(MemoryTables)
    objects: dict[str, bytes] = Factory(dict)
    hosts: tuple[HostEntry, ...] = ()

    def transact(self, transaction: Transaction) -> Deferred[TransactionResult]:
        """Run a transaction."""
        return succeed(self.tables.apply(transaction))

    def scan(self, table: str, prefix: str) -> Deferred[tuple[Row, ...]]:
        """Return the rows whose key starts with ``prefix``."""
        return succeed(self.tables.find(table, prefix))

    def put(self, body: bytes) -> Deferred[str]:
        """Store a body."""
        name = compute_object_name(body)
        self.objects[name] = body
        return succeed(name)

    def get(self, name: str) -> Deferred[bytes]:
        """Return a body."""
        if name not in self.objects:
            return fail(PlatformUnavailable(f"no object {name}"))
        return succeed(self.objects[name])

    def list_hosts(self) -> Deferred[tuple[HostEntry, ...]]:
        """Return the list of hosts."""
        return succeed(self.hosts)

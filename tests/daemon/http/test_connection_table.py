"""Limit of a server's connections.

Load pattern: callers that send a request each and keep their connections, until there
are more of them than a host has descriptors.
"""

from __future__ import annotations

from unittest import TestCase

from attrs import define

from almondgap_daemon.http.connection_table import ConnectionTable


@define(eq=False)
class FakeConnection:
    """A connection that records whether it was closed."""

    busy: bool = False
    closed: bool = False

    def close_idle(self) -> None:
        self.closed = True


def fill(table: ConnectionTable, busy: bool = False) -> list[FakeConnection]:
    """Fill a table to its limit and return its connections, the oldest first."""
    added = [FakeConnection(busy) for _ in range(table.limit)]
    for conn in added:
        assert table.add(conn)
    return added


class ConnectionTableTests(TestCase):
    def test_connection_that_was_idle_for_longest_makes_room(self):
        table = ConnectionTable(limit=10)
        conns = fill(table)
        table.touch(conns[0])
        self.assertTrue(table.add(FakeConnection()))
        self.assertEqual([conn for conn in conns if conn.closed], [conns[1]])
        self.assertEqual(len(table), 10)

    def test_busy_connections_stay(self):
        table = ConnectionTable(limit=10)
        conns = fill(table, busy=True)
        self.assertFalse(table.add(FakeConnection()))
        self.assertEqual([conn for conn in conns if conn.closed], [])
        conns[7].busy = False
        self.assertTrue(table.add(FakeConnection()))
        self.assertEqual([conn for conn in conns if conn.closed], [conns[7]])

    def test_table_is_crowded_shortly_before_its_limit(self):
        table = ConnectionTable(limit=10)
        conns = fill(table)
        self.assertTrue(table.is_crowded)
        for conn in conns[:2]:
            table.discard(conn)
        self.assertFalse(table.is_crowded)

    def test_table_without_limit_takes_every_connection(self):
        table = ConnectionTable()
        for _ in range(5_000):
            self.assertTrue(table.add(FakeConnection()))
        self.assertFalse(table.is_crowded)

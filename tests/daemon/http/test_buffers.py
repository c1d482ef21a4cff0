from __future__ import annotations

from unittest import TestCase

from attrs import define

from almondgap_daemon.http.buffers import BufferLedger


@define(eq=False)
class Owner:
    """A connection that records whether it was closed."""

    closed: bool = False

    def overflow(self) -> None:
        """Record that it was closed."""
        self.closed = True


class BufferLedgerTests(TestCase):
    def test_largest_connection_is_closed(self):
        ledger = BufferLedger(max_bytes=100)
        small, large = Owner(), Owner()
        ledger.add(large, 70)
        ledger.add(small, 20)
        self.assertFalse(large.closed)
        ledger.add(small, 20)
        self.assertTrue(large.closed)
        self.assertFalse(small.closed)
        self.assertEqual(ledger.total, 40)

    def test_released_bytes_do_not_count(self):
        ledger = BufferLedger(max_bytes=100)
        for _ in range(5):
            owner = Owner()
            ledger.add(owner, 90)
            ledger.release(owner)
            self.assertFalse(owner.closed)
        self.assertEqual((ledger.total, ledger.peak), (0, 90))

"""A transport that records the data written to it."""

from __future__ import annotations

from attrs import define
from twisted.internet.address import IPv4Address


@define
class RecordingTransport:
    """Replaces a connection in tests of protocols.

    Twisted's own string transport imports Twisted's test runner, which sets attributes
    on every test case that nose2 cannot read.

    :ivar written: all data written so far.
    :ivar disconnecting: whether the connection was closed or aborted.
    """

    written: bytes = b""
    disconnecting: bool = False

    def write(self, data: bytes) -> None:
        """Append data to what was written."""
        self.written += data

    def getPeer(self) -> IPv4Address:
        """Return the peer's address."""
        return IPv4Address("TCP", "127.0.0.1", 40_000)

    def loseConnection(self) -> None:
        """Record that the connection is closed."""
        self.disconnecting = True

    def abortConnection(self) -> None:
        """Record that the connection is closed."""
        self.disconnecting = True

"""A connection in memory, for a server without sockets.

Twisted's own one lives beside its test runner, whose import changes
``unittest.TestCase`` for all.
"""

from __future__ import annotations

from collections.abc import Iterable

from twisted.internet.address import IPv4Address
from twisted.web.server import Site


class MemoryTransport:
    """Keeps what the server writes."""

    disconnecting = False

    def __init__(self) -> None:
        self.written: list[bytes] = []

    def write(self, data: bytes) -> None:
        """Keep what was written."""
        self.written.append(data)

    def writeSequence(self, parts: Iterable[bytes]) -> None:
        """Keep what was written."""
        self.written.extend(parts)

    def take(self) -> bytes:
        """Return what was written since the last time."""
        data = b"".join(self.written)
        self.written.clear()
        return data

    def getPeer(self) -> IPv4Address:
        """Return the caller's address."""
        return IPv4Address("TCP", "127.0.0.1", 50_000)

    def getHost(self) -> IPv4Address:
        """Return the server's address."""
        return IPv4Address("TCP", "127.0.0.1", 80)

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing: there is no socket."""

    def registerProducer(self, producer, streaming: bool) -> None:
        """Do nothing: everything is written at once."""

    def unregisterProducer(self) -> None:
        """Do nothing: everything is written at once."""

    def loseConnection(self) -> None:
        """Note that the server closed the connection."""
        self.disconnecting = True


def connect(site: Site):
    """Return the server's end of a new connection, and its transport."""
    protocol = site.buildProtocol(None)
    protocol.timeOut = None
    transport = MemoryTransport()
    protocol.makeConnection(transport)
    return protocol, transport

"""A TCP connection in memory, for protocols that set options on their socket."""

from __future__ import annotations

from attrs import define
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure


class _Handle:
    """A socket that takes every option."""

    def setsockopt(self, *option) -> None:
        """Do nothing."""


@define(eq=False)
class PipeTransport:
    """Keeps what a protocol writes, and tells it what comes.

    :ivar ended: ``closed`` or ``aborted`` once the protocol ended the connection.
    """

    protocol: object
    written: bytes = b""
    ended: str = ""

    @classmethod
    def connect(cls, protocol) -> PipeTransport:
        """Connect a protocol."""
        transport = cls(protocol)
        protocol.makeConnection(transport)
        return transport

    def take(self) -> bytes:
        """Return what was written since the last time."""
        written, self.written = self.written, b""
        return written

    def receive(self, data: bytes) -> None:
        """Let bytes come from the other side."""
        self.protocol.dataReceived(data)

    def end(self, clean: bool = True) -> None:
        """Let the other side end the connection."""
        kind = ConnectionDone if clean else ConnectionLost
        self.protocol.connectionLost(Failure(kind()))

    def write(self, data: bytes) -> None:
        """Keep what the protocol writes."""
        self.written += data

    def loseConnection(self) -> None:  # noqa: N802
        """Note that the protocol closed the connection."""
        self.ended = self.ended or "closed"

    def abortConnection(self) -> None:  # noqa: N802
        """Note that the protocol broke the connection off."""
        self.ended = "aborted"

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing: there is no socket."""

    def getHandle(self) -> _Handle:  # noqa: N802
        """Return a socket that takes every option."""
        return _Handle()

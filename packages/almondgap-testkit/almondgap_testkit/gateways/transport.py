"""An in-memory TCP transport, for protocols that set options on their socket."""

from __future__ import annotations

from attrs import define
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure


class _Handle:
    """A socket that accepts every option."""

    def setsockopt(self, *option) -> None:
        """Do nothing."""


@define(eq=False)
class PipeTransport:
    """Records what a protocol writes and passes it input.

    :ivar written: bytes written since the last ``take``.
    :ivar ended: ``closed`` or ``aborted`` once the protocol ended the connection.
    """

    protocol: object
    written: bytes = b""
    ended: str = ""

    @classmethod
    def connect(cls, protocol) -> PipeTransport:
        """Connect a protocol to a new transport."""
        transport = cls(protocol)
        protocol.makeConnection(transport)
        return transport

    def take(self) -> bytes:
        """Return the bytes written since the last call."""
        written, self.written = self.written, b""
        return written

    def receive(self, data: bytes) -> None:
        """Pass the protocol bytes from its peer."""
        self.protocol.dataReceived(data)

    def end(self, clean: bool = True) -> None:
        """Close the connection from the peer's side.

        :param clean: whether the peer closed it in order.
        """
        kind = ConnectionDone if clean else ConnectionLost
        self.protocol.connectionLost(Failure(kind()))

    def write(self, data: bytes) -> None:
        """Record bytes that the protocol writes."""
        self.written += data

    def loseConnection(self) -> None:  # noqa: N802
        """Record that the protocol closed the connection."""
        self.ended = self.ended or "closed"

    def abortConnection(self) -> None:  # noqa: N802
        """Record that the protocol aborted the connection."""
        self.ended = "aborted"

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing: there is no socket."""

    def getHandle(self) -> _Handle:  # noqa: N802
        """Return a socket that accepts every option."""
        return _Handle()

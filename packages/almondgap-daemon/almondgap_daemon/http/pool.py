"""A pool of persistent HTTP connections, by server."""

from __future__ import annotations

from attrs import Factory, define
from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectBindError, ConnectionRefusedError
from twisted.internet.protocol import Factory as ProtocolFactory

from almondgap_daemon.http.buffers import BufferLedger
from almondgap_daemon.http.connection import ClientConnection
from almondgap_daemon.http.response import (
    ConnectionRefused,
    NoSocket,
    NotConnected,
)

#: Time-out of connection attempts, in seconds: above the longest round trip, and below
#: the time after which the kernel retransmits a lost SYN.
CONNECT_TIMEOUT_S = 0.5

#: Idle time after which a connection is closed, in seconds, and the margin by which it
#: is closed before the server's own time-out.
MAX_IDLE_S = 4.0
IDLE_MARGIN_S = 1.0


@define(eq=False)
class _ClientFactory(ProtocolFactory):
    """Creates client connections, without Twisted's log line for each factory."""

    ledger: BufferLedger
    noisy = False

    def buildProtocol(self, addr) -> ClientConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return ClientConnection(self.ledger)


@define
class ConnectionPool:
    """Idle connections by server.

    :ivar connect_timeout: time-out of connection attempts, in seconds.
    :ivar opened: number of connection attempts so far.
    :ivar ledger: bytes that the connections have buffered.
    """

    reactor: object
    connect_timeout: float = CONNECT_TIMEOUT_S
    opened: int = 0
    ledger: BufferLedger = Factory(BufferLedger)
    _idle: dict[str, list[ClientConnection]] = Factory(dict)

    def acquire(
        self, server: str, address: str, max_idle_s: float = MAX_IDLE_S
    ) -> Deferred[ClientConnection]:
        """Return an idle connection to a server, or open a new one.

        :param max_idle_s: limit of the idle time of a reused connection, in seconds.
        :raises NotConnected: the connection could not be established.
        :raises NoSocket: this host has no socket left.
        """
        idle = self._idle.get(server)
        now = self.reactor.seconds()
        while idle:
            conn = idle.pop()
            idle_s = now - conn.idle_since
            if conn.reusable and idle_s <= min(
                max_idle_s, self._compute_max_idle(conn)
            ):
                conn.on_idle_close = None
                return succeed(conn)
            conn.close()
        return self.connect(address)

    def connect(self, address: str) -> Deferred[ClientConnection]:
        """Open a new connection, which is in no pool.

        :raises NotConnected: the connection could not be established.
        :raises ConnectionRefused: the server refused it.
        :raises NoSocket: this host has no socket left.
        """
        host, _, port = address.rpartition(":")
        try:
            endpoint = TCP4ClientEndpoint(
                self.reactor, host, int(port), timeout=self.connect_timeout
            )
        except ValueError as exc:
            raise NotConnected(f"invalid address: {address!r}") from exc
        self.opened += 1
        connecting = endpoint.connect(_ClientFactory(self.ledger))
        connecting.addErrback(_raise_not_connected, address)
        return connecting

    def release(self, server: str, conn: ClientConnection, max_idle: int) -> None:
        """Return a connection to the pool, or close it.

        :param max_idle: limit of idle connections to the server.
        """
        idle = self._idle.setdefault(server, [])
        if not conn.reusable or len(idle) >= max_idle:
            conn.close()
            return
        conn.idle_since = self.reactor.seconds()
        conn.on_idle_close = lambda closed: self._discard(server, closed)
        idle.append(conn)

    def close_server(self, server: str) -> None:
        """Close all idle connections to a server."""
        for conn in self._idle.pop(server, []):
            conn.close()

    def evict_expired(self) -> None:
        """Close connections that exceeded their idle time."""
        now = self.reactor.seconds()
        for server, idle in list(self._idle.items()):
            expired = [
                conn
                for conn in idle
                if now - conn.idle_since > self._compute_max_idle(conn)
            ]
            for conn in expired:
                idle.remove(conn)
                conn.close()
            if not idle:
                self._idle.pop(server, None)

    def close(self) -> None:
        """Close all idle connections."""
        for server in list(self._idle):
            self.close_server(server)

    def _compute_max_idle(self, conn: ClientConnection) -> float:
        if conn.idle_timeout is None:
            return MAX_IDLE_S
        return min(MAX_IDLE_S, max(0.0, conn.idle_timeout - IDLE_MARGIN_S))

    def _discard(self, server: str, conn: ClientConnection) -> None:
        idle = self._idle.get(server, [])
        if conn in idle:
            idle.remove(conn)


def _raise_not_connected(failure, address: str):
    kind = NotConnected
    if failure.check(ConnectBindError):
        # Twisted reports a socket that could not be created or bound in this way.
        kind = NoSocket
    elif failure.check(ConnectionRefusedError):
        kind = ConnectionRefused
    raise kind(f"{address}: {failure.getErrorMessage()}") from failure.value

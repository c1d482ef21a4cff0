"""Connections that are kept for later requests, by server."""

from __future__ import annotations

from attrs import Factory, define
from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory as ProtocolFactory

from almondgap_daemon.http.connection import ClientConnection
from almondgap_daemon.http.response import NotConnected

#: Longest time to set a connection up, in seconds: above the longest way there and
#: back, and below the time after which a lost opening packet is sent again.
CONNECT_TIMEOUT_S = 0.5

#: Longest time for which a connection is kept idle, in seconds, and the time by which
#: it is given up before the server would close it.
MAX_IDLE_S = 4.0
IDLE_MARGIN_S = 1.0


class _ClientFactory(ProtocolFactory):
    """Makes client connections; Twisted's log of factories is of no use."""

    noisy = False
    protocol = ClientConnection


@define
class ConnectionPool:
    """Idle connections by server.

    :ivar opened: connections that were opened so far.
    """

    reactor: object
    connect_timeout: float = CONNECT_TIMEOUT_S
    opened: int = 0
    _idle: dict[str, list[ClientConnection]] = Factory(dict)

    def acquire(
        self, server: str, address: str, max_idle_s: float = MAX_IDLE_S
    ) -> Deferred[ClientConnection]:
        """Return a connection to a server, a kept one if it was used lately.

        :param max_idle_s: longest idle time of a kept connection, in seconds.
        :raises NotConnected: no connection came about.
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
        host, _, port = address.rpartition(":")
        try:
            endpoint = TCP4ClientEndpoint(
                self.reactor, host, int(port), timeout=self.connect_timeout
            )
        except ValueError as exc:
            raise NotConnected(f"no address: {address!r}") from exc
        self.opened += 1
        connecting = endpoint.connect(_ClientFactory())
        connecting.addErrback(_raise_not_connected, address)
        return connecting

    def release(self, server: str, conn: ClientConnection, max_idle: int) -> None:
        """Keep a connection for later, or close it.

        :param max_idle: most connections to the server that are kept.
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
        """Close connections that were idle for too long."""
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
    raise NotConnected(f"{address}: {failure.getErrorMessage()}") from failure.value

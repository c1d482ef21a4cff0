"""An HTTP server whose handler receives complete requests.

A connection processes one request at a time; pipelined requests wait. Slow, oversized
and ambiguously framed requests are rejected before they reach the handler.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol as TypingProtocol

import h11
from attrs import Factory, define, field
from twisted.internet.protocol import Factory as ProtocolFactory
from twisted.internet.protocol import Protocol

from almondgap_daemon.http.connection import set_socket_timeouts
from almondgap_daemon.http.connection_table import ConnectionTable
from almondgap_daemon.http.response import RawHeaders

#: Time after which a caller that connected is taken to send no request, in seconds.
FIRST_REQUEST_S = 1.0


@define(eq=False)
class Exchange:
    """A complete request of a caller, with the connection to respond on.

    :ivar headers: names and values as received, in order.
    :ivar number: number assigned by the handler.
    :ivar answered: whether a response was written or the caller disconnected.
    """

    conn: ServerConnection
    method: bytes
    target: bytes
    headers: RawHeaders
    body: bytes
    number: int = 0
    answered: bool = False

    def respond(
        self, status: int, reason: bytes, headers: RawHeaders, body: bytes
    ) -> None:
        """Write the response; does nothing if the caller has disconnected."""
        if not self.answered:
            self.answered = True
            self.conn.write_response(status, reason, headers, body)


class Handler(TypingProtocol):
    """Handles the requests of a server."""

    def handle_request(self, exchange: Exchange) -> None:
        """Handle a complete request."""

    def handle_disconnect(self, exchange: Exchange) -> None:
        """Handle a caller that disconnected before it was answered."""


@define
class ServerLimits:
    """Limits of requests.

    :ivar header_bytes: limit of the request line and headers, in bytes.
    :ivar body_bytes: limit of the body, in bytes.
    :ivar header_timeout_s: time-out for the rest of a partial header, in seconds.
    :ivar idle_timeout_s: time-out without data outside of that, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 8_388_608
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@define(eq=False)
class ServerConnection(Protocol):
    """A connection of a caller."""

    factory: ServerFactory
    _http: h11.Connection = field(init=False)
    _head: h11.Request | None = None
    _body: list[bytes] = Factory(list)
    _size: int = 0
    _exchange: Exchange | None = None
    _timer: object = None
    _open: bool = True
    _reading_head: bool = False
    _opened_s: float = 0.0
    _served: bool = False

    def connectionMade(self) -> None:  # noqa: N802
        """Start reading requests."""
        limits = self.factory.limits
        self._opened_s = self.factory.reactor.seconds()
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        if not self.factory.connections.add(self):
            self.factory.on_error("connection closed: too many are busy")
            self._open = False
            self.transport.abortConnection()
            return
        set_socket_timeouts(self.transport)
        self._set_timeout(limits.idle_timeout_s)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process received data, unless a request awaits its response."""
        self.factory.connections.touch(self)
        self._http.receive_data(data)
        if self._exchange is None:
            self._read_events()

    def connectionLost(self, reason) -> None:  # noqa: N802
        """Notify the handler if a request awaits its response."""
        self._open = False
        self._cancel_timeout()
        self.factory.connections.discard(self)
        exchange, self._exchange = self._exchange, None
        if exchange is not None and not exchange.answered:
            exchange.answered = True
            self.factory.handler.handle_disconnect(exchange)

    @property
    def busy(self) -> bool:
        """Whether a request is being read, is expected or awaits its response."""
        if self._exchange is not None or self._head is not None or self._reading_head:
            return True
        age_s = self.factory.reactor.seconds() - self._opened_s
        return not self._served and age_s < FIRST_REQUEST_S

    def write_response(
        self, status: int, reason: bytes, headers: RawHeaders, body: bytes
    ) -> None:
        """Write the response to the current request, then read the next one."""
        self._exchange = None
        self._served = True
        if not self._open:
            return
        self.factory.connections.touch(self)
        if self.factory.closing or self.factory.connections.is_crowded:
            headers = [*headers, (b"Connection", b"close")]
        try:
            data = self._http.send(
                h11.Response(status_code=status, reason=reason, headers=headers)
            )
            if body:
                data += self._http.send(h11.Data(data=body))
            data += self._http.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            # A response that cannot be framed must not look complete to the caller.
            self.factory.on_error(f"response cannot be sent: {exc}")
            self.transport.abortConnection()
            return
        self.transport.write(data)
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self._set_timeout(self.factory.limits.idle_timeout_s)
            self._read_events()
        else:
            self._close()

    def close_idle(self) -> None:
        """Close the connection unless it is busy."""
        if not self.busy:
            self._close()

    def _read_events(self) -> None:
        try:
            while self._open and self._exchange is None:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    self._await_data()
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as exc:
            self._reject_request(exc.error_status_hint, str(exc))

    def _handle_event(self, event) -> None:
        if isinstance(event, h11.Request):
            if _has_conflicting_framing(event):
                self._reject_request(400, "both Content-Length and Transfer-Encoding")
                return
            self._head = event
            self._reading_head = False
            self._body = []
            self._size = 0
            self._set_timeout(self.factory.limits.idle_timeout_s)
        elif isinstance(event, h11.Data):
            self._size += len(event.data)
            if self._size > self.factory.limits.body_bytes:
                self._reject_request(413, "request body is too long")
                return
            self._body.append(bytes(event.data))
            self._set_timeout(self.factory.limits.idle_timeout_s)
        elif isinstance(event, h11.EndOfMessage):
            self._cancel_timeout()
            head, self._head = self._head, None
            self._exchange = Exchange(
                self,
                head.method,
                head.target,
                head.headers.raw_items(),
                b"".join(self._body),
            )
            self._body = []
            self.factory.handler.handle_request(self._exchange)
        elif isinstance(event, h11.ConnectionClosed):
            self._close()

    def _await_data(self) -> None:
        if (
            self._head is None
            and self._http.trailing_data[0]
            and not self._reading_head
        ):
            self._reading_head = True
            self._set_timeout(self.factory.limits.header_timeout_s)
        if self._http.they_are_waiting_for_100_continue and self._head is not None:
            self.transport.write(
                self._http.send(h11.InformationalResponse(status_code=100, headers=[]))
            )

    def _reject_request(self, status: int, detail: str) -> None:
        """Respond to an invalid request with an error, and close the connection."""
        self.factory.on_error(f"request rejected with {status}: {detail}")
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = HTTPStatus(status).phrase.encode()
            headers = [
                (b"Content-Length", str(len(body)).encode()),
                (b"Connection", b"close"),
            ]
            head = h11.Response(status_code=status, reason=body, headers=headers)
            data = self._http.send(head) + self._http.send(h11.Data(data=body))
            self.transport.write(data + self._http.send(h11.EndOfMessage()))
        self._close()

    def _close(self) -> None:
        self._open = False
        self._cancel_timeout()
        self.transport.loseConnection()

    def _set_timeout(self, delay: float) -> None:
        self._cancel_timeout()
        self._timer = self.factory.reactor.callLater(delay, self._on_timeout)

    def _cancel_timeout(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _on_timeout(self) -> None:
        self._timer = None
        if self._head is not None or self._reading_head:
            self._reject_request(408, "timed out waiting for the rest of the request")
        else:
            self._close()


def _has_conflicting_framing(head: h11.Request) -> bool:
    """Return whether a request has two framings, which allows request smuggling."""
    names = {name for name, _ in head.headers}
    return {b"content-length", b"transfer-encoding"} <= names


@define(eq=False)
class ServerFactory(ProtocolFactory):
    """Creates the connections of a server.

    :ivar on_error: called with a description of each protocol violation.
    :ivar closing: whether connections close after the current response.
    :ivar connections: the open connections.
    :ivar accepted: number of connections accepted so far.
    """

    reactor: object
    handler: Handler
    on_error: Callable[[str], None]
    limits: ServerLimits = Factory(ServerLimits)
    closing: bool = False
    connections: ConnectionTable = Factory(ConnectionTable)
    accepted: int = 0
    noisy = False

    def buildProtocol(self, addr) -> ServerConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        self.accepted += 1
        return ServerConnection(self)

    @property
    def busy(self) -> bool:
        """Whether any connection is busy."""
        return any(conn.busy for conn in self.connections)

    def close_idle(self) -> None:
        """Close all connections that are not busy."""
        for conn in self.connections:
            conn.close_idle()

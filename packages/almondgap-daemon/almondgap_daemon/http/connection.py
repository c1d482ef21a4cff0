"""A client connection to a server, with one request in flight at a time.

Decides after each response whether the connection can be reused: only when the
response was complete and named its request, nothing followed it and the request was
sent whole. A server may send a second copy of a response late, where the next one is
due.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

import h11
from attrs import Factory, define, frozen
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol

from almondgap_daemon.http.buffers import BufferLedger
from almondgap_daemon.http.response import (
    IncompleteResponse,
    InvalidResponse,
    RawHeaders,
    Response,
    find_header,
)

#: TCP_USER_TIMEOUT in milliseconds: sent bytes that are not acknowledged for this long
#: break the connection. Hosts must detect an unresponsive peer within 3 s.
USER_TIMEOUT_MS = 2_500

#: TCP keep-alive: idle time before the first probe and interval of probes, in seconds,
#: and the number of unanswered probes that break the connection where the kernel does
#: not go by TCP_USER_TIMEOUT.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

#: Limit of a response body, in bytes.
MAX_BODY_BYTES = 16 * 1024 * 1024

#: Limit of interim responses (1xx) before the final one.
MAX_INTERIM_RESPONSES = 8

#: A connection is not reused after a request with a larger body, in bytes: a response
#: that arrives early may leave part of the body unsent.
MAX_REUSABLE_BODY_BYTES = 16 * 1024

#: Number of late responses to earlier requests that are skipped before the connection
#: is closed.
MAX_STALE_RESPONSES = 2


@frozen
class Request:
    """A request to send.

    :ivar matches: returns whether a response with the given headers belongs to this
        request, or None if the response does not say; if it is None itself, any
        response belongs to it.
    """

    method: bytes
    target: bytes
    headers: RawHeaders
    body: bytes = b""
    matches: Callable[[RawHeaders], bool | None] | None = None


@define(eq=False)
class ClientConnection(Protocol):
    """A connection that sends requests and buffers each response completely.

    :ivar ledger: bytes that all connections of the host have buffered.
    :ivar used: whether a request was sent on it before.
    :ivar on_idle_close: called when the connection closes while idle in a pool.
    :ivar idle_since: time at which it became idle, on the reactor's clock, in seconds.
    :ivar idle_timeout: the server's keep-alive time-out in seconds, None if unknown.
    :ivar reusable: whether another request can be sent on it.
    """

    ledger: BufferLedger = Factory(BufferLedger)
    on_idle_close: Callable[[ClientConnection], None] | None = None
    idle_since: float = 0.0
    idle_timeout: float | None = None
    reusable: bool = False
    open: bool = False
    used: bool = False
    _request: Request | None = None
    _pending: Deferred | None = None
    _http: h11.Connection | None = None
    _head: h11.Response | None = None
    _body: list[bytes] | None = None
    _size: int = 0
    _stale_responses: int = 0
    _interim_responses: int = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Set the TCP time-outs of the connection."""
        self.open = True
        set_socket_timeouts(self.transport)

    def send(self, request: Request) -> Deferred[Response]:
        """Send a request and return its response.

        The Deferred fails with :class:`IncompleteResponse` or
        :class:`InvalidResponse`.
        """
        self.reusable = False
        self._request = request
        self._stale_responses = 0
        self._pending = Deferred()
        pending = self._pending
        try:
            data = self._start_exchange()
        except h11.LocalProtocolError as exc:
            self._fail(InvalidResponse(f"request cannot be sent: {exc}"))
        else:
            self.transport.write(data)
        return pending

    def abort(self) -> None:
        """Abort the connection; the Deferred of a pending request never fires."""
        self._pending = None
        self.open = False
        self._drop_buffer()
        if self.transport is not None:
            self.transport.abortConnection()

    def overflow(self) -> None:
        """Give up the response in progress, since too many bytes are buffered."""
        if self._pending is not None:
            self._fail(InvalidResponse("too many bytes of responses are buffered"))

    def close(self) -> None:
        """Close an idle connection."""
        self.open = False
        self.reusable = False
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process received data; data without a pending request aborts."""
        if self._pending is None:
            self._abort_idle()
            return
        self._http.receive_data(data)
        self._read_events()

    def connectionLost(self, reason) -> None:  # noqa: N802
        """Fail the pending request, unless closing completes its response."""
        self.open = False
        if self._pending is None:
            self._notify_idle_close()
            return
        if reason.check(ConnectionDone) and self._head is not None:
            self._http.receive_data(b"")
            self._read_events()
        if self._pending is not None:
            self._fail(IncompleteResponse(reason.getErrorMessage()))

    def _start_exchange(self) -> bytes:
        """Reset the parser for a new exchange and return the request's bytes."""
        request = self._request
        self._http = h11.Connection(h11.CLIENT)
        self._head = None
        self._drop_buffer()
        self._interim_responses = 0
        head = h11.Request(
            method=request.method, target=request.target, headers=request.headers
        )
        data = self._http.send(head)
        if request.body:
            data += self._http.send(h11.Data(data=request.body))
        return data + self._http.send(h11.EndOfMessage())

    def _read_events(self) -> None:
        try:
            while self._pending is not None:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as exc:
            self._fail(InvalidResponse(f"malformed HTTP response: {exc}"))

    def _handle_event(self, event) -> None:
        if isinstance(event, h11.Response):
            self._head = event
        elif isinstance(event, h11.InformationalResponse):
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                self._fail(InvalidResponse("too many interim responses"))
        elif isinstance(event, h11.Data):
            self._body.append(bytes(event.data))
            self._size += len(event.data)
            if self._size > MAX_BODY_BYTES:
                self._fail(InvalidResponse("response body is too long"))
            else:
                self.ledger.add(self, len(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._finish_response()
        elif isinstance(event, h11.ConnectionClosed):
            self._fail(IncompleteResponse("connection closed before the response"))

    def _finish_response(self) -> None:
        headers = self._head.headers.raw_items()
        matches = self._request.matches
        is_own = True if matches is None else matches(headers)
        # On a new connection, nothing but the response to its first request can come.
        if is_own is False or (is_own is None and self.used):
            self._skip_stale_response()
            return
        response = Response(
            self._head.status_code, self._head.reason, headers, b"".join(self._body)
        )
        extra, closed = self._http.trailing_data
        is_short = len(self._request.body) <= MAX_REUSABLE_BODY_BYTES
        both_done = (
            self._http.their_state is h11.DONE and self._http.our_state is h11.DONE
        )
        self.reusable = (
            self.open
            and both_done
            and is_short
            and is_own is True
            and not extra
            and not closed
        )
        self.used = True
        self._drop_buffer()
        self.idle_timeout = parse_keep_alive(headers)
        pending, self._pending = self._pending, None
        if not self.reusable:
            self.close()
        pending.callback(response)

    def _skip_stale_response(self) -> None:
        """Skip a late response to an earlier request and read the next one."""
        self._stale_responses += 1
        remaining, closed = self._http.trailing_data
        is_framed = self._http.their_state is h11.DONE
        if self._stale_responses > MAX_STALE_RESPONSES or closed or not is_framed:
            self._fail(InvalidResponse("response belongs to another request"))
            return
        self._start_exchange()
        if remaining:
            self._http.receive_data(remaining)

    def _fail(self, exc: Exception) -> None:
        pending, self._pending = self._pending, None
        self.reusable = False
        self._drop_buffer()
        if self.open:
            self.open = False
            self.transport.abortConnection()
        pending.errback(exc)

    def _drop_buffer(self) -> None:
        self._body = []
        self._size = 0
        self.ledger.release(self)

    def _abort_idle(self) -> None:
        self.reusable = False
        self.open = False
        self.transport.abortConnection()
        self._notify_idle_close()

    def _notify_idle_close(self) -> None:
        self.reusable = False
        if self.on_idle_close is not None:
            self.on_idle_close(self)


def set_socket_timeouts(transport) -> None:
    """Make the kernel break a connection whose peer no longer responds."""
    transport.setTcpNoDelay(True)
    handle = transport.getHandle()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def parse_keep_alive(headers: RawHeaders) -> float | None:
    """Return the time-out of a ``Keep-Alive`` header in seconds, None without one."""
    value = find_header(headers, b"keep-alive")
    for part in (value or b"").split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None

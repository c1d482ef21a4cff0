"""Sends requests and health checks to targets and reports the outcome as events."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from attrs import define, field
from twisted.internet.defer import CancelledError, Deferred, inlineCallbacks

from almondgap_core.gateway.effects import CheckConnection, Probe, Relay, Send
from almondgap_core.gateway.events import (
    AttemptFailed,
    ConnectionChecked,
    Failure,
    GatewayEvent,
    ProbeEnded,
    RelayAnswered,
    TargetAnswered,
)
from almondgap_core.verdict import Verdict
from almondgap_daemon.http.connection import ClientConnection, Request
from almondgap_daemon.http.pool import MAX_IDLE_S, ConnectionPool
from almondgap_daemon.http.response import (
    ConnectionRefused,
    InvalidResponse,
    NoSocket,
    NotConnected,
    RawHeaders,
    Response,
    find_header,
)
from almondgap_daemon.http.server import Exchange
from almondgap_daemon.platform import headers as names

#: Idle time up to which a pooled connection is used for a request that may run only
#: once, in seconds. Targets close idle connections, and such a request cannot be
#: retried when it was sent on a connection that is being closed.
MAX_IDLE_NON_IDEMPOTENT_S = 1.0

#: Idle time up to which a connection to another host is used, in seconds, and maximum
#: number of idle connections to it.
MAX_RELAY_IDLE_S = 1.0
MAX_IDLE_RELAYS = 8

#: Time-out of a health check, in seconds.
PROBE_TIMEOUT_S = 1.0

#: Status with which a healthy target answers a health check.
HEALTHY_STATUS = 200


@define(eq=False)
class Attempt:
    """One attempt to run a request at a target, or to hand it over to a host.

    :ivar conn: connection that the request was sent on, None before.
    :ivar connecting: pending acquisition of the connection.
    :ivar cancelled: whether the outcome is no longer of interest.
    """

    send: Send | Relay
    conn: ClientConnection | None = None
    connecting: Deferred | None = None
    cancelled: bool = False

    def cancel(self) -> None:
        """Close the connection, so that the target stops working on the request."""
        self.cancelled = True
        if self.conn is not None:
            self.conn.abort()
        elif self.connecting is not None:
            self.connecting.cancel()


@define
class TargetClient:
    """Performs attempts and health checks.

    :ivar feed: called with the resulting events.
    """

    reactor: object
    feed: Callable[[GatewayEvent], None]
    now: Callable[[], int]
    pool: ConnectionPool = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.pool = ConnectionPool(self.reactor)

    @inlineCallbacks
    def send(self, attempt: Attempt, exchange: Exchange, on_response: Callable):
        """Send an attempt and feed its outcome as an event.

        :param on_response: called with the response before the event is fed.
        """
        send = attempt.send
        max_idle_s = MAX_IDLE_NON_IDEMPOTENT_S if send.fresh else MAX_IDLE_S
        request = _build_request(send, exchange)
        response = yield self._exchange(
            attempt, request, send.target, max_idle_s, send.max_idle
        )
        if response is not None:
            on_response(response)
            self.feed(_build_answer_event(self.now(), send, response))

    @inlineCallbacks
    def relay(self, attempt: Attempt, exchange: Exchange, on_response: Callable):
        """Hand a request over to another host and feed its answer as an event.

        :param on_response: called with the response before the event is fed.
        """
        relay = attempt.send
        headers = names.make_relay_headers(
            exchange.headers,
            relay.prior_attempts,
            relay.version,
            relay.time_left,
            len(exchange.body),
        )
        request = Request(
            exchange.method,
            exchange.target,
            headers,
            exchange.body,
            lambda received: _find_echo(exchange, received) is not False,
        )
        server = f"host {relay.host}"
        # A host that stops closes its idle connections.
        max_idle_s = 0.0 if relay.fresh else MAX_RELAY_IDLE_S
        response = yield self._exchange(
            attempt, request, server, max_idle_s, MAX_IDLE_RELAYS
        )
        if response is not None:
            on_response(response)
            sealed = response.get(names.SEAL) is not None
            reason = names.parse_reason(response.headers)
            leaving = names.parse_leaving_target(response.headers)
            fields = (relay.call, relay.attempt, response.status, sealed)
            self.feed(RelayAnswered(self.now(), *fields, reason, leaving))

    @inlineCallbacks
    def _exchange(
        self,
        attempt: Attempt,
        request: Request,
        server: str,
        max_idle_s: float,
        max_idle: int,
    ):
        """Return the response to a request, or None after feeding its failure.

        :param max_idle_s: limit of the idle time of a reused connection, in seconds.
        :param max_idle: limit of idle connections to the server.
        """
        send = attempt.send
        try:
            attempt.connecting = self.pool.acquire(server, send.address, max_idle_s)
            conn = yield attempt.connecting
        except NoSocket:
            self._report_failure(send, Failure.NO_SOCKET, Verdict.NOT_RUN)
            return None
        except (NotConnected, CancelledError):
            if not attempt.cancelled:
                self._report_failure(send, Failure.NOT_CONNECTED, Verdict.NOT_RUN)
            return None
        if attempt.cancelled:
            self.pool.release(server, conn, 0)
            return None
        attempt.conn = conn
        try:
            response: Response = yield conn.send(request)
        except InvalidResponse:
            self._report_failure(send, Failure.MALFORMED, Verdict.MAY_HAVE_RUN)
            return None
        except Exception:
            self._report_failure(send, Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
            return None
        self.pool.release(server, conn, max_idle)
        return response

    @inlineCallbacks
    def probe(self, probe: Probe):
        """Send a health check to a target and feed the result as an event."""
        conn = None
        try:
            conn = yield self.pool.acquire(probe.target, probe.address, 0.0)
            host = (b"Host", probe.address.encode())
            request = Request(b"GET", probe.path.encode(), [host])
            pending = conn.send(request)
            pending.addTimeout(PROBE_TIMEOUT_S, self.reactor)
            response: Response = yield pending
        except Exception:
            if conn is not None:
                conn.abort()
            self.feed(ProbeEnded(self.now(), probe.target, healthy=False))
            return
        self.pool.release(probe.target, conn, 1)
        is_target = response.get(names.TARGET) == probe.target.encode()
        healthy = is_target and response.status == HEALTHY_STATUS
        warm_up_left = names.parse_warm_up_left(response.headers)
        rate = names.parse_rate_limit(response.headers) if is_target else None
        # A health check without the header does not say that a limit has ended.
        limit = None if rate == inf else rate
        leaving = is_target and names.parse_leaving(response.headers)
        retry_after = names.parse_retry_after(response.status, response.headers)
        fields = (healthy, warm_up_left, limit, leaving)
        self.feed(
            ProbeEnded(
                self.now(), probe.target, *fields, retry_after if is_target else None
            )
        )

    @inlineCallbacks
    def check_connection(self, check: CheckConnection):
        """Connect to a target, close the connection and feed the result as an event."""
        accepted, performed = None, True
        try:
            conn = yield self.pool.connect(check.address)
        except NoSocket:
            performed = False
        except ConnectionRefused:
            accepted = False
        except NotConnected:
            pass
        else:
            accepted = True
            conn.close()
        self.feed(ConnectionChecked(self.now(), check.target, accepted, performed))

    def _report_failure(
        self, send: Send | Relay, failure: Failure, verdict: Verdict
    ) -> None:
        self.feed(AttemptFailed(self.now(), send.call, send.attempt, failure, verdict))


def _build_request(send: Send, exchange: Exchange) -> Request:
    return Request(
        exchange.method,
        exchange.target,
        names.make_request_headers(
            exchange.headers,
            send.target,
            send.account,
            send.time_left,
            len(exchange.body),
        ),
        exchange.body,
        lambda received: _find_echo(exchange, received),
    )


def _find_echo(exchange: Exchange, received: RawHeaders) -> bool | None:
    """Return whether an answer names this request, None if it names none."""
    echoed = find_header(received, names.REQUEST_ID)
    if echoed is None:
        return None
    return echoed == find_header(exchange.headers, names.REQUEST_ID)


def _build_answer_event(now: int, send: Send, response: Response) -> TargetAnswered:
    headers, status = response.headers, response.status
    misdirected = status == names.MISDIRECTED_STATUS
    return TargetAnswered(
        now,
        send.call,
        send.attempt,
        status,
        not_executed=response.get(names.NOT_EXECUTED) is not None,
        misdirected=misdirected,
        sealed=response.get(names.SEAL) is not None,
        load=names.parse_load(headers),
        rate_limit=None if misdirected else names.parse_rate_limit(headers),
        leaving=not misdirected and names.parse_leaving(headers),
        retry_after=names.parse_retry_after(status, headers),
    )

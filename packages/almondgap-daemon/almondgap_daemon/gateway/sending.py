"""Sending requests to targets, and reading what comes back."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field
from twisted.internet.defer import CancelledError, Deferred, inlineCallbacks

from almondgap_core.gateway.effects import Probe, Send
from almondgap_core.gateway.events import (
    AttemptFailed,
    Failure,
    GatewayEvent,
    ProbeEnded,
    TargetAnswered,
)
from almondgap_core.verdict import Verdict
from almondgap_daemon.http.answer import (
    Answer,
    Garbled,
    NotConnected,
    RawHeaders,
    find_header,
)
from almondgap_daemon.http.connection import ClientConnection, Request
from almondgap_daemon.http.pool import IDLE_S, ConnectionPool
from almondgap_daemon.http.server import Exchange
from almondgap_daemon.platform import headers as names

#: Longest time that a connection may have been idle before a request that runs at most
#: once is sent on it, in seconds: targets forget idle connections, and such a request
#: could not be sent again.
FRESH_S = 1.0

#: Longest wait for the answer to a health check, in seconds.
PROBE_TIMEOUT_S = 1.0

#: Status of a target that is well.
HEALTHY_STATUS = 200


@define(eq=False)
class Attempt:
    """One attempt at a request.

    :ivar conn: its connection, None before there is one.
    :ivar cancelled: whether it is over whatever comes.
    """

    send: Send
    conn: ClientConnection | None = None
    connecting: Deferred | None = None
    cancelled: bool = False

    def cancel(self) -> None:
        """Break it off, so that the target stops working."""
        self.cancelled = True
        if self.conn is not None:
            self.conn.abort()
        elif self.connecting is not None:
            self.connecting.cancel()


@define
class TargetSender:
    """Performs attempts and probes.

    :ivar feed: takes the events that follow.
    """

    reactor: object
    feed: Callable[[GatewayEvent], None]
    now: Callable[[], int]
    pool: ConnectionPool = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.pool = ConnectionPool(self.reactor)

    @inlineCallbacks
    def send(self, attempt: Attempt, exchange: Exchange, keep: Callable):
        """Send an attempt; its outcome becomes an event.

        :param keep: takes the answer before the event is fed.
        """
        send = attempt.send
        most_idle = FRESH_S if send.fresh else IDLE_S
        try:
            attempt.connecting = self.pool.acquire(send.target, send.address, most_idle)
            conn = yield attempt.connecting
        except (NotConnected, CancelledError):
            if not attempt.cancelled:
                self._fail(send, Failure.NOT_CONNECTED, Verdict.NOT_RUN)
            return
        if attempt.cancelled:
            self.pool.release(send.target, conn, 0)
            return
        attempt.conn = conn
        request = _make_request(send, exchange)
        try:
            answer: Answer = yield conn.send(request)
        except Garbled:
            self._fail(send, Failure.MALFORMED, Verdict.MAY_HAVE_RUN)
            return
        except Exception:
            self._fail(send, Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
            return
        self.pool.release(send.target, conn, send.max_idle)
        keep(answer)
        self.feed(_make_answered(self.now(), send, answer))

    @inlineCallbacks
    def probe(self, probe: Probe):
        """Ask a target whether it is well; the answer becomes an event."""
        conn = None
        try:
            conn = yield self.pool.acquire(probe.target, probe.address, 0.0)
            host = (b"Host", probe.address.encode())
            request = Request(b"GET", probe.path.encode(), [host])
            waiting = conn.send(request)
            waiting.addTimeout(PROBE_TIMEOUT_S, self.reactor)
            answer: Answer = yield waiting
        except Exception:
            if conn is not None:
                conn.abort()
            self.feed(ProbeEnded(self.now(), probe.target, healthy=False))
            return
        self.pool.release(probe.target, conn, 1)
        itself = answer.get(names.TARGET) == probe.target.encode()
        healthy = itself and answer.status == HEALTHY_STATUS
        cold_left = names.read_cold_left(answer.headers)
        self.feed(ProbeEnded(self.now(), probe.target, healthy, cold_left))

    def _fail(self, send: Send, failure: Failure, verdict: Verdict) -> None:
        self.feed(AttemptFailed(self.now(), send.call, send.attempt, failure, verdict))


def _make_request(send: Send, exchange: Exchange) -> Request:
    request_id = find_header(exchange.headers, names.REQUEST_ID)

    def belongs(answered: RawHeaders) -> bool:
        echoed = find_header(answered, names.REQUEST_ID)
        return echoed is None or echoed == request_id

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
        belongs,
    )


def _make_answered(now: int, send: Send, answer: Answer) -> TargetAnswered:
    misdirected = answer.status == names.MISDIRECTED_STATUS
    return TargetAnswered(
        now,
        send.call,
        send.attempt,
        answer.status,
        not_executed=answer.get(names.NOT_EXECUTED) is not None,
        misdirected=misdirected,
        sealed=answer.get(names.SEAL) is not None,
        load=names.read_load(answer.headers),
    )

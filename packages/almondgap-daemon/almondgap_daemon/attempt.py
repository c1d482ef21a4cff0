"""One attempt to run a request at a target over HTTP."""

from __future__ import annotations

import io

from twisted.internet import protocol
from twisted.internet.defer import CancelledError, maybeDeferred
from twisted.internet.error import ConnectError
from twisted.web.client import FileBodyProducer, ResponseDone
from twisted.web.http_headers import Headers

from almondgap_core.effects import Dispatch
from almondgap_core.events import AttemptOutcome
from almondgap_core.operations.holder import MAX_ANSWER_BYTES
from almondgap_core.operations.record import KeptAnswer
from almondgap_core.units import MICROS_PER_MILLI, MICROS_PER_SECOND
from almondgap_daemon.headers import (
    ACCOUNT_HEADER,
    DEADLINE_HEADER,
    REQUEST_HEADER,
    filter_request_headers,
    read_operation_key,
)
from almondgap_daemon.target_pool import TargetPool


class Attempt:
    """Sends a request to a target and relays the response to the caller.

    :ivar response: the target's response, None until its headers arrived.
    :ivar relaying: whether the response is being relayed to the caller.
    :ivar ended: whether the outcome was reported or the attempt cancelled.
    :ivar timed_out: whether the deadline of the attempt passed.
    """

    def __init__(self, exchange, effect: Dispatch) -> None:
        self.exchange = exchange
        self.effect = effect
        self.response = None
        self.relaying = False
        self.ended = False
        self.timed_out = False
        self._pool: TargetPool | None = None
        self._recorded: bytearray | None = None
        self._pending = None
        self._body: ResponseBody | None = None
        self._timer = None

    def start(self, pool: TargetPool) -> None:
        """Send the request."""
        self._pool = pool
        runtime = self.exchange.runtime
        remaining = max(self.effect.deadline - runtime.now(), 0)
        self._timer = runtime.reactor.callLater(
            remaining / MICROS_PER_SECOND, self._on_timeout
        )
        request = self.exchange.request
        target = self.effect.target
        url = f"http://{target.address}:{target.port}".encode() + self.exchange.path
        self._pending = maybeDeferred(
            pool.choose_agent(target.address, target.port).request,
            request.method,
            url,
            self._make_headers(request, remaining),
            _make_body(request),
        )
        self._pending.addCallbacks(self._on_response, self._on_failure)

    def relay(self, request) -> None:
        """Relay the body of the response to the caller."""
        self.relaying = True
        if read_operation_key(request.requestHeaders):
            self._recorded = bytearray()
        self._body = ResponseBody(self, request)
        self.response.deliverBody(self._body)

    @property
    def recorded(self) -> KeptAnswer | None:
        """The complete answer, if it belongs to an operation and is short enough."""
        if self._recorded is None or self.response is None:
            return None
        names = self.response.headers.getRawHeaders("content-type", [""])
        return KeptAnswer(self.response.code, names[0], bytes(self._recorded))

    def record(self, data: bytes) -> None:
        """Record a part of the answer for replay, unless it becomes too long."""
        if self._recorded is None:
            return
        self._recorded += data
        if len(self._recorded) > MAX_ANSWER_BYTES:
            self._recorded = None

    def cancel(self) -> None:
        """Cancel the attempt and close the connection, so that the target stops."""
        if self.ended:
            return
        self._mark_ended()
        self._abort()

    def end(self, outcome: AttemptOutcome) -> None:
        """Report the outcome, unless the attempt has ended."""
        if self.ended:
            return
        self._mark_ended()
        self.exchange.attempt_ended(self, outcome)

    def _make_headers(self, request, remaining: int) -> Headers:
        headers = filter_request_headers(request.requestHeaders)
        headers.setRawHeaders(REQUEST_HEADER, [self.exchange.req_id])
        headers.setRawHeaders(DEADLINE_HEADER, [str(remaining // MICROS_PER_MILLI)])
        headers.setRawHeaders(ACCOUNT_HEADER, [self.effect.account])
        return headers

    def _on_response(self, response) -> None:
        if self.ended:
            return
        self.response = response
        target = self.effect.target
        names = response.headers.getRawHeaders(REQUEST_HEADER, [])
        is_own = names == [self.exchange.req_id]
        self._pool.record_answer(target.address, target.port, is_own)
        if names and not is_own:
            # It answers an earlier request; this one may be running.
            self.end(AttemptOutcome.BROKEN)
            self._abort()
            return
        self.exchange.answer_started(self, response.code)

    def _on_failure(self, failure) -> None:
        if failure.check(ConnectError, ValueError):
            self.end(AttemptOutcome.NOT_SENT)
        elif failure.check(CancelledError) and not self.timed_out:
            self.end(AttemptOutcome.CANCELLED)
        else:
            self.end(AttemptOutcome.BROKEN)

    def _on_timeout(self) -> None:
        self._timer = None
        self.timed_out = True
        self.end(AttemptOutcome.TIMED_OUT)
        self._abort()

    def _mark_ended(self) -> None:
        self.ended = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _abort(self) -> None:
        if self._body is not None and self._body.transport is not None:
            self._body.transport.loseConnection()
        elif self.response is not None:
            self.response.deliverBody(_DiscardBody())
        else:
            self._pending.cancel()


def _make_body(request) -> FileBodyProducer | None:
    data = request.content.getvalue()
    return FileBodyProducer(io.BytesIO(data)) if data else None


class ResponseBody(protocol.Protocol):
    """Relays a response body, with back-pressure from the caller."""

    def __init__(self, attempt: Attempt, request) -> None:
        self.attempt = attempt
        self.request = request

    def connectionMade(self) -> None:
        """Let the caller's connection pause reading from the target."""
        if not self.request._disconnected:
            self.request.registerProducer(self.transport, True)

    def dataReceived(self, data: bytes) -> None:
        """Relay a part of the body."""
        if not self.attempt.ended:
            self.attempt.record(data)
            self.request.write(data)

    def connectionLost(self, reason) -> None:
        """Report whether the body was complete."""
        if not self.request._disconnected:
            self.request.unregisterProducer()
        complete = reason.check(ResponseDone)
        self.attempt.end(AttemptOutcome.COMPLETE if complete else AttemptOutcome.BROKEN)


class _DiscardBody(protocol.Protocol):
    """Closes the connection of a response that is no longer needed."""

    def connectionMade(self) -> None:
        self.transport.loseConnection()

"""One attempt at a target over HTTP."""

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
    copy_request_headers,
    read_operation,
)


class Attempt:
    """Sends a request to a target and passes its answer on.

    :ivar response: head of the target's answer, once it is there.
    :ivar relaying: whether the answer is being passed on to the caller.
    """

    def __init__(self, exchange, effect: Dispatch) -> None:
        self.exchange = exchange
        self.effect = effect
        self.response = None
        self.relaying = False
        self.over = False
        self.timed_out = False
        self._kept: bytearray | None = None
        self._sending = None
        self._body: AnswerBody | None = None
        self._timer = None

    def start(self, http) -> None:
        """Send the request."""
        node = self.exchange.node
        left = max(self.effect.deadline - node.now(), 0)
        self._timer = node.reactor.callLater(left / MICROS_PER_SECOND, self._time_out)
        request = self.exchange.request
        target = self.effect.target
        url = f"http://{target.address}:{target.port}".encode() + self.exchange.path
        self._sending = maybeDeferred(
            http.request,
            request.method,
            url,
            self._make_headers(request, left),
            _make_body(request),
        )
        self._sending.addCallbacks(self._started, self._failed)

    def relay(self, request) -> None:
        """Pass the answer's body on to the caller."""
        self.relaying = True
        if read_operation(request.requestHeaders):
            self._kept = bytearray()
        self._body = AnswerBody(self, request)
        self.response.deliverBody(self._body)

    @property
    def kept(self) -> KeptAnswer | None:
        """The whole answer, if it belongs to an operation and is short."""
        if self._kept is None or self.response is None:
            return None
        names = self.response.headers.getRawHeaders("content-type", [""])
        return KeptAnswer(self.response.code, names[0], bytes(self._kept))

    def keep(self, data: bytes) -> None:
        """Keep a part of the answer, unless it grows too long."""
        if self._kept is None:
            return
        self._kept += data
        if len(self._kept) > MAX_ANSWER_BYTES:
            self._kept = None

    def cancel(self) -> None:
        """Give up, and close the connection so that the target learns of it."""
        if self.over:
            return
        self._settle()
        self._abort()

    def end(self, outcome: AttemptOutcome) -> None:
        """Report the end, once."""
        if self.over:
            return
        self._settle()
        self.exchange.attempt_ended(self, outcome)

    def _make_headers(self, request, left: int) -> Headers:
        headers = copy_request_headers(request.requestHeaders)
        headers.setRawHeaders(REQUEST_HEADER, [self.exchange.req_id])
        headers.setRawHeaders(DEADLINE_HEADER, [str(left // MICROS_PER_MILLI)])
        headers.setRawHeaders(ACCOUNT_HEADER, [self.effect.account])
        return headers

    def _started(self, response) -> None:
        if self.over:
            return
        self.response = response
        self.exchange.answer_started(self, response.code)

    def _failed(self, failure) -> None:
        if failure.check(ConnectError, ValueError):
            self.end(AttemptOutcome.NOT_SENT)
        elif failure.check(CancelledError) and not self.timed_out:
            self.end(AttemptOutcome.CANCELLED)
        else:
            self.end(AttemptOutcome.BROKEN)

    def _time_out(self) -> None:
        self._timer = None
        self.timed_out = True
        self.end(AttemptOutcome.TIMED_OUT)
        self._abort()

    def _settle(self) -> None:
        self.over = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _abort(self) -> None:
        if self._body is not None and self._body.transport is not None:
            self._body.transport.loseConnection()
        elif self.response is not None:
            self.response.deliverBody(_Discard())
        else:
            self._sending.cancel()


def _make_body(request) -> FileBodyProducer | None:
    data = request.content.getvalue()
    return FileBodyProducer(io.BytesIO(data)) if data else None


class AnswerBody(protocol.Protocol):
    """Passes a body on at the pace of the caller."""

    def __init__(self, attempt: Attempt, request) -> None:
        self.attempt = attempt
        self.request = request

    def connectionMade(self) -> None:
        """Let the caller's connection pause the target's."""
        if not self.request._disconnected:
            self.request.registerProducer(self.transport, True)

    def dataReceived(self, data: bytes) -> None:
        """Pass a part on."""
        if not self.attempt.over:
            self.attempt.keep(data)
            self.request.write(data)

    def connectionLost(self, reason) -> None:
        """Report whether the body came whole."""
        if not self.request._disconnected:
            self.request.unregisterProducer()
        whole = reason.check(ResponseDone)
        self.attempt.end(AttemptOutcome.COMPLETE if whole else AttemptOutcome.BROKEN)


class _Discard(protocol.Protocol):
    """Closes the connection of an answer that nobody wants."""

    def connectionMade(self) -> None:
        self.transport.loseConnection()

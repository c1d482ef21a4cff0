"""One exchange: a caller's request, its attempts at targets and its answer."""

from __future__ import annotations

from twisted.internet.defer import Deferred
from twisted.web.http import NO_BODY_CODES
from twisted.web.iweb import UNKNOWN_LENGTH

from almondgap_core import effects
from almondgap_core.events import (
    AnswerStarted,
    AttemptEnded,
    AttemptOutcome,
    CallerGone,
    RequestArrived,
)
from almondgap_core.operations.record import KeptAnswer
from almondgap_core.verdict import Refusal, Verdict
from almondgap_daemon.attempt import Attempt
from almondgap_daemon.headers import filter_answer_headers
from almondgap_daemon.requests import set_answer_headers, write_refusal


class Exchange:
    """Performs the effects of one request and feeds the resulting events.

    :ivar path: path and query that are sent to the target.
    :ivar attempt: latest attempt.
    :ivar done: fires once the answer is written or the caller disconnected.
    """

    def __init__(self, runtime, pool, request, req_id: str, path: bytes) -> None:
        self.runtime = runtime
        self.pool = pool
        self.request = request
        self.req_id = req_id
        self.path = path
        self.attempt: Attempt | None = None
        self.done: Deferred[bytes] = Deferred()

    def start(self, arrival: RequestArrived) -> Deferred:
        """Feed the request's arrival to the reducer."""
        self.runtime.requests[self.req_id] = self
        self.request.notifyFinish().addErrback(self._on_caller_gone)
        self.runtime.feed(arrival)
        return self.done

    def perform(self, effect: effects.Effect) -> None:
        """Perform one effect of this request."""
        match effect:
            case effects.Dispatch():
                self._dispatch(effect)
            case effects.Relay():
                self._relay(effect)
            case effects.CancelAttempt():
                self._cancel(effect.attempt)
            case effects.Refuse():
                self._refuse(effect.refusal)
            case effects.Replay():
                self._replay(effect.answer)
            case effects.CutAnswer():
                self.request.transport.abortConnection()
                self._close()

    def answer_started(self, attempt: Attempt, status: int) -> None:
        """Report the headers of a target's response."""
        number = attempt.effect.attempt
        self.runtime.feed(
            AnswerStarted(self.runtime.now(), self.req_id, number, status)
        )

    def attempt_ended(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Report the outcome of an attempt."""
        number = attempt.effect.attempt
        was_relayed = attempt is self.attempt and attempt.relaying
        answer = attempt.recorded if outcome is AttemptOutcome.COMPLETE else None
        now = self.runtime.now()
        self.runtime.feed(AttemptEnded(now, self.req_id, number, outcome, answer))
        if was_relayed and outcome is AttemptOutcome.COMPLETE:
            self._close()

    def _dispatch(self, effect: effects.Dispatch) -> None:
        self.attempt = Attempt(self, effect)
        self.attempt.start(self.pool)

    def _relay(self, effect: effects.Relay) -> None:
        response = self.attempt.response
        self.request.setResponseCode(response.code)
        headers = filter_answer_headers(response.headers)
        for name, values in headers.getAllRawHeaders():
            self.request.responseHeaders.setRawHeaders(name, values)
        if _needs_length(self.request, response):
            length = [str(response.length)]
            self.request.responseHeaders.setRawHeaders("Content-Length", length)
        set_answer_headers(self.request, effect.verdict, self.req_id)
        self.attempt.relay(self.request)

    def _cancel(self, number: int) -> None:
        if self.attempt is not None and self.attempt.effect.attempt == number:
            self.attempt.cancel()

    def _refuse(self, refusal: Refusal) -> None:
        write_refusal(self.request, refusal, self.req_id)
        self._close()

    def _replay(self, answer: KeptAnswer) -> None:
        self.request.setResponseCode(answer.status)
        set_answer_headers(self.request, Verdict.RAN, self.req_id)
        headers = self.request.responseHeaders
        if answer.content_type:
            headers.setRawHeaders("Content-Type", [answer.content_type])
        headers.setRawHeaders("Content-Length", [str(len(answer.body))])
        self.request.write(answer.body)
        self._close()

    def _on_caller_gone(self, _failure) -> None:
        if self.runtime.requests.get(self.req_id) is self:
            self.runtime.feed(CallerGone(self.runtime.now(), self.req_id))
            self._close()

    def _close(self) -> None:
        self.runtime.requests.pop(self.req_id, None)
        if not self.done.called:
            self.done.callback(b"")


def _needs_length(request, response) -> bool:
    bodiless = request.method == b"HEAD" or response.code in NO_BODY_CODES
    return not bodiless and response.length is not UNKNOWN_LENGTH

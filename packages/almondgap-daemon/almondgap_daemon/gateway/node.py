"""The loop of a gateway: feeds the reducer and performs its effects."""

from __future__ import annotations

import json
from collections.abc import Callable
from http import HTTPStatus

from attrs import define, field

from almondgap_core.gateway.effects import (
    Abandon,
    Cancel,
    CloseIdleConnections,
    Deliver,
    GatewayEffect,
    GrantTokens,
    Log,
    Probe,
    Refuse,
    RequestTokens,
    Send,
    SendHeartbeat,
    StartExpiryTimer,
    StartTokenTimer,
)
from almondgap_core.gateway.events import (
    CallArrived,
    CallerLeft,
    CallExpired,
    GatewayEvent,
    HeartbeatReceived,
    Ticked,
    TokensGranted,
    TokensRequested,
    TokensTimedOut,
)
from almondgap_core.gateway.heartbeats import Heartbeat
from almondgap_core.gateway.reducer import step
from almondgap_core.gateway.state import GatewayState
from almondgap_core.units import MICROS_PER_SECOND
from almondgap_core.verdict import Refusal
from almondgap_daemon.gateway.logs import ReportLog
from almondgap_daemon.gateway.messages import (
    Message,
    TokensAnswer,
    TokensQuestion,
)
from almondgap_daemon.gateway.metrics import GatewayMetrics
from almondgap_daemon.gateway.sending import Attempt, TargetSender
from almondgap_daemon.http.answer import Answer
from almondgap_daemon.http.server import Exchange
from almondgap_daemon.platform.headers import make_answer_headers, read_caller_headers

#: Time between two ticks, in seconds: a quarter of the time between beats.
TICK_S = 0.25

#: Ticks between two looks at idle connections and the log: a second.
SWEEP_TICKS = 4

#: Answers that have no body, and none is announced for them.
BODILESS = frozenset({204, 304})


@define(eq=False)
class OpenCall:
    """What the loop holds of a request while the reducer decides.

    :ivar answer: the newest answer of a target.
    """

    exchange: Exchange
    arrived: int
    answer: Answer | None = None
    attempt: Attempt | None = None
    timer: object = None


@define
class Node:
    """One gateway on a reactor."""

    reactor: object
    state: GatewayState
    log: ReportLog
    metrics: GatewayMetrics
    send_message: Callable
    sender: TargetSender = field(init=False)
    _open: dict[int, OpenCall] = field(factory=dict)
    _number: int = 0
    _ticks: int = 0
    _ended_at: float = 0.0
    _perform: dict[type[GatewayEffect], Callable] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.sender = TargetSender(self.reactor, self.feed, self.now)
        self._perform = {
            Send: self._send,
            Deliver: self._deliver,
            Refuse: self._refuse,
            Cancel: self._cancel,
            Abandon: self._abandon,
            StartExpiryTimer: self._expire,
            Probe: self.sender.probe,
            CloseIdleConnections: lambda effect: self.sender.pool.forget(effect.target),
            SendHeartbeat: lambda effect: self.send_message(
                effect.heartbeat, *effect.addresses
            ),
            RequestTokens: self._ask_tokens,
            GrantTokens: self._give_tokens,
            StartTokenTimer: self._await_tokens,
            Log: self._log,
        }

    @property
    def running(self) -> int:
        """Number of requests without an answer."""
        return len(self._open)

    @property
    def quiet_s(self) -> float:
        """Time since the last request ended, in seconds."""
        return self.reactor.seconds() - self._ended_at

    def now(self) -> int:
        """Return the time on the steady clock, in microseconds."""
        return round(self.reactor.seconds() * MICROS_PER_SECOND)

    def start(self) -> None:
        """Begin to tick."""
        self._tick()

    def feed(self, event: GatewayEvent) -> None:
        """Let the reducer handle an event, and perform what it wants done."""
        for effect in step(self.state, event):
            self._perform[type(effect)](effect)

    def arrived(self, exchange: Exchange) -> None:
        """Take a caller's request."""
        self._number += 1
        exchange.number = self._number
        now = self.now()
        self._open[self._number] = OpenCall(exchange, now)
        said = read_caller_headers(exchange.headers)
        target = exchange.target.decode("latin-1")
        self.feed(
            CallArrived(
                now,
                self._number,
                said.request_id,
                exchange.method.decode("latin-1"),
                said.host,
                target.partition("?")[0],
                said.key,
                said.thing,
                said.patience,
            )
        )

    def heard(self, message: Message) -> None:
        """Take a message of another host."""
        now = self.now()
        if isinstance(message, Heartbeat):
            self.feed(HeartbeatReceived(now, message))
        elif isinstance(message, TokensQuestion):
            said = (message.address, message.account, message.question)
            self.feed(TokensRequested(now, *said, message.tokens))
        else:
            said = (message.account, message.question, message.tokens)
            self.feed(TokensGranted(now, *said))

    def left(self, exchange: Exchange) -> None:
        """Take note that a caller left before its answer."""
        opened = self._open.get(exchange.number)
        if opened is not None:
            self.feed(CallerLeft(self.now(), exchange.number))
            self._close(opened)

    def _send(self, effect: Send) -> None:
        opened = self._open[effect.call]
        opened.attempt = Attempt(effect)

        def keep(answer: Answer) -> None:
            opened.answer = answer

        # Its outcome comes as an event; what fails in the loop itself is reported.
        done = self.sender.send(opened.attempt, opened.exchange, keep)
        done.addErrback(self._report_error)

    def _deliver(self, effect: Deliver) -> None:
        opened = self._open[effect.call]
        self._close(opened)
        answer = opened.answer
        exchange = opened.exchange
        bodiless = exchange.method == b"HEAD" or answer.status in BODILESS
        length = None if bodiless else len(answer.body)
        headers = make_answer_headers(answer.headers, length)
        exchange.answer(
            answer.status, answer.reason, headers, b"" if bodiless else answer.body
        )

    def _refuse(self, effect: Refuse) -> None:
        opened = self._open[effect.call]
        self._close(opened)
        body = _encode_refusal(effect.refusal)
        headers = [
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(body)).encode()),
        ]
        wait = effect.refusal.retry_after
        if wait is not None:
            headers.append((b"Retry-After", b"%.3f" % (wait / MICROS_PER_SECOND)))
        status = effect.refusal.status
        if opened.exchange.method == b"HEAD":
            body = b""
        reason = HTTPStatus(status).phrase.encode()
        opened.exchange.answer(status, reason, headers, body)

    def _cancel(self, effect: Cancel) -> None:
        self._open[effect.call].attempt.cancel()

    def _abandon(self, effect: Abandon) -> None:
        """Let the target finish; its answer is read and thrown away."""

    def _expire(self, effect: StartExpiryTimer) -> None:
        opened = self._open[effect.call]
        opened.timer = self.reactor.callLater(
            effect.delay / MICROS_PER_SECOND, self._end_time, effect.call
        )

    def _end_time(self, call: int) -> None:
        self.feed(CallExpired(self.now(), call))

    def _close(self, opened: OpenCall) -> None:
        self._open.pop(opened.exchange.number, None)
        self._ended_at = self.reactor.seconds()
        if opened.timer is not None and opened.timer.active():
            opened.timer.cancel()

    def _ask_tokens(self, effect: RequestTokens) -> None:
        here = self.state.location.peer_address
        question = TokensQuestion(
            here, effect.account, effect.correlation_id, effect.tokens
        )
        self.send_message(question, effect.address)

    def _give_tokens(self, effect: GrantTokens) -> None:
        answer = TokensAnswer(effect.account, effect.correlation_id, effect.tokens)
        self.send_message(answer, effect.address)

    def _await_tokens(self, effect: StartTokenTimer) -> None:
        delay = effect.delay / MICROS_PER_SECOND
        self.reactor.callLater(delay, self._end_wait, effect)

    def _end_wait(self, effect: StartTokenTimer) -> None:
        self.feed(TokensTimedOut(self.now(), effect.account, effect.correlation_id))

    def _log(self, effect: Log) -> None:
        self.log.write_report(effect.report)
        self.metrics.note_report(effect.report)

    def _tick(self) -> None:
        self.reactor.callLater(TICK_S, self._tick)
        self.feed(Ticked(self.now()))
        self._ticks += 1
        if self._ticks % SWEEP_TICKS == 0:
            self.sender.pool.sweep()
            self.log.tick()

    def _report_error(self, failure) -> None:
        self.log.write("internal error", cause=failure.getTraceback()[-800:])


def _encode_refusal(refusal: Refusal) -> bytes:
    return json.dumps(
        {
            "error": refusal.reason.value,
            "verdict": refusal.verdict.value,
            "detail": refusal.detail,
        }
    ).encode()

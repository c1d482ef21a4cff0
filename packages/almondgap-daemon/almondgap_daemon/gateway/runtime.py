"""Runs the gateway's reducer: feeds it events and performs the effects it returns."""

from __future__ import annotations

import json
import traceback
from collections.abc import Callable
from hashlib import blake2b
from http import HTTPStatus

from attrs import define, field

from almondgap_core.gateway.effects import (
    Abandon,
    Cancel,
    CheckConnection,
    CloseIdleConnections,
    Deliver,
    GatewayEffect,
    GrantTokens,
    Log,
    Probe,
    ReadSuspects,
    ReadTable,
    Refuse,
    Relay,
    RequestTokens,
    SaveSuspect,
    Send,
    SendAdvertisedLimits,
    SendHeartbeat,
    SendStoreView,
    SendSuspects,
    StartExpiryTimer,
    StartTokenTimer,
)
from almondgap_core.gateway.events import (
    AdvertisedLimitsReceived,
    CallArrived,
    CallerLeft,
    CallExpired,
    GatewayEvent,
    HeartbeatReceived,
    StoreViewReceived,
    SuspectsReceived,
    Ticked,
    TokensGranted,
    TokensRequested,
    TokensTimedOut,
)
from almondgap_core.gateway.heartbeats import AdvertisedLimits, Heartbeat, StoreView
from almondgap_core.gateway.reducer import fail_call, step
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.suspects import Suspects
from almondgap_core.units import MICROS_PER_SECOND
from almondgap_core.verdict import Refusal
from almondgap_daemon.gateway.logs import ReportLog
from almondgap_daemon.gateway.messages import (
    Message,
    TokenRequest,
    TokenResponse,
)
from almondgap_daemon.gateway.metrics import GatewayMetrics
from almondgap_daemon.gateway.target_client import Attempt, TargetClient
from almondgap_daemon.http.response import Response, find_header
from almondgap_daemon.http.server import Exchange
from almondgap_daemon.platform.headers import (
    LEAVING_TARGET,
    REASON,
    RELAYED,
    make_response_headers,
    parse_caller_headers,
    parse_leaving,
)

#: Interval of the reducer's ticks, in seconds: a quarter of the heartbeat interval.
TICK_INTERVAL_S = 0.25

#: Ticks between evictions of idle connections and flushes of the log: one second.
TICKS_PER_SWEEP = 4

#: Length of a traceback in the log; its end says most.
MAX_TRACEBACK_CHARS = 800

#: Status codes whose responses have neither a body nor a Content-Length.
NO_BODY_STATUSES = frozenset({204, 304})


@define(eq=False)
class PendingCall:
    """A caller's request that has no answer yet.

    :ivar arrived_at: time of arrival in microseconds.
    :ivar response: latest response of a target.
    :ivar attempt: latest attempt at a target.
    :ivar timer: fires at the deadline of the request.
    """

    exchange: Exchange
    arrived_at: int
    response: Response | None = None
    attempt: Attempt | None = None
    timer: object = None


@define
class GatewayRuntime:
    """Runs one gateway on a Twisted reactor.

    :ivar send_message: sends a message to the given addresses.
    :ivar read_table: reads the changes of a table of the store at once.
    :ivar save_suspect: saves in the store what is known about a request.
    :ivar read_suspects: reads from the store what hosts saved about requests.
    """

    reactor: object
    state: GatewayState
    log: ReportLog
    metrics: GatewayMetrics
    send_message: Callable
    read_table: Callable
    save_suspect: Callable
    read_suspects: Callable
    target_client: TargetClient = field(init=False)
    _pending: dict[int, PendingCall] = field(factory=dict)
    _last_number: int = 0
    _ticks: int = 0
    _last_ended_s: float = 0.0
    _effect_handlers: dict[type[GatewayEffect], Callable] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.target_client = TargetClient(self.reactor, self.feed, self.now)
        self._effect_handlers = {
            Send: self._send,
            Relay: self._send,
            Deliver: self._deliver,
            Refuse: self._refuse,
            Cancel: self._cancel,
            Abandon: self._abandon,
            StartExpiryTimer: self._expire,
            Probe: self.target_client.probe,
            CheckConnection: self.target_client.check_connection,
            CloseIdleConnections: lambda effect: self.target_client.pool.close_server(
                effect.target
            ),
            SendHeartbeat: lambda effect: self.send_message(
                effect.heartbeat, *effect.addresses
            ),
            SendStoreView: lambda effect: self.send_message(
                effect.view, *effect.addresses
            ),
            SendAdvertisedLimits: lambda effect: self.send_message(
                effect.message, *effect.addresses
            ),
            SendSuspects: lambda effect: self.send_message(
                effect.message, *effect.addresses
            ),
            SaveSuspect: lambda effect: self.save_suspect(effect.report),
            ReadSuspects: lambda effect: self.read_suspects(),
            ReadTable: lambda effect: self.read_table(effect.table),
            RequestTokens: self._ask_tokens,
            GrantTokens: self._give_tokens,
            StartTokenTimer: self._await_tokens,
            Log: self._log,
        }

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return len(self._pending)

    @property
    def idle_s(self) -> float:
        """Time since the last request ended, in seconds."""
        return self.reactor.seconds() - self._last_ended_s

    def now(self) -> int:
        """Return the monotonic time in microseconds."""
        return round(self.reactor.seconds() * MICROS_PER_SECOND)

    def start(self) -> None:
        """Start the periodic tick."""
        self._tick()

    def feed(self, event: GatewayEvent) -> None:
        """Pass an event to the reducer and perform the effects it returns.

        An unexpected error ends the request concerned, and nothing else.
        """
        try:
            effects = step(self.state, event)
        except Exception:
            self._log_internal_error(type(event).__name__)
            effects = fail_call(self.state, getattr(event, "call", 0))
        for effect in effects:
            try:
                self._effect_handlers[type(effect)](effect)
            except Exception:
                self._log_internal_error(type(effect).__name__)

    def handle_request(self, exchange: Exchange) -> None:
        """Handle a request of a caller."""
        self._last_number += 1
        exchange.number = self._last_number
        now = self.now()
        self._pending[self._last_number] = PendingCall(exchange, now)
        caller = parse_caller_headers(exchange.headers)
        target = exchange.target.decode("latin-1")
        self.feed(
            CallArrived(
                now,
                self._last_number,
                caller.request_id,
                exchange.method.decode("latin-1"),
                caller.host,
                target.partition("?")[0],
                caller.key,
                caller.affinity_key,
                caller.timeout,
                _compute_content_digest(exchange, caller.host),
                caller.prior_attempts,
                caller.min_version,
            )
        )

    def handle_message(self, message: Message) -> None:
        """Handle a message from another host."""
        now = self.now()
        if isinstance(message, Heartbeat):
            self.feed(HeartbeatReceived(now, message))
        elif isinstance(message, StoreView):
            self.feed(StoreViewReceived(now, message))
        elif isinstance(message, AdvertisedLimits):
            self.feed(AdvertisedLimitsReceived(now, message))
        elif isinstance(message, Suspects):
            self.feed(SuspectsReceived(now, message))
        elif isinstance(message, TokenRequest):
            fields = (message.reply_to, message.account, message.correlation_id)
            self.feed(TokensRequested(now, *fields, message.tokens))
        else:
            fields = (message.account, message.correlation_id, message.tokens)
            self.feed(TokensGranted(now, *fields))

    def handle_disconnect(self, exchange: Exchange) -> None:
        """Handle a caller that disconnected before it was answered."""
        pending = self._pending.get(exchange.number)
        if pending is not None:
            self.feed(CallerLeft(self.now(), exchange.number))
            self._finish(pending)

    def _send(self, effect: Send | Relay) -> None:
        pending = self._pending[effect.call]
        pending.attempt = Attempt(effect)

        def store_response(response: Response) -> None:
            pending.response = response

        # The outcome arrives as an event; the errback only sees internal errors.
        client = self.target_client
        perform = client.relay if isinstance(effect, Relay) else client.send
        done = perform(pending.attempt, pending.exchange, store_response)
        done.addErrback(self._report_error)

    def _deliver(self, effect: Deliver) -> None:
        pending = self._pending[effect.call]
        self._finish(pending)
        response = pending.response
        exchange = pending.exchange
        has_no_body = exchange.method == b"HEAD" or response.status in NO_BODY_STATUSES
        length = None if has_no_body else len(response.body)
        headers = make_response_headers(response.headers, length)
        target = getattr(pending.attempt.send, "target", "")
        is_relayed = find_header(exchange.headers, RELAYED) is not None
        if is_relayed and target and parse_leaving(response.headers):
            headers.append((LEAVING_TARGET, target.encode()))
        exchange.respond(
            response.status,
            response.reason,
            headers,
            b"" if has_no_body else response.body,
        )

    def _refuse(self, effect: Refuse) -> None:
        pending = self._pending[effect.call]
        self._finish(pending)
        body = _encode_refusal(effect.refusal)
        headers = [
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(body)).encode()),
            (REASON, effect.refusal.reason.value.encode()),
        ]
        retry_after = effect.refusal.retry_after
        if retry_after is not None:
            headers.append(
                (b"Retry-After", b"%.3f" % (retry_after / MICROS_PER_SECOND))
            )
        status = effect.refusal.status
        if pending.exchange.method == b"HEAD":
            body = b""
        reason = HTTPStatus(status).phrase.encode()
        pending.exchange.respond(status, reason, headers, body)

    def _cancel(self, effect: Cancel) -> None:
        self._pending[effect.call].attempt.cancel()

    def _abandon(self, effect: Abandon) -> None:
        """Do nothing: the target may finish, and its response is discarded."""

    def _expire(self, effect: StartExpiryTimer) -> None:
        pending = self._pending[effect.call]
        if pending.timer is not None and pending.timer.active():
            pending.timer.cancel()
        pending.timer = self.reactor.callLater(
            effect.delay / MICROS_PER_SECOND, self._on_deadline, effect.call
        )

    def _on_deadline(self, call: int) -> None:
        self.feed(CallExpired(self.now(), call))

    def _finish(self, pending: PendingCall) -> None:
        self._pending.pop(pending.exchange.number, None)
        self._last_ended_s = self.reactor.seconds()
        if pending.timer is not None and pending.timer.active():
            pending.timer.cancel()

    def _ask_tokens(self, effect: RequestTokens) -> None:
        reply_to = self.state.location.peer_address
        token_request = TokenRequest(
            reply_to, effect.account, effect.correlation_id, effect.tokens
        )
        self.send_message(token_request, effect.address)

    def _give_tokens(self, effect: GrantTokens) -> None:
        response = TokenResponse(effect.account, effect.correlation_id, effect.tokens)
        self.send_message(response, effect.address)

    def _await_tokens(self, effect: StartTokenTimer) -> None:
        delay = effect.delay / MICROS_PER_SECOND
        self.reactor.callLater(delay, self._on_token_timeout, effect)

    def _on_token_timeout(self, effect: StartTokenTimer) -> None:
        self.feed(TokensTimedOut(self.now(), effect.account, effect.correlation_id))

    def _log(self, effect: Log) -> None:
        self.log.write_report(effect.report)
        self.metrics.record_report(effect.report)

    def _tick(self) -> None:
        self.reactor.callLater(TICK_INTERVAL_S, self._tick)
        self.feed(Ticked(self.now()))
        self._ticks += 1
        if self._ticks % TICKS_PER_SWEEP == 0:
            self.target_client.pool.evict_expired()
            self.log.tick()

    def _log_internal_error(self, source: str) -> None:
        cause = traceback.format_exc()[-MAX_TRACEBACK_CHARS:]
        self.log.write("internal error", source=source, cause=cause)

    def _report_error(self, failure) -> None:
        cause = failure.getTraceback()[-MAX_TRACEBACK_CHARS:]
        self.log.write("internal error", source="attempt", cause=cause)


def _compute_content_digest(exchange: Exchange, host: str) -> str:
    """Return a digest that is the same for each repetition of a request."""
    digest = blake2b(digest_size=16)
    for part in (exchange.method, host.encode(), exchange.target):
        digest.update(b"%d:%b" % (len(part), part))
    digest.update(exchange.body)
    return digest.hexdigest()


def _encode_refusal(refusal: Refusal) -> bytes:
    return json.dumps(
        {
            "error": refusal.reason.value,
            "verdict": refusal.verdict.value,
            "detail": refusal.detail,
        }
    ).encode()

"""What becomes of requests that were handed to another host, or ought to be."""

from __future__ import annotations

from almondgap_core.gateway.call import Call
from almondgap_core.gateway.calls import NOT_RUN_STATUSES, stop_attempt
from almondgap_core.gateway.dispatch import (
    may_retry,
    place_call,
    report_attempt_lost,
    retry_call,
    retry_or_refuse,
)
from almondgap_core.gateway.effects import Deliver
from almondgap_core.gateway.events import (
    AttemptFailed,
    Failure,
    GatewayEvent,
    RelayAnswered,
    Ticked,
)
from almondgap_core.gateway.planned_stop import may_outlast_stop
from almondgap_core.gateway.reachability import SILENCE_US
from almondgap_core.gateway.refusals import refuse_call
from almondgap_core.gateway.relays import choose_relay, end_relay, needs_relay
from almondgap_core.gateway.reports import RelayAnswerForwarded
from almondgap_core.gateway.state import GatewayState
from almondgap_core.units import MICROS_PER_MILLI, seconds
from almondgap_core.verdict import Reason, Verdict

#: Time without further requests to a host that could not be reached.
RELAY_BACKOFF_US = seconds(2)

#: Reasons for which a host refuses a request that others may serve.
UNABLE_REASONS = frozenset({Reason.NOT_READY, Reason.NO_TARGET, Reason.STOPPING})


def handle_relay_answered(state: GatewayState, event: RelayAnswered) -> None:
    """Forward the answer of the host to which a request was handed over."""
    call = state.calls.get(event.call)
    if call is None or call.attempt != event.attempt:
        return
    now = event.now
    peer = call.relay_host
    end_relay(state, call)
    call.attempt = 0
    is_unable = event.status == 503 and event.reason in UNABLE_REASONS
    if is_unable and choose_relay(state, call, now) is not None:
        failure = f"host {peer}: {event.reason.value}"
        verdict = Verdict.NOT_RUN
        report_attempt_lost(state, call, event.attempt, failure, verdict, now)
        place_call(state, call, now)
        return
    is_success = event.status < 300
    if is_success and not event.sealed:
        call.may_have_run = True
        detail = f"host {peer} answered {event.status} without a seal"
        refuse_call(state, call, now, 502, Reason.TARGET_FAILED, detail)
    elif event.status in NOT_RUN_STATUSES and call.may_have_run:
        detail = f"host {peer} refused the request with status {event.status}"
        refuse_call(state, call, now, 502, Reason.TARGET_FAILED, detail)
    else:
        del state.calls[call.number]
        state.perform(Deliver(call.number))
        took = (now - call.arrived_at) // MICROS_PER_MILLI
        state.report(RelayAnswerForwarded(call.request_id, peer, event.status, took))


def handle_attempt_failed(state: GatewayState, event: AttemptFailed) -> None:
    """Hand a request over to another host if that is safe, otherwise refuse it."""
    call = state.calls.get(event.call)
    if call is None or call.attempt != event.attempt or not call.relay_host:
        return
    now = event.now
    peer = end_relay(state, call)
    call.attempt = 0
    host = call.relayed_to[-1]
    failure = f"host {host}: {event.failure.value}"
    report_attempt_lost(state, call, event.attempt, failure, event.verdict, now)
    if event.failure is Failure.NO_SOCKET:
        refuse_call(state, call, now, 503, Reason.NO_CAPACITY, "no socket left")
        return
    if peer is not None:
        peer.relay_backoff_until = now + RELAY_BACKOFF_US
    if event.verdict is Verdict.NOT_RUN:
        place_call(state, call, now)
        return
    call.may_have_run = True
    retry_or_refuse(state, call, now, failure)


def handle_tick(state: GatewayState, event: Ticked) -> None:
    """Hand over what waits for targets that no longer answer this host."""
    now = event.now
    if state.partitioned_since is None or now - state.last_contact_at < SILENCE_US:
        return
    for call in list(state.calls.values()):
        waits = call.attempt and not call.relay_host and call.route.idempotent
        if waits and needs_relay(state, call):
            _rescue_call(state, call, now)


def _rescue_call(state: GatewayState, call: Call, now: int) -> None:
    if may_outlast_stop(state, call.expires_at, call.is_relayed, now):
        return
    if choose_relay(state, call, now) and may_retry(state, call, now):
        stop_attempt(state, call, cancel=True)
        call.attempt = 0
        call.may_have_run = True
        retry_call(state, call, now, "host reaches no target")


EVENT_HANDLERS: dict[type[GatewayEvent], object] = {
    RelayAnswered: handle_relay_answered,
    AttemptFailed: handle_attempt_failed,
    Ticked: handle_tick,
}

"""Requester: obtains the permit of an operation and reports its outcome.

Requests to the holder are repeated until it decides or the deadline passes, reports
until it acknowledges them. A permit that arrives after its request has ended is
returned.
"""

from __future__ import annotations

from almondgap_core.effects import SendMessage
from almondgap_core.events import Tick
from almondgap_core.limits import leases
from almondgap_core.operations.decision import (
    RETRY_DECISIONS,
    Decision,
    make_missing_prefix_refusal,
    make_ran_refusal,
    make_refusal,
    make_timeout_refusal,
)
from almondgap_core.operations.events import (
    OperationAnswered,
    OperationAsked,
    OperationEnded,
    OperationGranted,
    OperationRefused,
)
from almondgap_core.operations.holder import (
    Candidate,
    can_decide,
    decide,
    record_outcome,
)
from almondgap_core.operations.key import OperationKey
from almondgap_core.operations.messages import (
    OutcomeAck,
    OutcomeReport,
    PermitRequest,
    PermitResponse,
)
from almondgap_core.operations.record import KeptAnswer
from almondgap_core.operations.state import (
    AbandonedOperation,
    ActiveOperation,
    PendingReport,
)
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_MILLI, MICROS_PER_SECOND
from almondgap_core.verdict import Verdict

#: Time after which an unanswered request for a permit is sent again.
REQUEST_INTERVAL_US = 200 * MICROS_PER_MILLI

#: Time between two requests while the operation runs or its book is being moved.
POLL_INTERVAL_US = 100 * MICROS_PER_MILLI

#: Time after which an outcome that was not acknowledged is sent again.
REPORT_INTERVAL_US = 300 * MICROS_PER_MILLI

MAX_REPORT_TRIES = 40

#: Time for which a permit may still arrive for a request that has ended.
ABANDONED_RETENTION_US = 60 * MICROS_PER_SECOND


def handle_operation_asked(state: HostState, event: OperationAsked) -> None:
    """Request the permit from the holder; refuse keys without an issued prefix."""
    key = OperationKey.from_text(event.key)
    if key is None:
        refusal = make_missing_prefix_refusal()
        state.emit(OperationRefused(event.now, event.req_id, refusal))
        return
    asker = f"{state.incarnation}/{event.req_id}"
    op = ActiveOperation(key, event.account, event.digest, asker, event.deadline)
    state.operations.active[event.req_id] = op
    _request_permit(state, event.req_id, op, event.now)


def handle_operation_ended(state: HostState, event: OperationEnded) -> None:
    """Report the outcome of the permit to the holder."""
    op = state.operations.active.pop(event.req_id, None)
    if op is None:
        return
    if not op.permitted:
        state.operations.abandoned[op.asker] = AbandonedOperation(op.key, event.now)
        return
    _report_outcome(state, op, event.verdict, event.status, event.answer, event.now)


def handle_permit_response(
    state: HostState, host: str, message: PermitResponse, now: int
):
    """Apply the holder's decision."""
    if message.decision not in Decision._value2member_map_:
        return
    decision = Decision(message.decision)
    req_id = message.asker.partition("/")[2]
    op = state.operations.active.get(req_id)
    if op is None or op.asker != message.asker:
        _return_unused(state, host, message.asker, decision, now)
        return
    if op.permitted:
        return
    if decision is Decision.ELSEWHERE:
        op.holder = "" if message.holder == host else message.holder
    answer = None
    if message.has_answer:
        answer = KeptAnswer(message.status, message.content_type, message.body)
    _apply_decision(state, req_id, op, decision, message.status, answer, now)


def handle_outcome_ack(state: HostState, host: str, message: OutcomeAck, now: int):
    """Stop repeating a report that the holder has acknowledged."""
    state.operations.reports.pop(message.asker, None)


def handle_tick(state: HostState, event: Tick) -> None:
    """Repeat unanswered requests and reports, and time out expired requests."""
    now = event.now
    for req_id, op in list(state.operations.active.items()):
        if op.permitted:
            continue
        if now >= op.deadline:
            state.emit(OperationRefused(now, req_id, make_timeout_refusal()))
        elif now >= op.next_try:
            _request_permit(state, req_id, op, now)
    for asker, report in list(state.operations.reports.items()):
        if now >= report.next_try:
            _send_report(state, asker, report, now)
    _forget_abandoned(state, now)


def _request_permit(
    state: HostState, req_id: str, op: ActiveOperation, now: int
) -> None:
    left = max(op.deadline - now, 0)
    if can_decide(state, op.key, now):
        asker = f"{state.host}/{op.asker}"
        candidate = Candidate(op.key, op.account, op.digest, asker, left)
        result = decide(state, candidate, now)
        record = result.record
        status, answer = (record.status, record.answer) if record else (0, None)
        _apply_decision(state, req_id, op, result.decision, status, answer, now)
        return
    op.next_try = now + REQUEST_INTERVAL_US
    holder = op.holder or _locate_holder(state, op.key)
    op.holder = ""
    if holder and holder != state.host:
        message = PermitRequest(op.asker, str(op.key), op.account, op.digest, left)
        state.perform(SendMessage(holder, message))


def _locate_holder(state: HostState, key: OperationKey) -> str | None:
    """Return the holder; without one, the host that announced the prefix."""
    partition = key.prefix.partition
    known = state.operations.known_prefixes.get(partition)
    holder = leases.find_holder(state, partition)
    if holder is None and known is not None and known.prefix.epoch == key.prefix.epoch:
        return known.host
    return holder


def _apply_decision(
    state, req_id: str, op: ActiveOperation, decision, status: int, answer, now: int
):
    if decision is Decision.GRANTED:
        op.permitted = True
        state.emit(OperationGranted(now, req_id))
    elif decision in RETRY_DECISIONS:
        op.next_try = now + POLL_INTERVAL_US
    elif decision is not Decision.ANSWERED:
        state.emit(OperationRefused(now, req_id, make_refusal(decision)))
    elif answer is None:
        state.emit(OperationRefused(now, req_id, make_ran_refusal(status)))
    else:
        state.emit(OperationAnswered(now, req_id, answer))


def _report_outcome(
    state, op: ActiveOperation, verdict, status: int, answer, now: int
) -> None:
    fleet_asker = f"{state.host}/{op.asker}"
    if record_outcome(state, op.key, fleet_asker, verdict, answer, status):
        return
    message = _build_report(op.asker, op.key, verdict, status, answer)
    report = PendingReport(op.key, message, now)
    state.operations.reports[op.asker] = report
    _send_report(state, op.asker, report, now)


def _build_report(asker: str, key: OperationKey, verdict, status, answer):
    kept = (False, "", b"")
    if answer is not None:
        kept = (True, answer.content_type, answer.body)
    return OutcomeReport(asker, str(key), verdict.value, status, *kept)


def _send_report(state: HostState, asker: str, report: PendingReport, now: int) -> None:
    report.tries += 1
    report.next_try = now + REPORT_INTERVAL_US
    if report.tries > MAX_REPORT_TRIES:
        del state.operations.reports[asker]
        return
    holder = _locate_holder(state, report.key)
    if holder == state.host:
        _record_own_outcome(state, asker, report)
    elif holder is not None:
        state.perform(SendMessage(holder, report.message))


def _record_own_outcome(state: HostState, asker: str, report: PendingReport) -> None:
    message = report.message
    answer = None
    if message.has_answer:
        answer = KeptAnswer(message.status, message.content_type, message.body)
    fleet_asker = f"{state.host}/{asker}"
    verdict = Verdict(message.verdict)
    if record_outcome(state, report.key, fleet_asker, verdict, answer, message.status):
        del state.operations.reports[asker]


def _return_unused(state, host: str, asker: str, decision, now: int) -> None:
    """Return a permit whose request ended before the permit arrived."""
    abandoned = state.operations.abandoned.get(asker)
    if decision is not Decision.GRANTED or abandoned is None:
        return
    message = _build_report(asker, abandoned.key, Verdict.NOT_RUN, 0, None)
    state.perform(SendMessage(host, message))


def _forget_abandoned(state: HostState, now: int) -> None:
    abandoned = state.operations.abandoned
    for asker in list(abandoned):
        if now - abandoned[asker].ended_at < ABANDONED_RETENTION_US:
            return
        del abandoned[asker]


EVENT_HANDLERS = {
    OperationAsked: handle_operation_asked,
    OperationEnded: handle_operation_ended,
    Tick: handle_tick,
}
MESSAGE_HANDLERS = {
    PermitResponse: handle_permit_response,
    OutcomeAck: handle_outcome_ack,
}

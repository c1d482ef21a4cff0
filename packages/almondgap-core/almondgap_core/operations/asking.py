"""The asker's side: a request waits for its operation's permit and reports back."""

from __future__ import annotations

from almondgap_core.effects import SendMessage
from almondgap_core.events import Tick
from almondgap_core.limits import leases
from almondgap_core.operations.decision import (
    OPEN_DECISIONS,
    Decision,
    describe,
    describe_bare,
    describe_ran,
    describe_unanswered,
)
from almondgap_core.operations.events import (
    OperationAnswered,
    OperationAsked,
    OperationEnded,
    OperationGranted,
    OperationRefused,
)
from almondgap_core.operations.holder import Candidate, judge, may_judge, settle
from almondgap_core.operations.key import OperationKey
from almondgap_core.operations.messages import (
    OutcomeNoted,
    OutcomeReport,
    PermitAnswer,
    PermitAsk,
)
from almondgap_core.operations.record import KeptAnswer
from almondgap_core.operations.state import Abandoned, Ask, Report
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_MILLI, MICROS_PER_SECOND
from almondgap_core.verdict import Verdict

#: Time after which an ask without an answer is sent again.
ASK_INTERVAL_US = 200 * MICROS_PER_MILLI

#: Time between two asks while the operation runs or its book moves.
POLL_INTERVAL_US = 100 * MICROS_PER_MILLI

#: Time after which an outcome that the holder has not confirmed is sent again.
REPORT_INTERVAL_US = 300 * MICROS_PER_MILLI

MAX_REPORTS_TRIES = 40

#: Time for which a request that ended without a decision is remembered.
ABANDONED_US = 60 * MICROS_PER_SECOND


def handle_operation_asked(state: HostState, event: OperationAsked) -> None:
    """Ask the holder for the permit."""
    key = OperationKey.from_text(event.key)
    if key is None:
        refusal = describe_bare()
        state.emit(OperationRefused(event.now, event.req_id, refusal))
        return
    asker = f"{state.incarnation}/{event.req_id}"
    ask = Ask(key, event.account, event.digest, asker, event.deadline)
    state.operations.asks[event.req_id] = ask
    _try(state, event.req_id, ask, event.now)


def handle_operation_ended(state: HostState, event: OperationEnded) -> None:
    """Tell the holder what became of the permit."""
    ask = state.operations.asks.pop(event.req_id, None)
    if ask is None:
        return
    if not ask.permitted:
        state.operations.abandoned[ask.asker] = Abandoned(ask.key, event.now)
        return
    _report(state, ask, event.verdict, event.status, event.answer, event.now)


def handle_permit_answer(state: HostState, host: str, message: PermitAnswer, now: int):
    """Follow the holder's decision."""
    if message.decision not in Decision._value2member_map_:
        return
    decision = Decision(message.decision)
    req_id = message.asker.partition("/")[2]
    ask = state.operations.asks.get(req_id)
    if ask is None or ask.asker != message.asker:
        _return_unused(state, host, message.asker, decision, now)
        return
    if ask.permitted:
        return
    if decision is Decision.ELSEWHERE:
        ask.holder = "" if message.holder == host else message.holder
    answer = None
    if message.has_answer:
        answer = KeptAnswer(message.status, message.content_type, message.body)
    _follow(state, req_id, ask, decision, message.status, answer, now)


def handle_outcome_noted(state: HostState, host: str, message: OutcomeNoted, now: int):
    """Forget an outcome that the holder has."""
    state.operations.reports.pop(message.asker, None)


def handle_tick(state: HostState, event: Tick) -> None:
    """Ask and report again where no answer came."""
    now = event.now
    for req_id, ask in list(state.operations.asks.items()):
        if ask.permitted:
            continue
        if now >= ask.deadline:
            state.emit(OperationRefused(now, req_id, describe_unanswered()))
        elif now >= ask.next_try:
            _try(state, req_id, ask, now)
    for asker, report in list(state.operations.reports.items()):
        if now >= report.next_try:
            _send_report(state, asker, report, now)
    _forget_abandoned(state, now)


def _try(state: HostState, req_id: str, ask: Ask, now: int) -> None:
    left = max(ask.deadline - now, 0)
    if may_judge(state, ask.key, now):
        asker = f"{state.host}/{ask.asker}"
        candidate = Candidate(ask.key, ask.account, ask.digest, asker, left)
        judgement = judge(state, candidate, now)
        record = judgement.record
        status, answer = (record.status, record.answer) if record else (0, None)
        _follow(state, req_id, ask, judgement.decision, status, answer, now)
        return
    ask.next_try = now + ASK_INTERVAL_US
    holder = ask.holder or _find_keeper(state, ask.key)
    ask.holder = ""
    if holder and holder != state.host:
        message = PermitAsk(ask.asker, str(ask.key), ask.account, ask.digest, left)
        state.perform(SendMessage(holder, message))


def _find_keeper(state: HostState, key: OperationKey) -> str | None:
    """Return the holder, or who offered the prefix while there is none."""
    partition = key.prefix.partition
    hint = state.operations.hints.get(partition)
    holder = leases.find_holder(state, partition)
    if holder is None and hint is not None and hint.prefix.epoch == key.prefix.epoch:
        return hint.host
    return holder


def _follow(state, req_id: str, ask: Ask, decision, status: int, answer, now: int):
    if decision is Decision.GRANTED:
        ask.permitted = True
        state.emit(OperationGranted(now, req_id))
    elif decision in OPEN_DECISIONS:
        ask.next_try = now + POLL_INTERVAL_US
    elif decision is not Decision.ANSWERED:
        state.emit(OperationRefused(now, req_id, describe(decision)))
    elif answer is None:
        state.emit(OperationRefused(now, req_id, describe_ran(status)))
    else:
        state.emit(OperationAnswered(now, req_id, answer))


def _report(state, ask: Ask, verdict, status: int, answer, now: int) -> None:
    full = f"{state.host}/{ask.asker}"
    if settle(state, ask.key, full, verdict, answer, status):
        return
    message = _make_report(ask.asker, ask.key, verdict, status, answer)
    report = Report(ask.key, message, now)
    state.operations.reports[ask.asker] = report
    _send_report(state, ask.asker, report, now)


def _make_report(asker: str, key: OperationKey, verdict, status, answer):
    kept = (False, "", b"")
    if answer is not None:
        kept = (True, answer.content_type, answer.body)
    return OutcomeReport(asker, str(key), verdict.value, status, *kept)


def _send_report(state: HostState, asker: str, report: Report, now: int) -> None:
    report.tries += 1
    report.next_try = now + REPORT_INTERVAL_US
    if report.tries > MAX_REPORTS_TRIES:
        del state.operations.reports[asker]
        return
    holder = _find_keeper(state, report.key)
    if holder == state.host:
        _settle_own(state, asker, report)
    elif holder is not None:
        state.perform(SendMessage(holder, report.message))


def _settle_own(state: HostState, asker: str, report: Report) -> None:
    message = report.message
    answer = None
    if message.has_answer:
        answer = KeptAnswer(message.status, message.content_type, message.body)
    full = f"{state.host}/{asker}"
    verdict = Verdict(message.verdict)
    if settle(state, report.key, full, verdict, answer, message.status):
        del state.operations.reports[asker]


def _return_unused(state, host: str, asker: str, decision, now: int) -> None:
    """Give back a permit whose request ended before the permit came."""
    abandoned = state.operations.abandoned.get(asker)
    if decision is not Decision.GRANTED or abandoned is None:
        return
    message = _make_report(asker, abandoned.key, Verdict.NOT_RUN, 0, None)
    state.perform(SendMessage(host, message))


def _forget_abandoned(state: HostState, now: int) -> None:
    abandoned = state.operations.abandoned
    for asker in list(abandoned):
        if now - abandoned[asker].ended < ABANDONED_US:
            return
        del abandoned[asker]


EVENT_HANDLERS = {
    OperationAsked: handle_operation_asked,
    OperationEnded: handle_operation_ended,
    Tick: handle_tick,
}
MESSAGE_HANDLERS = {
    PermitAnswer: handle_permit_answer,
    OutcomeNoted: handle_outcome_noted,
}

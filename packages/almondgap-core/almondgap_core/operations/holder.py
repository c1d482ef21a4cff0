"""Holder: grants each operation's permit and records its outcome.

Decides about requests whose book is on this host. At most one request at a time has the
permit of an operation, and no further permit is granted once the operation may have
run. A permit that comes back unused may be granted again.
"""

from __future__ import annotations

from attrs import frozen

from almondgap_core.effects import SendMessage
from almondgap_core.limits import leases
from almondgap_core.operations.books import find_book
from almondgap_core.operations.decision import Decision
from almondgap_core.operations.key import OperationKey
from almondgap_core.operations.messages import (
    OutcomeAck,
    OutcomeReport,
    PermitRequest,
    PermitResponse,
)
from almondgap_core.operations.record import (
    MAX_RETURNED_PERMITS,
    RETENTION_WINDOWS,
    Book,
    KeptAnswer,
    OperationRecord,
    Progress,
)
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_SECOND
from almondgap_core.verdict import Verdict

#: Limit of records on one host; beyond it new operations are refused.
MAX_RECORDS = 200_000

#: Total size of stored answers on one host; beyond it only the status is stored.
MAX_TOTAL_ANSWER_BYTES = 33_554_432

#: Size limit of a stored answer.
MAX_ANSWER_BYTES = 4_096

#: Time after a permit's deadline until its outcome counts as unknown.
OUTCOME_GRACE_US = MICROS_PER_SECOND

#: Upper bound of the time until the deadline in a request for a permit.
MAX_TIME_LEFT_US = 600 * MICROS_PER_SECOND

#: Number of windows that a key may be ahead of its book. A book that has moved lags by
#: the time that its last page was in transit.
MAX_WINDOW_LEAD = 1


@frozen
class DecisionResult:
    """A decision and, for a grant or a replay, the record it is based on."""

    decision: Decision
    record: OperationRecord | None = None


@frozen
class Candidate:
    """A request that needs an operation's permit.

    :ivar asker: identifier of the request, unique in the fleet.
    :ivar left: time until its deadline, in microseconds.
    """

    key: OperationKey
    account: str
    digest: bytes
    asker: str
    left: int


def decide(state: HostState, candidate: Candidate, now: int) -> DecisionResult:
    """Decide whether a request may run its operation; record the permit if so."""
    prefix = candidate.key.prefix
    held = leases.find_held(state, prefix.partition, now)
    book: Book | Decision
    if held is None:
        book = _find_writable_book(state, candidate.key) or Decision.ELSEWHERE
    else:
        book = find_book(state, prefix, held, now)
    if isinstance(book, Decision):
        return DecisionResult(book)
    record = book.find(prefix.window, candidate.key.unique)
    if record is not None:
        return _decide_known(state, book, record, candidate, now)
    return _decide_new(state, book, candidate, now)


def can_decide(state: HostState, key: OperationKey, now: int) -> bool:
    """Return whether this host has the book of a key, or the lease for it."""
    held = leases.find_held(state, key.prefix.partition, now)
    return held is not None or _find_writable_book(state, key) is not None


def record_outcome(
    state: HostState,
    key: OperationKey,
    asker: str,
    verdict: Verdict,
    answer: KeptAnswer | None,
    status: int,
) -> bool:
    """Record the outcome of a permit; return whether the book is on this host."""
    book = _find_writable_book(state, key)
    if book is None:
        return False
    record = book.find(key.prefix.window, key.unique)
    if record is None or record.asker != asker or record.progress is Progress.RAN:
        return True
    if verdict is Verdict.NOT_RUN:
        record.progress = Progress.FREE
        record.returned = (*record.returned, asker)
        record.asker = ""
    elif verdict is Verdict.MAY_HAVE_RUN:
        record.progress = Progress.MAY_HAVE_RUN
    else:
        record.progress = Progress.RAN
        record.status = status
        _store_answer(state, record, answer)
    return True


def handle_permit_request(
    state: HostState, host: str, message: PermitRequest, now: int
):
    """Answer another host's request for a permit."""
    key = OperationKey.from_text(message.key)
    if key is None:
        return
    left = min(max(message.left, 0), MAX_TIME_LEFT_US)
    asker = f"{host}/{message.asker}"
    candidate = Candidate(key, message.account, message.digest, asker, left)
    result = decide(state, candidate, now)
    holder = leases.find_holder(state, key.prefix.partition) or ""
    answer = _build_response(message.asker, result, holder)
    state.perform(SendMessage(host, answer))


def handle_outcome_report(state: HostState, host: str, message: OutcomeReport, now):
    """Record an outcome that another host reports, and acknowledge it."""
    key = OperationKey.from_text(message.key)
    if key is None or message.verdict not in Verdict._value2member_map_:
        return
    answer = None
    if message.has_answer:
        answer = KeptAnswer(message.status, message.content_type, message.body)
    asker = f"{host}/{message.asker}"
    verdict = Verdict(message.verdict)
    if record_outcome(state, key, asker, verdict, answer, message.status):
        state.perform(SendMessage(host, OutcomeAck(message.asker)))


def _find_writable_book(state: HostState, key: OperationKey) -> Book | None:
    """Return the book of a key if it is on this host and not sealed.

    No other host can have a writable copy: a book is created once, by the holder of its
    epoch, and moves only after it was sealed here. It may therefore be written to after
    the lease has ended, until the next holder requests it.
    """
    book = state.operations.books.get((key.prefix.partition, key.prefix.epoch))
    return None if book is None or book.sealed else book


def _decide_known(state, book: Book, record, candidate, now: int) -> DecisionResult:
    same = (record.account, record.digest) == (candidate.account, candidate.digest)
    if not same:
        return DecisionResult(Decision.MISMATCH)
    if record.progress is Progress.PERMITTED and now >= record.doubtful_at:
        record.progress = Progress.MAY_HAVE_RUN
    if record.progress is Progress.RAN:
        return DecisionResult(Decision.ANSWERED, record)
    if record.progress is Progress.MAY_HAVE_RUN:
        return DecisionResult(Decision.MAY_HAVE_RUN)
    if record.progress is Progress.PERMITTED:
        mine = record.asker == candidate.asker
        return DecisionResult(Decision.GRANTED if mine else Decision.RUNNING)
    if _is_expired(book, candidate.key, now):
        return DecisionResult(Decision.EXPIRED_UNUSED)
    if (
        candidate.asker in record.returned
        or len(record.returned) >= MAX_RETURNED_PERMITS
    ):
        return DecisionResult(Decision.EXHAUSTED)
    return _grant(state, record, candidate, now)


def _decide_new(state, book: Book, candidate, now: int) -> DecisionResult:
    window = candidate.key.prefix.window
    if window > book.find_window(now) + MAX_WINDOW_LEAD:
        return DecisionResult(Decision.NOT_ISSUED)
    if _is_expired(book, candidate.key, now):
        used = window <= book.forgotten
        return DecisionResult(Decision.EXPIRED if used else Decision.EXPIRED_UNUSED)
    if state.operations.records >= MAX_RECORDS:
        return DecisionResult(Decision.FULL)
    record = OperationRecord(candidate.account, candidate.digest)
    book.windows.setdefault(window, {})[candidate.key.unique] = record
    state.operations.records += 1
    return _grant(state, record, candidate, now)


def _grant(state: HostState, record, candidate: Candidate, now: int) -> DecisionResult:
    record.progress = Progress.PERMITTED
    record.asker = candidate.asker
    record.permits += 1
    record.doubtful_at = now + candidate.left + OUTCOME_GRACE_US
    state.operations.granted += 1
    return DecisionResult(Decision.GRANTED, record)


def _is_expired(book: Book, key: OperationKey, now: int) -> bool:
    return key.prefix.window < book.find_window(now) - RETENTION_WINDOWS


def _store_answer(state: HostState, record: OperationRecord, answer) -> None:
    if answer is None or len(answer.body) > MAX_ANSWER_BYTES:
        return
    if state.operations.answer_bytes + len(answer.body) > MAX_TOTAL_ANSWER_BYTES:
        return
    state.operations.answer_bytes += len(answer.body)
    record.answer = answer


def _build_response(asker: str, result: DecisionResult, holder: str) -> PermitResponse:
    record = result.record
    status = record.status if record else 0
    answer = record.answer if record else None
    if answer is None:
        body = (False, "", b"")
    else:
        body = (True, answer.content_type, answer.body)
    return PermitResponse(asker, result.decision.value, status, *body, holder)


MESSAGE_HANDLERS = {
    PermitRequest: handle_permit_request,
    OutcomeReport: handle_outcome_report,
}

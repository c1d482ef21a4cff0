"""Status of an operation, for operators: what one host knows about it."""

from __future__ import annotations

from attrs import frozen

from almondgap_core.limits import leases
from almondgap_core.operations.key import OperationKey
from almondgap_core.operations.record import Progress
from almondgap_core.state import HostState
from almondgap_core.verdict import Verdict


@frozen
class OperationStatus:
    """Status of an operation as known to one host.

    :ivar known_by: host that has the record, or is believed to be its holder.
    :ivar recorded: whether the queried host has a record of the operation.
    :ivar verdict: whether the operation ran, according to the record.
    :ivar permits: permits granted so far; at most one of them was used.
    :ivar status: HTTP status of the first answer, 0 if there is none.
    """

    key: str
    partition: str
    epoch: int
    known_by: str
    recorded: bool
    verdict: Verdict
    account: str = ""
    permits: int = 0
    status: int = 0


def find_status(state: HostState, key: OperationKey, now: int) -> OperationStatus:
    """Return the status of an operation as known to this host."""
    prefix = key.prefix
    place = (str(key), str(prefix.partition), prefix.epoch)
    book = state.operations.books.get((prefix.partition, prefix.epoch))
    if book is None or book.sealed:
        holder = leases.find_holder(state, prefix.partition) or ""
        return OperationStatus(*place, holder, False, Verdict.MAY_HAVE_RUN)
    record = book.find(prefix.window, key.unique)
    if record is None:
        forgotten = prefix.window <= book.forgotten
        verdict = Verdict.MAY_HAVE_RUN if forgotten else Verdict.NOT_RUN
        return OperationStatus(*place, state.host, False, verdict)
    verdict = {Progress.FREE: Verdict.NOT_RUN, Progress.RAN: Verdict.RAN}.get(
        record.progress, Verdict.MAY_HAVE_RUN
    )
    return OperationStatus(
        *place,
        state.host,
        True,
        verdict,
        record.account,
        record.permits,
        record.status,
    )

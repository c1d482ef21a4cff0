"""Renewal: takes, renews and releases leases by transactions on the table service.

One transaction per interval reads the lease rows of the failure domain and writes all
rows that this host holds, takes or releases, each on condition that its version is
unchanged. An answer that was lost is resolved by reading the rows again.
"""

from __future__ import annotations

from attrs import evolve

from almondgap_core.effects import LogEntry, Transact
from almondgap_core.events import Tick, TransactionEnded
from almondgap_core.exceptions import ConfigurationError
from almondgap_core.limits.assignment import assign_partitions
from almondgap_core.limits.events import LeaseLost, LeaseTaken
from almondgap_core.limits.leases import (
    LEASE_DURATION_US,
    MAX_TICK_GAP_US,
)
from almondgap_core.limits.live_hosts import list_live_hosts, list_recent_peers
from almondgap_core.limits.partitions import (
    Partition,
    list_partitions,
)
from almondgap_core.limits.release import (
    RETRY_INTERVAL_US,
    is_clean,
    list_releasable,
    must_release,
)
from almondgap_core.limits.rows import LeaseRow, Witness, make_row_key
from almondgap_core.limits.state import ObservedRow, OwnLease, PendingRenewal
from almondgap_core.limits.takeover import compute_earliest_takeover
from almondgap_core.platform import (
    Check,
    Row,
    Transaction,
    TransactionOutcome,
    TransactionResult,
    Write,
)
from almondgap_core.settings.head import HEAD, Head
from almondgap_core.state import HostState
from almondgap_core.units import millis, seconds

RENEW_INTERVAL_US = seconds(2.8)
RENEW_JITTER_US = seconds(0.4)

#: Maximum jitter added to the time to the next try.
RETRY_JITTER_US = millis(300)

#: Time for which a new host collects heartbeats before it takes partitions.
STARTUP_DELAY_US = seconds(1.2)

#: Time for which a free partition is left to the host that it is assigned to.
PREFERRED_HOST_DELAY_US = seconds(4)

#: Longest extension of a lease without the store: with witnesses, and without any.
MAX_HOLD_US = seconds(600)
MAX_HOLD_WITHOUT_WITNESSES_US = seconds(120)

TICKET = "leases"


def handle_tick(state: HostState, event: Tick) -> None:
    """Invalidate leases after a gap between ticks, and renew them at the interval."""
    leases = state.limits.leases
    _check_tick_gap(state, event.now)
    if state.inventory is None or leases.pending is not None:
        return
    if event.now >= leases.next_renewal or must_release(state, event.now):
        _send_transaction(state, event.now)


def handle_transaction_ended(state: HostState, event: TransactionEnded) -> None:
    """Apply the rows read, and confirm the renewals if the transaction committed."""
    leases = state.limits.leases
    pending = leases.pending
    if pending is None or event.ticket != pending.ticket:
        return
    leases.pending = None
    outcome = event.result.outcome
    if outcome in (TransactionOutcome.UNKNOWN, TransactionOutcome.UNAVAILABLE):
        if outcome is TransactionOutcome.UNKNOWN:
            leases.must_read = True
        elif not leases.must_read:
            leases.in_doubt.clear()
        _plan_retry(state, event.now)
        return
    was_read, leases.must_read = leases.must_read, False
    leases.in_doubt.clear()
    _observe_rows(state, pending, event.result, event.now)
    _adopt_own_rows(state, _read_head(event.result), event.now)
    if outcome is TransactionOutcome.CONFLICT or was_read:
        _plan_retry(state, event.now)
    else:
        _confirm(state, pending, event.now)


def handle_lease_taken(state: HostState, event: LeaseTaken) -> None:
    """Log that this host took or lost a lease."""
    state.perform(LogEntry("lease taken", _list_fields(event)))


def handle_lease_lost(state: HostState, event: LeaseLost) -> None:
    """Log that this host took or lost a lease."""
    state.perform(LogEntry("lease lost", _list_fields(event)))


def _list_fields(event: LeaseTaken | LeaseLost) -> tuple[tuple[str, str | int], ...]:
    return (("partition", str(event.partition)), ("epoch", event.epoch))


def _check_tick_gap(state: HostState, now: int) -> None:
    leases = state.limits.leases
    if leases.started is None:
        leases.started = now
    last, leases.last_tick = leases.last_tick, now
    if last is not None and now - last > MAX_TICK_GAP_US:
        for lease in leases.own.values():
            lease.valid_until = 0
            lease.table_until = 0
        leases.must_read |= leases.pending is not None
        leases.pending = None
        leases.next_renewal = now


def _plan_retry(state: HostState, now: int) -> None:
    jitter = state.draw(RETRY_JITTER_US)
    state.limits.leases.next_renewal = now + RETRY_INTERVAL_US + jitter


def _send_transaction(state: HostState, now: int) -> None:
    leases = state.limits.leases
    partitions = tuple(list_partitions(state.inventory, state.failure_domain))
    reads = tuple(sorted({*partitions, *leases.own, *leases.foreign_reads}))
    rows = {} if leases.must_read else _plan_rows(state, partitions, now)
    leases.in_doubt |= set(rows) - set(leases.own)
    checks = []
    writes = []
    for partition, row in rows.items():
        key = make_row_key(partition)
        checks.append(Check(key.table, key.key, leases.observed[partition].version))
        writes.append(Write(key.table, key.key, row.to_text()))
    leases.number += 1
    leases.sent = now
    ticket = f"{TICKET}:{leases.number}"
    leases.pending = PendingRenewal(ticket, now, rows, reads)
    keys = (*(make_row_key(partition) for partition in reads), HEAD)
    state.perform(Transact(ticket, Transaction(tuple(checks), tuple(writes), keys)))


def _plan_rows(state: HostState, partitions, now: int) -> dict[Partition, LeaseRow]:
    leases = state.limits.leases
    assigned = assign_partitions(
        partitions, list_live_hosts(state, state.failure_domain, now)
    )
    witnesses = tuple(list_recent_peers(state, state.failure_domain, now))
    rows = {}
    for partition, lease in leases.own.items():
        if now < leases.promised.get(partition, 0):
            continue
        lease.witnesses |= frozenset(witnesses)
        lease.hold = min(lease.hold or MAX_HOLD_US, _choose_hold(witnesses))
        row = _make_row(state, lease.epoch, lease.clean, witnesses)
        full = max(lease.reached_by_all, state.limits.versions.reached_by_all)
        rows[partition] = evolve(row, full=full)
    for partition, lease in list_releasable(state, rows, assigned, now):
        clean = not state.is_busy and is_clean(lease, now)
        lease.valid_until = 0
        rows[partition] = evolve(rows[partition], released=True, clean=clean)
    for partition in _plan_takeovers(state, now):
        past = leases.observed[partition].row
        epoch = 1 if past is None else past.epoch + 1
        clean = past is None or (past.released and past.clean)
        row = _make_row(state, epoch, clean, witnesses)
        row = evolve(row, full=0 if past is None else past.full)
        if past is not None and not past.released:
            # The previous holder may extend its lease by promises of hosts that are not
            # witnesses in this row. Until it is renewed nobody may skip the hold.
            row = evolve(row, witnesses=(), hold=max(row.hold, past.hold))
        rows[partition] = row
    return rows


def _plan_takeovers(state: HostState, now: int) -> list[Partition]:
    """Return the partitions that this host may take over now."""
    leases = state.limits.leases
    if state.stopping or now - leases.started < STARTUP_DELAY_US:
        return []
    partitions = list_partitions(state.inventory, state.failure_domain)
    assigned = assign_partitions(
        partitions, list_live_hosts(state, state.failure_domain, now)
    )
    takeovers = []
    for partition in partitions:
        observed = leases.observed.get(partition)
        if observed is None or partition in leases.own:
            continue
        promised = leases.promised.get(partition, 0)
        if _may_take_over(state, observed, promised, assigned.get(partition), now):
            takeovers.append(partition)
    return takeovers


def _make_row(
    state: HostState, epoch: int, clean: bool, witnesses: tuple[Witness, ...]
) -> LeaseRow:
    return LeaseRow(
        holder=state.host,
        incarnation=state.incarnation,
        epoch=epoch,
        duration=LEASE_DURATION_US,
        hold=_choose_hold(witnesses),
        witnesses=witnesses,
        clean=clean,
    )


def _choose_hold(witnesses: tuple[Witness, ...]) -> int:
    return MAX_HOLD_US if witnesses else MAX_HOLD_WITHOUT_WITNESSES_US


def _may_take_over(
    state: HostState,
    observed: ObservedRow,
    promised: int,
    assigned: str | None,
    now: int,
) -> bool:
    free = max(compute_earliest_takeover(state, observed), promised)
    if assigned != state.host:
        free += PREFERRED_HOST_DELAY_US
    return now >= free


def _observe_rows(
    state: HostState, pending: PendingRenewal, result: TransactionResult, now: int
) -> None:
    leases = state.limits.leases
    for partition, read in zip(pending.reads, result.rows[:-1], strict=True):
        known = leases.observed.get(partition)
        if known is None or known.version != read.version:
            leases.observed[partition] = ObservedRow(_parse(read), read.version, now)
        lease = leases.own.get(partition)
        row = leases.observed[partition].row
        if lease is None:
            continue
        if not _is_own(state, row) or row.epoch != lease.epoch:
            del leases.own[partition]
            if lease.announced:
                state.emit(LeaseLost(now, partition, lease.epoch))


def _parse(read: Row) -> LeaseRow | None:
    return None if read.value is None else LeaseRow.from_text(read.value)


def _is_own(state: HostState, row: LeaseRow | None) -> bool:
    return row is not None and row.is_held_by(state.host, state.incarnation)


def _read_head(result: TransactionResult) -> int | None:
    """Return the configuration version at the transaction, None if unreadable."""
    value = result.rows[-1].value
    try:
        return 0 if value is None else Head.from_text(value).version
    except ConfigurationError:
        return None


def _adopt_own_rows(state: HostState, head: int | None, now: int) -> None:
    """Adopt leases whose rows name this incarnation.

    This covers writes whose answer was lost. Without a readable head the configuration
    version that the shares require is unknown, so nothing is adopted.
    """
    if head is None:
        return
    leases = state.limits.leases
    for partition, observed in leases.observed.items():
        if partition not in leases.own and _is_own(state, observed.row):
            row = observed.row
            lease = OwnLease(row.epoch, row.clean, now, frozenset(row.witnesses))
            lease.hold = row.hold
            lease.reached_by_all = row.full
            lease.least_version = head
            leases.own[partition] = lease


def _confirm(state: HostState, pending: PendingRenewal, now: int) -> None:
    leases = state.limits.leases
    jitter = state.draw(RENEW_JITTER_US)
    leases.next_renewal = pending.sent + RENEW_INTERVAL_US + jitter
    written = pending.rows.values()
    startup_end = leases.started + STARTUP_DELAY_US
    if pending.sent < startup_end:
        leases.next_renewal = startup_end
    leases.startup_complete = pending.sent >= startup_end
    fresh = any(
        not row.witnesses and row.hold > MAX_HOLD_WITHOUT_WITNESSES_US
        for row in written
    )
    if fresh or _plan_takeovers(state, now):
        _plan_retry(state, now)
    for partition, row in pending.rows.items():
        lease = leases.own.get(partition)
        if row.released or lease is None:
            continue
        lease.witnesses = frozenset(row.witnesses)
        lease.hold = row.hold
        if pending.sent < leases.promised.get(partition, 0):
            continue
        lease.table_until = max(lease.table_until, pending.sent + row.duration)
        lease.valid_until = max(lease.valid_until, pending.sent + row.duration)
        if not lease.announced:
            lease.announced = True
            state.emit(LeaseTaken(now, partition, lease.epoch, lease.clean))


EVENT_HANDLERS = {
    Tick: handle_tick,
    TransactionEnded: handle_transaction_ended,
    LeaseTaken: handle_lease_taken,
    LeaseLost: handle_lease_lost,
}

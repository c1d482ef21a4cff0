"""Lease extension: keeps leases valid while the table service is unreachable.

A holder that cannot renew a lease asks the witnesses in its row for promises not to
take the partition over. The lease stays valid while every witness has an unexpired
promise, up to the row's hold. Witnesses may take over without waiting for the hold, all
other hosts wait for it.
"""

from __future__ import annotations

from almondgap_core.effects import SendMessage
from almondgap_core.events import Tick
from almondgap_core.limits.messages import Promise, PromiseRequest
from almondgap_core.limits.partitions import Partition
from almondgap_core.limits.state import OwnLease
from almondgap_core.state import HostState
from almondgap_core.units import millis, seconds

#: Remaining validity below which a holder requests promises. Successful renewals keep
#: it above.
MIN_REMAINING_VALIDITY_US = seconds(5.5)

REQUEST_INTERVAL_US = seconds(1)

#: Length of a promise, from when the holder requested it.
PROMISE_DURATION_US = seconds(7)

#: A witness keeps its promise longer by a fixed time plus 1/50 of the length, to allow
#: for clock drift.
PROMISE_DRIFT_US = millis(50)
PROMISE_DRIFT_DIVISOR = 50


def handle_tick(state: HostState, event: Tick) -> None:
    """Request promises for leases whose renewals fail."""
    leases = state.limits.leases
    if event.now < leases.next_promise_request:
        return
    leases.next_promise_request = event.now + REQUEST_INTERVAL_US
    expiring = {
        partition: lease
        for partition, lease in leases.own.items()
        if _needs_promises(lease, event.now)
    }
    if expiring:
        _request_promises(state, expiring, event.now)
    for partition, lease in expiring.items():
        extend_validity(state, partition, lease, event.now)


def handle_promise_request(
    state: HostState, host: str, message: PromiseRequest, now: int
) -> None:
    """Promise not to take partitions that this host neither holds nor tries to take."""
    leases = state.limits.leases
    granted = []
    for index, epoch in zip(message.indexes, message.epochs, strict=False):
        partition = Partition(state.failure_domain, index)
        if _may_promise(state, partition, epoch):
            granted.append(index)
            drift = message.duration // PROMISE_DRIFT_DIVISOR + PROMISE_DRIFT_US
            until = now + message.duration + drift
            leases.promised[partition] = max(leases.promised.get(partition, 0), until)
    if granted:
        promise = Promise(message.number, state.incarnation, tuple(granted))
        state.perform(SendMessage(host, promise))


def handle_promise(state: HostState, host: str, message: Promise, now: int) -> None:
    """Record a promise, which counts from when it was requested."""
    leases = state.limits.leases
    sent = leases.promise_requests.get(message.number)
    if sent is None:
        return
    for index in message.indexes:
        lease = leases.own.get(Partition(state.failure_domain, index))
        if lease is not None:
            until = sent + PROMISE_DURATION_US
            key = (host, message.incarnation)
            lease.promises[key] = max(lease.promises.get(key, 0), until)
            extend_validity(state, Partition(state.failure_domain, index), lease, now)


def extend_validity(
    state: HostState, partition: Partition, lease: OwnLease, now: int
) -> None:
    """Extend the validity as far as the promises and the row's hold allow."""
    if not lease.table_until or lease.releasing_since is not None:
        return
    until = now + PROMISE_DURATION_US
    for witness in lease.witnesses:
        key = (witness.host, witness.incarnation)
        until = min(until, lease.promises.get(key, 0))
    until = min(until, lease.table_until + lease.hold)
    lease.valid_until = max(lease.valid_until, until)


def _needs_promises(lease: OwnLease, now: int) -> bool:
    left = lease.valid_until - now
    return (
        bool(lease.table_until)
        and lease.releasing_since is None
        and left < MIN_REMAINING_VALIDITY_US
    )


def _request_promises(
    state: HostState, expiring: dict[Partition, OwnLease], now: int
) -> None:
    leases = state.limits.leases
    leases.promise_number += 1
    number = leases.promise_number
    unexpired = {
        n: at
        for n, at in leases.promise_requests.items()
        if now < at + PROMISE_DURATION_US
    }
    leases.promise_requests = {**unexpired, number: now}
    indexes = tuple(partition.index for partition in expiring)
    epochs = tuple(lease.epoch for lease in expiring.values())
    message = PromiseRequest(number, PROMISE_DURATION_US, indexes, epochs)
    hosts = {w.host for lease in expiring.values() for w in lease.witnesses}
    for host in sorted(hosts):
        state.perform(SendMessage(host, message))


def _may_promise(state: HostState, partition: Partition, epoch: int) -> bool:
    leases = state.limits.leases
    if partition in leases.own or partition in leases.in_doubt:
        return False
    observed = leases.observed.get(partition)
    return observed is None or observed.row is None or observed.row.epoch <= epoch


EVENT_HANDLERS = {Tick: handle_tick}
MESSAGE_HANDLERS = {PromiseRequest: handle_promise_request, Promise: handle_promise}

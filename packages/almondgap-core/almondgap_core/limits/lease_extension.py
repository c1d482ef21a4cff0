"""Outage: go on without the table service while every witness promises not to take."""

from __future__ import annotations

from almondgap_core.effects import SendMessage
from almondgap_core.events import Tick
from almondgap_core.limits.messages import Promise, PromiseRequest
from almondgap_core.limits.partitions import Partition
from almondgap_core.limits.state import OwnLease
from almondgap_core.state import HostState
from almondgap_core.units import millis, seconds

#: Rest of validity from which a holder asks for promises; renewals keep it above.
MIN_REMAINING_VALIDITY_US = seconds(5.5)

REQUEST_INTERVAL_US = seconds(1)

#: Time for which a witness promises not to take, from when it was asked.
PROMISE_DURATION_US = seconds(7)

#: What a witness adds for clocks that run apart: at least, and per part of the time.
PROMISE_DRIFT_US = millis(50)
PROMISE_DRIFT_DIVISOR = 50


def handle_tick(state: HostState, event: Tick) -> None:
    """Ask for promises while renewals fail."""
    leases = state.limits.leases
    if event.now < leases.next_promise_request:
        return
    leases.next_promise_request = event.now + REQUEST_INTERVAL_US
    urgent = {
        partition: lease
        for partition, lease in leases.own.items()
        if _needs_promises(lease, event.now)
    }
    if urgent:
        _request_promises(state, urgent, event.now)
    for partition, lease in urgent.items():
        extend_validity(state, partition, lease, event.now)


def handle_promise_request(
    state: HostState, host: str, message: PromiseRequest, now: int
) -> None:
    """Promise not to take what this host neither took nor tries to take."""
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
    """Count a promise from when it was asked for."""
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
    """Move the end of validity as far as promises and the row's hold allow."""
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
    state: HostState, urgent: dict[Partition, OwnLease], now: int
) -> None:
    leases = state.limits.leases
    leases.promise_number += 1
    number = leases.promise_number
    kept = {
        n: at
        for n, at in leases.promise_requests.items()
        if now < at + PROMISE_DURATION_US
    }
    leases.promise_requests = {**kept, number: now}
    indexes = tuple(partition.index for partition in urgent)
    epochs = tuple(lease.epoch for lease in urgent.values())
    message = PromiseRequest(number, PROMISE_DURATION_US, indexes, epochs)
    hosts = {w.host for lease in urgent.values() for w in lease.witnesses}
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

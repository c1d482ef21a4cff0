"""Slots: the owner of targets hands their slots out, one at a time."""

from __future__ import annotations

from almondgap_core.effects import SendMessage
from almondgap_core.events import Event, PeerMessage, Tick
from almondgap_core.messages import Message
from almondgap_core.state import HostState
from almondgap_core.steering.ejection import record_result
from almondgap_core.steering.messages import (
    DenialReason,
    SlotDenial,
    SlotGrant,
    SlotRelease,
    SlotRequest,
)
from almondgap_core.steering.ownership import add_clock_margin, list_owned_targets
from almondgap_core.steering.queue import FairQueue, QueueEntry, SlotRequestKey
from almondgap_core.steering.slot_result import SlotResult
from almondgap_core.steering.slot_state import Grant, ServiceCounters
from almondgap_core.steering.target_selection import choose_target
from almondgap_core.units import MICROS_PER_MILLI

#: Asks that may wait for each slot of the targets that a host owns.
MAX_QUEUED_PER_SLOT = 8

#: Time between two looks at what ran out.
SWEEP_INTERVAL_US = 50 * MICROS_PER_MILLI


def send(state: HostState, host: str, message: Message, now: int) -> None:
    """Send a message to a host, which may be this one."""
    if host == state.host:
        state.emit(PeerMessage(now, host, message))
    else:
        state.perform(SendMessage(host, message))


def handle_request(state: HostState, host: str, message: SlotRequest, now: int) -> None:
    """Grant a slot, let the ask wait, or deny it.

    An ask that came before gets the same answer; none jumps the queue.
    """
    book = state.slots
    key = (host, message.number)
    grant = book.grants.get(key)
    if grant is not None:
        send(state, host, SlotGrant(message.number, grant.target), now)
        return
    queue = _get_queue(state, message.service, now)
    if queue is None:
        _deny(state, key, DenialReason.NOT_OWNER, now)
        return
    if key in queue:
        return
    entry = _build_queue_entry(state, key, message, now)
    if not queue:
        target = choose_target(state, message.service, message.exclude, now)
        if target is not None:
            _grant(state, entry, target.name, now)
            return
    if message.wait <= 0:
        _deny(state, key, DenialReason.BUSY, now)
    elif _would_expire_in_queue(state, queue, entry, now):
        _deny(state, key, DenialReason.TOO_LATE, now)
    else:
        dropped = queue.push(entry)
        if dropped is not None:
            _deny(state, dropped.key, DenialReason.FULL, now)
        _serve_queue(state, message.service, now)


def handle_release(state: HostState, host: str, message: SlotRelease, now: int) -> None:
    """Free a slot, unless the target may still be at work, or a place in the queue."""
    key = (host, message.number)
    grant = state.slots.grants.get(key)
    if grant is None:
        for queue in state.slots.queues.values():
            queue.remove(key)
        return
    if grant.returned:
        return
    result = _read_result(message.result)
    grant.returned = True
    if result.frees_slot:
        _free_slot(state, key, now)
    _record_outcome(state, grant, result, now)
    _serve_queue(state, grant.service, now)


def handle_tick(state: HostState, event: Tick) -> None:
    """Free slots whose time is over and drop asks that cannot make it."""
    book = state.slots
    if event.now < book.next_sweep:
        return
    book.next_sweep = event.now + SWEEP_INTERVAL_US
    over = [key for key, grant in book.grants.items() if event.now >= grant.expires_at]
    for key in over:
        _free_slot(state, key, event.now)
    for service, queue in list(book.queues.items()):
        _sweep(state, service, queue, event.now)


def count_waiting(state: HostState, service: str) -> int:
    """Return how many asks for a service wait at this host."""
    return len(state.slots.queues.get(service, ()))


def _sweep(state: HostState, service: str, queue: FairQueue, now: int) -> None:
    if _get_queue(state, service, now) is None:
        for entry in list(queue.keys.values()):
            queue.remove(entry.key)
            _deny(state, entry.key, DenialReason.NOT_OWNER, now)
        del state.slots.queues[service]
        return
    for entry in queue.remove_expired(now, _compute_mean_hold_time(state, service)):
        _deny(state, entry.key, DenialReason.TOO_LATE, now)
    _serve_queue(state, service, now)


def _get_queue(state: HostState, service: str, now: int) -> FairQueue | None:
    """Return the queue of a service, or None if this host owns no target of it."""
    if state.inventory is None or service not in state.inventory.services:
        return None
    if state.lifecycle.may_release_leases:
        return None
    owned = list_owned_targets(state, service, now)
    if not owned:
        return None
    limit = MAX_QUEUED_PER_SLOT * sum(target.slots for target in owned)
    queue = state.slots.queues.setdefault(service, FairQueue(limit))
    queue.limit = limit
    return queue


def _build_queue_entry(
    state: HostState, key: SlotRequestKey, message: SlotRequest, now: int
) -> QueueEntry:
    account = state.inventory.accounts.get(message.account)
    weight = 1 if account is None else account.weight
    deadline = state.inventory.services[message.service].deadline
    remaining = min(message.remaining, deadline)
    return QueueEntry(
        key,
        message.service,
        message.account,
        weight,
        message.exclude,
        wait_until=now + message.wait,
        deadline=now + remaining,
        expires_at=now + add_clock_margin(remaining),
    )


def _compute_mean_hold_time(state: HostState, service: str) -> int:
    """Return the mean time that a slot of a service is held, 0 if unknown."""
    target_health = state.slots.target_health
    names = state.inventory.services[service].targets
    known = [target_health[name].latency for name in names if name in target_health]
    known = [latency for latency in known if latency]
    return int(sum(known) / len(known)) if known else 0


def _would_expire_in_queue(
    state: HostState, queue: FairQueue, entry: QueueEntry, now: int
) -> bool:
    """Return whether an ask cannot expect a slot while it is of use."""
    hold_time = _compute_mean_hold_time(state, entry.service)
    slots = queue.limit // MAX_QUEUED_PER_SLOT
    ahead = queue.count_ahead(entry.account, entry.weight)
    return entry.is_expired(now + int(ahead * hold_time / slots), hold_time)


def _serve_queue(state: HostState, service: str, now: int) -> None:
    """Hand free slots out to those that wait."""
    queue = state.slots.queues.get(service)
    if not queue or _get_queue(state, service, now) is None:
        return

    hold_time = _compute_mean_hold_time(state, service)

    def choose(entry: QueueEntry) -> str | None:
        if entry.is_expired(now, hold_time):
            return None
        target = choose_target(state, service, entry.exclude, now)
        return None if target is None else target.name

    used = state.slots.account_slots.setdefault(service, {})
    while True:
        served = queue.serve(used, choose)
        if served is None:
            return
        _grant(state, *served, now)


def _grant(state: HostState, entry: QueueEntry, target: str, now: int) -> None:
    book = state.slots
    book.grants[entry.key] = Grant(
        target, entry.service, entry.account, now, entry.expires_at
    )
    book.slots_used[target] = book.slots_used.get(target, 0) + 1
    used = book.account_slots.setdefault(entry.service, {})
    used[entry.account] = used.get(entry.account, 0) + 1
    _get_counters(state, entry.service).granted += 1
    host, number = entry.key
    send(state, host, SlotGrant(number, target), now)


def _free_slot(state: HostState, key: SlotRequestKey, now: int) -> None:
    book = state.slots
    grant = book.grants.pop(key)
    book.slots_used[grant.target] -= 1
    used = book.account_slots[grant.service]
    used[grant.account] -= 1
    if not used[grant.account]:
        del used[grant.account]


def _record_outcome(
    state: HostState, grant: Grant, result: SlotResult, now: int
) -> None:
    if state.inventory is None:
        return
    target = state.inventory.targets.get(grant.target)
    if target is not None:
        record_result(state, target, result, now - grant.granted_at, now)
    if result.is_target_failure:
        _get_counters(state, grant.service).failed += 1


def _get_counters(state: HostState, service: str) -> ServiceCounters:
    return state.slots.service_counters.setdefault(service, ServiceCounters())


def _read_result(value: int) -> SlotResult:
    try:
        return SlotResult(value)
    except ValueError:
        return SlotResult.UNSETTLED


def _deny(
    state: HostState, key: SlotRequestKey, reason: DenialReason, now: int
) -> None:
    host, number = key
    send(state, host, SlotDenial(number, int(reason)), now)


EVENT_HANDLERS: dict[type[Event], object] = {Tick: handle_tick}
MESSAGE_HANDLERS = {SlotRequest: handle_request, SlotRelease: handle_release}

"""Asking: a request of this host looks for a slot, at one owner after the other."""

from __future__ import annotations

from almondgap_core.events import (
    Event,
    SlotAsked,
    SlotGranted,
    SlotRefused,
    SlotReleased,
    Tick,
)
from almondgap_core.state import HostState
from almondgap_core.steering.events import SlotWithdrawn
from almondgap_core.steering.messages import (
    SlotDenial,
    SlotGrant,
    SlotRelease,
    SlotRequest,
)
from almondgap_core.steering.owner_selection import (
    list_failed_domains,
    list_owner_attempts,
)
from almondgap_core.steering.ownership import list_owned_targets
from almondgap_core.steering.slot_result import SlotResult, classify_outcome
from almondgap_core.steering.slot_state import HeldSlot, SlotAcquisition
from almondgap_core.steering.slots import send
from almondgap_core.units import MICROS_PER_MILLI

#: Wait for an owner's answer, beside the time in its queue.
REPLY_TIMEOUT_US = 150 * MICROS_PER_MILLI

#: Numbers of asks that one run of a host has, before the next run's begin.
NUMBERS_PER_INCARNATION = 2**20


def handle_slot_asked(state: HostState, event: SlotAsked) -> None:
    """Begin to look for a slot, at this host first."""
    ask = SlotAcquisition(
        0, event.req_id, event.service, event.account, event.deadline, event.exclude
    )
    if event.service not in state.inventory.services:
        _refuse(state, ask, event.now)
    elif _tries_own_targets_first(state, event):
        _send_request(state, ask, state.host, False, event.now)
    else:
        _advance(state, ask, event.now)


def _tries_own_targets_first(state: HostState, event: SlotAsked) -> bool:
    if state.failure_domain in list_failed_domains(state, event.exclude):
        return False
    return bool(list_owned_targets(state, event.service, event.now))


def handle_grant(state: HostState, host: str, message: SlotGrant, now: int) -> None:
    """Use the slot, or give it back if nobody here needs it.

    A repeat of a grant that was used once is no reason to give anything back.
    """
    book = state.slots
    if message.number in book.used_numbers:
        return
    ask = book.acquisitions.get(message.number)
    if ask is None or ask.owner != host:
        _release_unused(state, host, message.number, now)
        return
    _forget(state, ask)
    target = state.inventory.targets.get(message.target)
    if target is None or target.draining or now >= ask.deadline:
        _release_unused(state, host, message.number, now)
        _advance(state, ask, now)
        return
    book.used_numbers[message.number] = ask.deadline
    book.held_slots[ask.req_id, message.target] = HeldSlot(host, message.number)
    state.emit(SlotGranted(now, ask.req_id, message.target))


def handle_denial(state: HostState, host: str, message: SlotDenial, now: int) -> None:
    """Ask the next owner."""
    ask = state.slots.acquisitions.get(message.number)
    if ask is not None and ask.owner == host:
        _forget(state, ask)
        _advance(state, ask, now)


def handle_slot_released(state: HostState, event: SlotReleased) -> None:
    """Tell the owner how the slot was used."""
    held = state.slots.held_slots.pop((event.req_id, event.target), None)
    if held is not None:
        result = classify_outcome(event.outcome, event.status, event.shed)
        answer = SlotRelease(held.number, int(result))
        send(state, held.owner, answer, event.now)


def handle_slot_withdrawn(state: HostState, event: SlotWithdrawn) -> None:
    """Stop looking for a slot."""
    number = state.slots.acquisition_numbers.get(event.req_id)
    if number is not None:
        _abandon(state, state.slots.acquisitions[number], event.now)


def handle_tick(state: HostState, event: Tick) -> None:
    """Go on where an owner does not answer; give up at the deadline."""
    book = state.slots
    late = [ask for ask in book.acquisitions.values() if event.now >= ask.timeout]
    for ask in late:
        _abandon(state, ask, event.now)
        _advance(state, ask, event.now)
    over = [n for n, deadline in book.used_numbers.items() if event.now >= deadline]
    for number in over:
        del book.used_numbers[number]


def _advance(state: HostState, ask: SlotAcquisition, now: int) -> None:
    if ask.remaining_owners is None:
        ask.remaining_owners = list_owner_attempts(state, ask.service, ask.exclude, now)
    if not ask.remaining_owners or now >= ask.deadline:
        _refuse(state, ask, now)
        return
    owner, queues = ask.remaining_owners.popleft()
    _send_request(state, ask, owner, queues, now)


def _send_request(
    state: HostState, ask: SlotAcquisition, owner: str, queues: bool, now: int
) -> None:
    book = state.slots
    remaining = ask.deadline - now
    wait = max(remaining - REPLY_TIMEOUT_US, 0) if queues else 0
    if queues and owner == state.host:
        wait = remaining
    book.last_number += 1
    ask.number = state.incarnation * NUMBERS_PER_INCARNATION + book.last_number
    ask.owner = owner
    ask.timeout = min(now + wait + REPLY_TIMEOUT_US, ask.deadline)
    book.acquisitions[ask.number] = ask
    book.acquisition_numbers[ask.req_id] = ask.number
    message = SlotRequest(
        ask.number,
        ask.service,
        ask.account,
        remaining,
        wait,
        ask.exclude,
    )
    send(state, owner, message, now)


def _abandon(state: HostState, ask: SlotAcquisition, now: int) -> None:
    _forget(state, ask)
    _release_unused(state, ask.owner, ask.number, now)


def _forget(state: HostState, ask: SlotAcquisition) -> None:
    del state.slots.acquisitions[ask.number]
    state.slots.acquisition_numbers.pop(ask.req_id, None)


def _release_unused(state: HostState, host: str, number: int, now: int) -> None:
    send(state, host, SlotRelease(number, int(SlotResult.UNUSED)), now)


def _refuse(state: HostState, ask: SlotAcquisition, now: int) -> None:
    detail = f"No target of {ask.service} has a free slot."
    state.emit(SlotRefused(now, ask.req_id, detail))


EVENT_HANDLERS: dict[type[Event], object] = {
    SlotAsked: handle_slot_asked,
    SlotReleased: handle_slot_released,
    SlotWithdrawn: handle_slot_withdrawn,
    Tick: handle_tick,
}
MESSAGE_HANDLERS = {SlotGrant: handle_grant, SlotDenial: handle_denial}

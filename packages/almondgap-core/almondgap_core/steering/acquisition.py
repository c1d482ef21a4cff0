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
from almondgap_core.steering.allocation import send
from almondgap_core.steering.events import SlotWithdrawn
from almondgap_core.steering.messages import (
    SlotAsk,
    SlotDenial,
    SlotGrant,
    SlotReturn,
)
from almondgap_core.steering.owner_selection import list_failed_domains, make_plan
from almondgap_core.steering.ownership import list_owned_targets
from almondgap_core.steering.slot_result import SlotResult, judge
from almondgap_core.steering.slot_state import Ask, HeldSlot
from almondgap_core.units import MICROS_PER_MILLI

#: Wait for an owner's answer, beside the time in its queue.
ANSWER_US = 150 * MICROS_PER_MILLI

#: Numbers of asks that one run of a host has, before the next run's begin.
NUMBERS_PER_RUN = 2**20


def handle_slot_asked(state: HostState, event: SlotAsked) -> None:
    """Begin to look for a slot, at this host first."""
    ask = Ask(
        0, event.req_id, event.service, event.account, event.deadline, event.exclude
    )
    if event.service not in state.inventory.services:
        _refuse(state, ask, event.now)
    elif _asks_itself_first(state, event):
        _send_ask(state, ask, state.host, False, event.now)
    else:
        _advance(state, ask, event.now)


def _asks_itself_first(state: HostState, event: SlotAsked) -> bool:
    if state.failure_domain in list_failed_domains(state, event.exclude):
        return False
    return bool(list_owned_targets(state, event.service, event.now))


def handle_grant(state: HostState, host: str, message: SlotGrant, now: int) -> None:
    """Use the slot, or give it back if nobody here needs it.

    A repeat of a grant that was used once is no reason to give anything back.
    """
    book = state.slots
    if message.number in book.spent:
        return
    ask = book.asks.get(message.number)
    if ask is None or ask.owner != host:
        _give_back(state, host, message.number, now)
        return
    _forget(state, ask)
    target = state.inventory.targets.get(message.target)
    if target is None or target.draining or now >= ask.deadline:
        _give_back(state, host, message.number, now)
        _advance(state, ask, now)
        return
    book.spent[message.number] = ask.deadline
    book.held[ask.req_id, message.target] = HeldSlot(host, message.number)
    state.emit(SlotGranted(now, ask.req_id, message.target))


def handle_denial(state: HostState, host: str, message: SlotDenial, now: int) -> None:
    """Ask the next owner."""
    ask = state.slots.asks.get(message.number)
    if ask is not None and ask.owner == host:
        _forget(state, ask)
        _advance(state, ask, now)


def handle_slot_released(state: HostState, event: SlotReleased) -> None:
    """Tell the owner how the slot was used."""
    held = state.slots.held.pop((event.req_id, event.target), None)
    if held is not None:
        result = judge(event.outcome, event.status, event.shed)
        answer = SlotReturn(held.number, int(result))
        send(state, held.owner, answer, event.now)


def handle_slot_withdrawn(state: HostState, event: SlotWithdrawn) -> None:
    """Stop looking for a slot."""
    number = state.slots.ask_numbers.get(event.req_id)
    if number is not None:
        _abandon(state, state.slots.asks[number], event.now)


def handle_tick(state: HostState, event: Tick) -> None:
    """Go on where an owner does not answer; give up at the deadline."""
    book = state.slots
    late = [ask for ask in book.asks.values() if event.now >= ask.timeout]
    for ask in late:
        _abandon(state, ask, event.now)
        _advance(state, ask, event.now)
    over = [n for n, deadline in book.spent.items() if event.now >= deadline]
    for number in over:
        del book.spent[number]


def _advance(state: HostState, ask: Ask, now: int) -> None:
    if ask.plan is None:
        ask.plan = make_plan(state, ask.service, ask.exclude, now)
    if not ask.plan or now >= ask.deadline:
        _refuse(state, ask, now)
        return
    owner, waits = ask.plan.popleft()
    _send_ask(state, ask, owner, waits, now)


def _send_ask(state: HostState, ask: Ask, owner: str, waits: bool, now: int) -> None:
    book = state.slots
    remaining = ask.deadline - now
    wait = max(remaining - ANSWER_US, 0) if waits else 0
    if waits and owner == state.host:
        wait = remaining
    book.asked += 1
    ask.number = state.incarnation * NUMBERS_PER_RUN + book.asked
    ask.owner = owner
    ask.timeout = min(now + wait + ANSWER_US, ask.deadline)
    book.asks[ask.number] = ask
    book.ask_numbers[ask.req_id] = ask.number
    message = SlotAsk(
        ask.number, ask.service, ask.account, remaining, wait, ask.exclude
    )
    send(state, owner, message, now)


def _abandon(state: HostState, ask: Ask, now: int) -> None:
    _forget(state, ask)
    _give_back(state, ask.owner, ask.number, now)


def _forget(state: HostState, ask: Ask) -> None:
    del state.slots.asks[ask.number]
    state.slots.ask_numbers.pop(ask.req_id, None)


def _give_back(state: HostState, host: str, number: int, now: int) -> None:
    send(state, host, SlotReturn(number, int(SlotResult.UNUSED)), now)


def _refuse(state: HostState, ask: Ask, now: int) -> None:
    detail = f"No target of {ask.service} has a free slot."
    state.emit(SlotRefused(now, ask.req_id, detail))


EVENT_HANDLERS: dict[type[Event], object] = {
    SlotAsked: handle_slot_asked,
    SlotReleased: handle_slot_released,
    SlotWithdrawn: handle_slot_withdrawn,
    Tick: handle_tick,
}
MESSAGE_HANDLERS = {SlotGrant: handle_grant, SlotDenial: handle_denial}

"""Minting: the operation prefix that a look-up hands out."""

from __future__ import annotations

from almondgap_core.effects import SendMessage
from almondgap_core.events import Tick
from almondgap_core.limits import leases
from almondgap_core.limits.partitions import Partition, list_partitions
from almondgap_core.operations.books import find_book
from almondgap_core.operations.decision import Decision
from almondgap_core.operations.key import OperationPrefix
from almondgap_core.operations.messages import PrefixOffer
from almondgap_core.operations.state import Hint
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_SECOND

#: Time between two offers of a prefix to the hosts of the same failure domain.
OFFER_INTERVAL_US = 5 * MICROS_PER_SECOND

#: Time for which an offer may be handed on.
OFFER_VALID_US = 15 * MICROS_PER_SECOND


def mint_prefixes(state: HostState, now: int) -> tuple[str, ...]:
    """Return the prefixes for callers' next operations, none if none is known."""
    prefixes = _list_own(state, now) or _list_hinted(state, now)
    return tuple(sorted(str(prefix) for prefix in prefixes))


def handle_tick(state: HostState, event: Tick) -> None:
    """Tell the hosts of the same failure domain which prefixes this host holds."""
    operations = state.operations
    if state.inventory is None or event.now < operations.next_offer:
        return
    operations.next_offer = event.now + OFFER_INTERVAL_US
    neighbours = [
        entry.name
        for entry in state.members.listed.values()
        if entry.failure_domain == state.failure_domain and entry.name != state.host
    ]
    for prefix in _list_own(state, event.now):
        place = prefix.partition
        offer = PrefixOffer(
            place.failure_domain, place.index, prefix.epoch, prefix.window
        )
        for host in neighbours:
            state.perform(SendMessage(host, offer))


def handle_prefix_offer(state: HostState, host: str, message: PrefixOffer, now: int):
    """Remember a prefix that another host holds."""
    partition = Partition(message.failure_domain, message.index)
    prefix = OperationPrefix(partition, message.epoch, message.window)
    state.operations.hints[partition] = Hint(host, prefix, now)


def _list_own(state: HostState, now: int) -> list[OperationPrefix]:
    if state.stopping or "." in state.failure_domain:
        return []
    prefixes = []
    for partition in list_partitions(state.inventory, state.failure_domain):
        held = leases.find_held(state, partition, now)
        if held is None:
            continue
        book = find_book(state, OperationPrefix(partition, held.epoch, 0), held, now)
        if not isinstance(book, Decision):
            window = book.find_window(now)
            prefixes.append(OperationPrefix(partition, held.epoch, window))
    return prefixes


def _list_hinted(state: HostState, now: int) -> list[OperationPrefix]:
    hints = state.operations.hints.values()
    return [hint.prefix for hint in hints if now - hint.heard < OFFER_VALID_US]


EVENT_HANDLERS = {Tick: handle_tick}
MESSAGE_HANDLERS = {PrefixOffer: handle_prefix_offer}

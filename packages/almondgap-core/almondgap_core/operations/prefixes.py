"""Prefixes: decides which operation prefixes a look-up issues.

A host issues prefixes of the partitions it holds. Hosts that hold none issue those that
holders in the same failure domain announce every few seconds.
"""

from __future__ import annotations

from almondgap_core.effects import SendMessage
from almondgap_core.events import Tick
from almondgap_core.limits import leases
from almondgap_core.limits.partitions import Partition, list_partitions
from almondgap_core.operations.books import find_book
from almondgap_core.operations.decision import Decision
from almondgap_core.operations.key import OperationPrefix
from almondgap_core.operations.messages import PrefixAnnouncement
from almondgap_core.operations.state import KnownPrefix
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_SECOND

#: Time between two announcements of a prefix to the hosts of the failure domain.
ANNOUNCE_INTERVAL_US = 5 * MICROS_PER_SECOND

#: Time for which an announced prefix may be issued.
ANNOUNCEMENT_VALIDITY_US = 15 * MICROS_PER_SECOND


def issue_prefixes(state: HostState, now: int) -> tuple[str, ...]:
    """Return the prefixes for callers' next operations; empty if none is known."""
    prefixes = _list_own_prefixes(state, now) or _list_known_prefixes(state, now)
    return tuple(sorted(str(prefix) for prefix in prefixes))


def handle_tick(state: HostState, event: Tick) -> None:
    """Announce this host's prefixes to the other hosts of its failure domain."""
    operations = state.operations
    if state.inventory is None or event.now < operations.next_announcement:
        return
    operations.next_announcement = event.now + ANNOUNCE_INTERVAL_US
    peers = [
        entry.name
        for entry in state.members.listed.values()
        if entry.failure_domain == state.failure_domain and entry.name != state.host
    ]
    for prefix in _list_own_prefixes(state, event.now):
        partition = prefix.partition
        announcement = PrefixAnnouncement(
            partition.failure_domain, partition.index, prefix.epoch, prefix.window
        )
        for host in peers:
            state.perform(SendMessage(host, announcement))


def handle_prefix_announcement(
    state: HostState, host: str, message: PrefixAnnouncement, now: int
):
    """Store a prefix that another host announced."""
    partition = Partition(message.failure_domain, message.index)
    prefix = OperationPrefix(partition, message.epoch, message.window)
    state.operations.known_prefixes[partition] = KnownPrefix(host, prefix, now)


def _list_own_prefixes(state: HostState, now: int) -> list[OperationPrefix]:
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


def _list_known_prefixes(state: HostState, now: int) -> list[OperationPrefix]:
    known = state.operations.known_prefixes.values()
    return [
        entry.prefix
        for entry in known
        if now - entry.heard_at < ANNOUNCEMENT_VALIDITY_US
    ]


EVENT_HANDLERS = {Tick: handle_tick}
MESSAGE_HANDLERS = {PrefixAnnouncement: handle_prefix_announcement}

"""Directory of partition holders.

Entries come from heartbeats within a failure domain and from directory responses of the
others. They are hints for routing only: a holder checks its own lease at every use.
"""

from __future__ import annotations

import hashlib

from almondgap_core.effects import SendMessage
from almondgap_core.limits.leases import find_held
from almondgap_core.limits.partitions import Partition, list_partitions
from almondgap_core.membership.messages import DirectoryRequest, DirectoryResponse
from almondgap_core.membership.state import Holding
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_SECOND

#: Entries that were not confirmed for this long are ignored and evicted.
ENTRY_TTL_US = 30 * MICROS_PER_SECOND


def find_owner(state: HostState, partition: Partition, now: int) -> str | None:
    """Return the host that is thought to hold a partition, or None if unknown."""
    if find_held(state, partition, now) is not None:
        return state.host
    entry = state.members.directory.get(partition)
    if entry is None or now - entry.heard > ENTRY_TTL_US or entry.host == state.host:
        return None
    return entry.host


def record_holding(
    state: HostState, partition: Partition, host: str, epoch: int, now: int
) -> None:
    """Record a holder unless an unexpired entry has a higher epoch."""
    known = state.members.directory.get(partition)
    if known is None or epoch >= known.epoch or now - known.heard > ENTRY_TTL_US:
        state.members.directory[partition] = Holding(host, epoch, now)


def list_held(state: HostState, now: int) -> list[tuple[Partition, int]]:
    """Return the partitions that this host holds, each with its epoch."""
    if state.inventory is None:
        return []
    held = []
    for partition in list_partitions(state.inventory, state.failure_domain):
        lease = find_held(state, partition, now)
        if lease is not None:
            held.append((partition, lease.epoch))
    return held


def compute_digest(state: HostState, failure_domain: str) -> int:
    """Return a 32-bit digest of a failure domain's entries."""
    rows = _list_rows(state, failure_domain)
    text = ";".join(f"{row[0]},{row[1]},{row[2]}" for row in rows)
    digest = hashlib.blake2b(text.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")


def check_digest(state: HostState, host: str, failure_domain: str, digest, now):
    """Confirm the entries of another failure domain, or request them if they differ."""
    if compute_digest(state, failure_domain) != digest:
        state.perform(SendMessage(host, DirectoryRequest()))
        return
    for partition, entry in state.members.directory.items():
        if partition.failure_domain == failure_domain:
            entry.heard = now


def handle_directory_request(
    state: HostState, host: str, message: DirectoryRequest, now: int
) -> None:
    """Send the entries of this failure domain."""
    rows = _list_rows(state, state.failure_domain)
    columns = zip(*rows, strict=True) if rows else ((), (), ())
    answer = DirectoryResponse(state.failure_domain, *map(tuple, columns))
    state.perform(SendMessage(host, answer))


def handle_directory_response(
    state: HostState, host, message: DirectoryResponse, now: int
) -> None:
    """Record the entries of another failure domain."""
    rows = zip(message.indexes, message.epochs, message.holders, strict=False)
    for index, epoch, holder in rows:
        partition = Partition(message.failure_domain, index)
        record_holding(state, partition, holder, epoch, now)


def evict_expired_entries(state: HostState, now: int) -> None:
    """Drop entries that were not confirmed within ``ENTRY_TTL_US``."""
    directory = state.members.directory
    expired = [
        partition
        for partition, entry in directory.items()
        if now - entry.heard > ENTRY_TTL_US
    ]
    for partition in expired:
        del directory[partition]


def _list_rows(state: HostState, failure_domain: str) -> list[tuple[int, int, str]]:
    return sorted(
        (partition.index, entry.epoch, entry.host)
        for partition, entry in state.members.directory.items()
        if partition.failure_domain == failure_domain
    )


MESSAGE_HANDLERS = {
    DirectoryRequest: handle_directory_request,
    DirectoryResponse: handle_directory_response,
}

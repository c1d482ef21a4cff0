"""The directory: which host holds which partition, as far as is known here.

Only a hint for where to ask. The holder itself checks its lease at every use.
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

#: Age at which an entry that nobody confirms is no longer used.
ENTRY_TTL_US = 30 * MICROS_PER_SECOND


def find_owner(state: HostState, partition: Partition, now: int) -> str | None:
    """Return the host that is said to hold a partition, or None if none is known."""
    if find_held(state, partition, now) is not None:
        return state.host
    entry = state.members.directory.get(partition)
    if entry is None or now - entry.heard > ENTRY_TTL_US or entry.host == state.host:
        return None
    return entry.host


def record_holding(
    state: HostState, partition: Partition, host: str, epoch: int, now: int
) -> None:
    """Take an entry over unless a later holder is known; the greatest epoch wins."""
    known = state.members.directory.get(partition)
    if known is None or epoch >= known.epoch or now - known.heard > ENTRY_TTL_US:
        state.members.directory[partition] = Holding(host, epoch, now)


def list_held(state: HostState, now: int) -> list[tuple[Partition, int]]:
    """Return the partitions of this failure domain that this host holds, by epoch."""
    if state.inventory is None:
        return []
    held = []
    for partition in list_partitions(state.inventory, state.failure_domain):
        lease = find_held(state, partition, now)
        if lease is not None:
            held.append((partition, lease.epoch))
    return held


def compute_digest(state: HostState, failure_domain: str) -> int:
    """Return the digest of a failure domain's entries, 32 bits."""
    rows = _list_rows(state, failure_domain)
    text = ";".join(f"{row[0]},{row[1]},{row[2]}" for row in rows)
    digest = hashlib.blake2b(text.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")


def check_digest(state: HostState, host: str, failure_domain: str, digest, now):
    """Confirm the entries of another failure domain, or ask for them anew."""
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
    """Take over the entries of another failure domain."""
    rows = zip(message.indexes, message.epochs, message.holders, strict=False)
    for index, epoch, holder in rows:
        partition = Partition(message.failure_domain, index)
        record_holding(state, partition, holder, epoch, now)


def evict_expired_entries(state: HostState, now: int) -> None:
    """Drop entries that nobody confirmed for long."""
    directory = state.members.directory
    old = [
        partition
        for partition, entry in directory.items()
        if now - entry.heard > ENTRY_TTL_US
    ]
    for partition in old:
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

"""Look-ups: which entry hosts a caller should use for a service."""

from __future__ import annotations

from attrs import frozen

from almondgap_core.operations.minting import mint_prefix
from almondgap_core.state import HostState
from almondgap_core.steering.targets import list_owned_targets


@frozen
class EntryHost:
    """One host that a caller may send its request to."""

    host: str
    address: str
    port: int
    weight: int


@frozen
class LookupAnswer:
    """What a look-up returns.

    :ivar hosts: entry hosts, best first.
    :ivar ttl: seconds for which the caller may keep the answer.
    :ivar operation_prefix: start of the caller's ``Idempotency-Key`` values, empty
        if no host is known that would answer for them.
    """

    service: str
    version: int
    hosts: tuple[EntryHost, ...]
    ttl: int
    operation_prefix: str = ""


def look_up(state: HostState, service: str, now: int) -> LookupAnswer:
    """Return the entry hosts for ``service``, this host first if it can serve it."""
    entries = [entry for entry in state.members.listed.values() if not entry.leaving]
    own = bool(list_owned_targets(state, service, now))
    entries.sort(key=lambda entry: (entry.name != state.host or not own, entry.name))
    hosts = tuple(
        EntryHost(entry.name, entry.address, entry.caller_port, 1) for entry in entries
    )
    prefix = mint_prefix(state, now)
    return LookupAnswer(
        service, state.settings.version, hosts, state.inventory.lookup_ttl, prefix
    )

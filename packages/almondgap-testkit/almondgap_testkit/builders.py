"""Builders of test data."""

from __future__ import annotations

import copy
import json
import sys
from typing import Any

from almondgap_core.events import HostEntry, RequestArrived
from almondgap_core.keys.credential import Credential, compute_digest
from almondgap_core.limits.catalogue import compute_share, list_limits
from almondgap_core.limits.partitions import list_partitions
from almondgap_core.limits.pool import OWN_SOURCE, Pool, Source
from almondgap_core.limits.state import OwnLease, VersionsState
from almondgap_core.settings.inventory import Inventory
from almondgap_core.settings.reader import Report
from almondgap_core.state import HostState
from almondgap_core.units import TOKEN, seconds

PEPPER = b"pepper"
KEY = "agk_one_secret"
HOST = "a-1"
DOMAIN = "a"

_DOCUMENT: dict[str, Any] = {
    "regions": {"north": {"failure_domains": ["a", "b"], "capacity_per_s": 100}},
    "services": {
        "shop": {
            "shed_is_not_run": True,
            "targets": [
                {
                    "name": "shop-1",
                    "failure_domain": "a",
                    "address": "127.0.0.1",
                    "port": 9001,
                    "slots": 2,
                    "connections": 10,
                },
                {
                    "name": "shop-2",
                    "failure_domain": "a",
                    "address": "127.0.0.1",
                    "port": 9002,
                    "slots": 2,
                    "connections": 10,
                },
            ],
        }
    },
    "accounts": {
        "one": {
            "rate_per_s": 10,
            "burst": 5,
            "keys": [{"id": "one", "digest": compute_digest(KEY, PEPPER)}],
        }
    },
}


def build_document() -> dict[str, Any]:
    """Return the document of a small inventory, to be changed by a test."""
    return copy.deepcopy(_DOCUMENT)


def build_text() -> str:
    """Return the text of a small inventory."""
    return json.dumps(_DOCUMENT)


def build_inventory(document: dict[str, Any] | None = None) -> Inventory:
    """Return a small inventory."""
    report = Report("test")
    inventory = Inventory.from_document(document or build_document(), report)
    report.raise_errors()
    return inventory


def build_entry(name: str = HOST, domain: str = DOMAIN) -> HostEntry:
    """Return a row of the platform's list of hosts."""
    return HostEntry(name, domain, "127.0.0.1", 8080, 8082)


def build_state(inventory: Inventory | None = None) -> HostState:
    """Return a host that has a configuration and knows itself."""
    state = HostState(HOST, DOMAIN, 1)
    state.settings.inventory = inventory or build_inventory()
    state.settings.version = 1
    state.members.listed = {HOST: build_entry()}
    state.keys.confirmed = sys.maxsize
    hold_all(state)
    return state


def hold_all(state: HostState) -> None:
    """Let a host hold every partition of its failure domain for a very long time."""
    kept = {state.settings.version: state.inventory}
    version = state.settings.version
    state.limits.versions = VersionsState(kept, version, version)
    leases = state.limits.leases
    for partition in list_partitions(state.inventory, state.failure_domain):
        lease = OwnLease(1, True, 0, valid_until=sys.maxsize, announced=True)
        leases.own[partition] = lease
    for name in list_limits(state.inventory):
        state.limits.pools[name] = _build_full_pool(state, name)


def _build_full_pool(state: HostState, name: str) -> Pool:
    """Return a pool with every failure domain's share, full of tokens."""
    pool = Pool(0)
    state.limits.pools[name] = pool
    for domain in state.inventory.failure_domains:
        source = OWN_SOURCE if domain == state.failure_domain else domain
        share = compute_share(state.inventory, domain, name)
        pool.put(source, Source(share, sys.maxsize), share.burst * TOKEN)
    return pool


def build_arrival(
    now: int = 0, req_id: str = "r1", method: str = "GET", key: str | None = KEY
) -> RequestArrived:
    """Return the arrival of a request for the small inventory's service."""
    credential = None if key is None else Credential.from_key(key, PEPPER)
    return RequestArrived(now, req_id, "shop", method, credential, now + seconds(60))

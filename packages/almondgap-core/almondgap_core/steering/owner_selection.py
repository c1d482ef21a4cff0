"""Owners: which hosts to ask for a slot, and in which order."""

from __future__ import annotations

from collections import deque

from almondgap_core.limits.partitions import find_partition
from almondgap_core.membership.directory import find_owner
from almondgap_core.settings.inventory import Inventory, Target
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_SECOND

#: Owners that one request asks for a free slot, beside its own host.
MAX_IMMEDIATE_OWNERS = 4

#: Owners in whose queue one request may wait, one after the other.
MAX_QUEUED_OWNERS = 2

#: Age from which a summary says nothing any more.
MAX_SUMMARY_AGE_US = 10 * MICROS_PER_SECOND

#: Distances that come before any between regions, in milliseconds one way.
SAME_HOST_MS = -3.0
SAME_DOMAIN_MS = -2.0
SAME_REGION_MS = -1.0


def list_owner_attempts(
    state: HostState, service: str, exclude: tuple[str, ...], now: int
) -> deque[tuple[str, bool]]:
    """Return the owners to ask, each with whether to wait in its queue.

    First the nearest others that seem to have free slots, then the nearest at all.
    """
    owners = list_owners(state, service, exclude, now)
    others = [name for name in owners if name != state.host]
    free = [name for name in others if reports_free_slots(state, name, service, now)]
    tries = [(name, False) for name in free[:MAX_IMMEDIATE_OWNERS]]
    queues = [(name, True) for name in owners[:MAX_QUEUED_OWNERS]]
    return deque([*tries, *queues])


def list_owners(
    state: HostState, service: str, exclude: tuple[str, ...], now: int
) -> list[str]:
    """Return the hosts that hold targets of a service, the nearest first.

    Owners in a failure domain where a target already failed this request come last.
    """
    distances: dict[str, tuple[bool, float, int]] = {}
    failed = list_failed_domains(state, exclude)
    for name in state.inventory.services[service].targets:
        target = state.inventory.targets[name]
        if target.draining or name in exclude:
            continue
        owner = _find_owner(state, target, now)
        if owner is None or owner in distances:
            continue
        far = estimate_delay_ms(state, target)
        near = SAME_HOST_MS if owner == state.host else far
        last = target.failure_domain in failed
        distances[owner] = (last, near, state.draw(256))
    return sorted(distances, key=distances.__getitem__)


def list_failed_domains(state: HostState, exclude: tuple[str, ...]) -> set[str]:
    """Return the failure domains of targets that already failed a request."""
    targets = map(state.inventory.targets.get, exclude)
    return {target.failure_domain for target in targets if target is not None}


def reports_free_slots(state: HostState, owner: str, service: str, now: int) -> bool:
    """Return whether the owner's failure domain reported free slots lately.

    No report, or an old one, never attracts requests.
    """
    entry = state.members.listed.get(owner)
    if entry is None:
        return False
    peer = state.members.peers.get(owner)
    if peer is not None and peer.stopping:
        return False
    summary = state.members.summaries.get(entry.failure_domain)
    if summary is None or summary.measure_age(now) > MAX_SUMMARY_AGE_US:
        return False
    load = summary.find_load(service)
    return load is not None and load.waiting == 0 and load.used < load.slots


def estimate_delay_ms(state: HostState, target: Target) -> float:
    """Return how far a target is, in milliseconds one way, or less than 0 if near."""
    inventory = state.inventory
    if target.failure_domain == state.failure_domain:
        return SAME_DOMAIN_MS
    here = _find_position(inventory, state.failure_domain)
    there = _find_position(inventory, target.failure_domain)
    if here is None or there is None:
        return float("inf")
    if here[0] == there[0]:
        return SAME_REGION_MS
    (east, north), (other_east, other_north) = here[1], there[1]
    return ((east - other_east) ** 2 + (north - other_north) ** 2) ** 0.5


def _find_position(inventory: Inventory, failure_domain: str):
    domain = inventory.failure_domains.get(failure_domain)
    if domain is None:
        return None
    return domain.region, inventory.regions[domain.region].position


def _find_owner(state: HostState, target: Target, now: int) -> str | None:
    partition = find_partition(state.inventory, target.failure_domain, target.name)
    return find_owner(state, partition, now)

"""Versions: which share of a limit a host may use while configurations change.

Hosts adopt a new configuration at different times. A share may shrink at once, but
grows only when every holder has reached the new version, so the shares in use never
sum to more than the limit.
"""

from __future__ import annotations

from almondgap_core.events import Tick
from almondgap_core.limits.catalogue import NO_SHARE, Limit, compute_share
from almondgap_core.limits.leases import RESERVATION_TTL_US, find_held
from almondgap_core.limits.partitions import Partition, find_partition, list_partitions
from almondgap_core.limits.takeover import compute_earliest_takeover
from almondgap_core.state import HostState
from almondgap_core.units import millis, seconds

CHECK_INTERVAL_US = millis(200)

#: Time without notices after which the lease rows of missing holders are read.
NOTICE_TIMEOUT_US = seconds(3)

#: First configuration version of a deployment; no host uses shares of an older one.
FIRST_VERSION = 1


def handle_tick(state: HostState, event: Tick) -> None:
    """Track adopted versions, and drop those that every holder has moved past."""
    versions = state.limits.versions
    current = state.settings.version
    if state.inventory is None or event.now < versions.next_check:
        return
    versions.next_check = event.now + CHECK_INTERVAL_US
    if current not in versions.inventories:
        _add_version(state, event.now)
    if versions.in_effect != current and event.now >= versions.in_effect_at:
        versions.in_effect = current
        state.limits.leases.changed = True
        state.limits.leases.next_notice = event.now
    if versions.reached_by_all != current:
        _check_versions(state, event.now)


def find_share(state: HostState, name: str) -> Limit:
    """Return the share of a limit that is safe under all versions in use by holders.

    It is the minimum of the host's shares over the versions from the last one that all
    holders are known to have reached up to its own. If one of these versions is unknown
    here, the share is empty.
    """
    versions = state.limits.versions
    partition = find_partition(state.inventory, state.failure_domain, name)
    lease = state.limits.leases.own.get(partition)
    if lease is None or state.settings.version < lease.least_version:
        return NO_SHARE
    base = max(versions.reached_by_all, lease.reached_by_all)
    if not base:
        return NO_SHARE
    shares = []
    for version in range(base, state.settings.version + 1):
        inventory = versions.inventories.get(version)
        if inventory is None:
            return NO_SHARE
        if find_partition(inventory, state.failure_domain, name) != partition:
            return NO_SHARE
        shares.append(compute_share(inventory, state.failure_domain, name))
    rate = min((share.rate for share in shares), default=0)
    return Limit(rate, min((share.burst for share in shares), default=0))


def _add_version(state: HostState, now: int) -> None:
    versions = state.limits.versions
    current = state.settings.version
    if current == FIRST_VERSION:
        versions.reached_by_all = current
    versions.inventories[current] = state.inventory
    versions.adopted_at = now
    ends = [lent.ends for lent in state.limits.lent.values()]
    versions.in_effect_at = max([now + RESERVATION_TTL_US, *ends])
    state.limits.shares.clear()


def _check_versions(state: HostState, now: int) -> None:
    """Check whether every holder of a share has reached the current version."""
    versions = state.limits.versions
    missing = [
        p for p in _list_all_partitions(state) if not _has_reached(state, p, now)
    ]
    if missing:
        waited = now - versions.adopted_at >= NOTICE_TIMEOUT_US
        state.limits.leases.foreign_reads = tuple(missing) if waited else ()
        return
    state.limits.leases.foreign_reads = ()
    versions.reached_by_all = state.settings.version
    versions.inventories = {versions.reached_by_all: state.inventory}
    state.limits.shares.clear()


def _list_all_partitions(state: HostState) -> list[Partition]:
    found: set[Partition] = set()
    for inventory in state.limits.versions.inventories.values():
        for domain in inventory.failure_domains:
            found.update(list_partitions(inventory, domain))
    return sorted(found)


def _has_reached(state: HostState, partition: Partition, now: int) -> bool:
    current = state.settings.version
    if find_held(state, partition, now) is not None:
        return state.limits.versions.in_effect == current
    announced = state.limits.leases.announced_holders.get(partition)
    if announced is not None and announced.version >= current:
        return True
    observed = state.limits.leases.observed.get(partition)
    if observed is None or observed.seen < state.limits.versions.adopted_at:
        return False
    # A later holder reads the head when it takes the partition, so it uses this version
    # or a newer one.
    return now >= compute_earliest_takeover(state, observed)


EVENT_HANDLERS = {Tick: handle_tick}

"""Loads: what this host sees of the services whose targets it owns."""

from __future__ import annotations

from almondgap_core.membership.summary import ServiceLoad, compute_key
from almondgap_core.state import HostState
from almondgap_core.steering.targets import list_owned_targets


def measure_loads(state: HostState, now: int) -> list[ServiceLoad]:
    """Return the load of each service that this host owns targets of."""
    if state.inventory is None:
        return []
    loads = []
    for name in state.inventory.services:
        targets = list_owned_targets(state, name, now)
        if targets:
            slots = sum(target.slots for target in targets)
            used = sum(state.steering.slots_used.get(t.name, 0) for t in targets)
            loads.append(ServiceLoad(compute_key(name), slots, used, 0, 0, 0))
    return loads

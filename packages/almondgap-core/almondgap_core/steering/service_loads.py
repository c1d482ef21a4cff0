"""Loads: what this host sees of the services whose targets it owns."""

from __future__ import annotations

from almondgap_core.membership.summary import ServiceLoad, compute_key
from almondgap_core.state import HostState
from almondgap_core.steering.ejection import list_available_targets
from almondgap_core.steering.ownership import list_owned_targets
from almondgap_core.steering.slot_state import ServiceCounters
from almondgap_core.steering.slots import count_waiting
from almondgap_core.units import MICROS_PER_SECOND


def measure_loads(state: HostState, now: int) -> list[ServiceLoad]:
    """Return the load of each service that this host owns targets of.

    Counts begin anew with each call.
    """
    if state.inventory is None:
        return []
    names = state.inventory.services
    return [
        _measure_load(state, name, now)
        for name in names
        if list_owned_targets(state, name, now)
    ]


def _measure_load(state: HostState, service: str, now: int) -> ServiceLoad:
    targets = list_available_targets(state, service, now)
    used = sum(state.slots.slots_used.get(t.name, 0) for t in targets)
    counters = state.slots.service_counters.get(service, ServiceCounters())
    state.slots.service_counters[service] = ServiceCounters(since=now)
    elapsed = max(now - counters.since, 1)
    return ServiceLoad(
        compute_key(service),
        sum(target.slots for target in targets),
        used,
        count_waiting(state, service),
        counters.granted * MICROS_PER_SECOND // elapsed,
        counters.failed * MICROS_PER_SECOND // elapsed,
    )

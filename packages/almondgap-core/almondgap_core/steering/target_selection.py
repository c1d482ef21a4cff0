"""Targets inside a host: which one a request goes to."""

from __future__ import annotations

from almondgap_core.settings.inventory import Target
from almondgap_core.state import HostState
from almondgap_core.steering.ejection import (
    compute_confidence,
    compute_slot_limit,
    get_target_health,
)
from almondgap_core.steering.ownership import is_blocked, list_owned_targets

__all__ = ["choose_target", "list_owned_targets"]

#: How much a target that only fails is worse than one that never does.
ERROR_PENALTY = 10


def choose_target(
    state: HostState, service: str, exclude: tuple[str, ...], now: int
) -> Target | None:
    """Return the better of two free targets that were drawn, or None without any.

    A target is better if it is less used for what it may take, and answers faster and
    with fewer failures, all as this host sees it.
    """
    free = list_free_targets(state, service, exclude, now)
    if len(free) <= 1:
        return free[0] if free else None
    first = free.pop(state.draw(len(free)))
    second = free[state.draw(len(free))]
    return min((first, second), key=lambda target: _compute_cost(state, target, now))


def list_free_targets(
    state: HostState, service: str, exclude: tuple[str, ...], now: int
) -> list[Target]:
    """Return the owned targets that may take one more request."""
    used = state.slots.slots_used
    return [
        target
        for target in list_owned_targets(state, service, now)
        if target.name not in exclude
        and not is_blocked(state, target, now)
        and used.get(target.name, 0) < compute_slot_limit(state, target, now)
    ]


def _compute_cost(state: HostState, target: Target, now: int) -> float:
    health = get_target_health(state, target.name)
    used = state.slots.slots_used.get(target.name, 0) + 1
    load = used / compute_slot_limit(state, target, now)
    confidence = compute_confidence(health, now)
    penalty = 1 + ERROR_PENALTY * health.error_rate * confidence
    return load * max(health.latency * confidence, 1.0) * penalty

"""Whether this host may send a request to a target now, and if not, why."""

from __future__ import annotations

from enum import Enum

from almondgap_core.gateway.fleet import count_hosts
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.target import Target
from almondgap_core.gateway.target_limits import has_limit_token
from almondgap_core.gateway.warmup import is_warming_up, may_send_warmup
from almondgap_core.units import seconds

#: Time after the end of a pause in which a target gets only this host's part of its
#: slots, so that not all waiting callers return to it in the same moment.
RAMP_US = seconds(1)


class Obstacle(Enum):
    """What keeps this host from sending a request to a target."""

    LEAVING = "leaving"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    DOWN = "down"
    PAUSED = "paused"
    REJECTING = "rejecting"
    LIMITED = "limited"
    WARMING_UP = "warming up"


def find_obstacle(state: GatewayState, target: Target, now: int) -> Obstacle | None:
    """Return why a target may get no request now, None if it may."""
    if target.down_since is not None:
        return _find_lasting_obstacle(state, target) or Obstacle.DOWN
    obstacle = find_probe_obstacle(state, target, now)
    if obstacle is not None:
        return obstacle
    if now < target.backoff_until:
        return Obstacle.REJECTING
    if is_warming_up(target, now) and not may_send_warmup(state, target, now):
        return Obstacle.WARMING_UP
    return None


def find_probe_obstacle(
    state: GatewayState, target: Target, now: int
) -> Obstacle | None:
    """Return why a target may not even get a health check now, None if it may."""
    obstacle = _find_lasting_obstacle(state, target)
    if obstacle is not None:
        return obstacle
    if _is_paused(state, target, now):
        return Obstacle.PAUSED
    return None if has_limit_token(state, target, now) else Obstacle.LIMITED


def is_candidate(state: GatewayState, target: Target) -> bool:
    """Return whether a target is in service at all, healthy or not."""
    return _find_lasting_obstacle(state, target) is None


def is_usable(state: GatewayState, target: Target, now: int) -> bool:
    """Return whether a target may receive a request now."""
    return find_obstacle(state, target, now) is None


def _find_lasting_obstacle(state: GatewayState, target: Target) -> Obstacle | None:
    notice = state.notices.get(target.name)
    if notice is not None and notice.leaving and notice.applies_to(target):
        return Obstacle.LEAVING
    if target.announcement.draining:
        return Obstacle.DRAINING
    if target.announcement.failure_domain in state.evacuated:
        return Obstacle.EVACUATED
    return None


def _is_paused(state: GatewayState, target: Target, now: int) -> bool:
    notice = state.notices.get(target.name)
    if notice is None or not notice.applies_to(target):
        return False
    if now >= notice.paused_until:
        part = max(1, target.announcement.slots // count_hosts(state))
        return now < notice.paused_until + RAMP_US and target.in_flight >= part
    return True

"""Requests to cold targets, few over all hosts together.

Answers the load of a failure domain whose targets come back empty all at once. One host
alone sends to a cold target, and at a steady pace: the host that ranks first for it
among those that are heard in its region. Hosts that disagree for a moment about who is
heard each keep the pace, which leaves room for two of them.
"""

from __future__ import annotations

from almondgap_core.gateway.fleet import list_live_peers
from almondgap_core.gateway.ranking import compute_rank
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.target import Target
from almondgap_core.units import MICROS_PER_SECOND

#: Part of the rate of a cold target that its host uses.
WARMUP_RATE_FRACTION = 0.8


def is_warming_up(target: Target, now: int) -> bool:
    """Return whether a target is cold."""
    return now < target.warmup_until


def may_send_warmup(state: GatewayState, target: Target, now: int) -> bool:
    """Return whether this host may send a request to a cold target now."""
    if now < target.next_warmup_at:
        return False
    locations = [state.location]
    locations += [
        peer.location for peer in list_live_peers(state, now) if peer.heartbeat.ready
    ]
    region = state.find_region(target.announcement.failure_domain)
    near = [
        location for location in locations if location.region == region
    ] or locations
    first = max(near, key=lambda location: compute_rank(location.host, target.name))
    return first.host == state.location.host


def schedule_next_warmup(state: GatewayState, target: Target, now: int) -> None:
    """Set the time of the next request to a cold target."""
    service = state.configuration.services.get(target.announcement.service)
    rate = service.warmup_rate * WARMUP_RATE_FRACTION if service else 0.0
    pause = MICROS_PER_SECOND / rate if rate > 0 else MICROS_PER_SECOND
    target.next_warmup_at = now + round(pause)

"""Rate limit for requests to targets that are warming up.

Handles a failure domain whose targets all come back with empty caches at once. Only one
host sends to such a target, at a steady rate: the host that ranks first for the target
among the live hosts in its region. Hosts that briefly disagree about who is alive each
keep to that rate, which leaves room for two of them.
"""

from __future__ import annotations

from almondgap_core.gateway.fleet import list_live_peers
from almondgap_core.gateway.ranking import sort_hosts
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.target import Target
from almondgap_core.units import MICROS_PER_SECOND

#: Fraction of a target's warm-up rate that the host in charge uses.
WARMUP_RATE_FRACTION = 0.8


def is_warming_up(target: Target, now: int) -> bool:
    """Return whether a target is still warming up."""
    return now < target.warmup_until


def may_send_warmup(state: GatewayState, target: Target, now: int) -> bool:
    """Return whether this host may send a request to a target that is warming up."""
    if now < target.next_warmup_at:
        return False
    locations = [state.location]
    locations += [
        peer.location
        for peer in list_live_peers(state, now)
        if peer.heartbeat.ready and peer.heartbeat.reaches_targets
    ]
    region = state.find_region(target.announcement.failure_domain)
    first, *_ = sort_hosts(locations, target.name, region)
    return first.host == state.location.host


def schedule_next_warmup(state: GatewayState, target: Target, now: int) -> None:
    """Set the earliest time of the next request to a target that is warming up."""
    service = state.configuration.services.get(target.announcement.service)
    rate = service.warmup_rate * WARMUP_RATE_FRACTION if service else 0.0
    interval = MICROS_PER_SECOND / rate if rate > 0 else MICROS_PER_SECOND
    target.next_warmup_at = now + round(interval)

"""Requests that this host hands to another one, since it reaches no target itself.

The other host serves it or refuses it, and never hands it on. It authenticates the
caller, takes the client account's token and chooses the target, so that each of these
happens in one place; it answers with what this host passes on. A request that may run
only once is handed over only if it was sent nowhere before, and to a second host only
if the first did not send it either.
"""

from __future__ import annotations

from almondgap_core.gateway.call import Call
from almondgap_core.gateway.effects import Relay
from almondgap_core.gateway.fleet import list_live_peers
from almondgap_core.gateway.peer import Peer
from almondgap_core.gateway.placement import (
    OTHER_REGION_RTT_US,
    SAME_REGION_RTT_US,
    list_regions,
)
from almondgap_core.gateway.reports import RequestRelayed
from almondgap_core.gateway.state import GatewayState
from almondgap_core.units import MICROS_PER_MILLI, millis

#: Maximum number of hosts to which one request is handed over in turn.
MAX_RELAYS = 3

#: Cost of a request that a host has got from this one, so that they spread.
COST_PER_RELAY_US = millis(10)


def needs_relay(state: GatewayState, call: Call) -> bool:
    """Return whether only another host can serve a request of a caller."""
    return state.partitioned_since is not None and not call.is_relayed


def choose_relay(state: GatewayState, call: Call, now: int) -> Peer | None:
    """Return the host to which a request is handed over, None if there is none."""
    if call.relays >= MAX_RELAYS or (call.may_have_run and not call.route.idempotent):
        return None
    regions = list_regions(state, call)
    peers = [
        peer
        for peer in list_live_peers(state, now)
        if peer.heartbeat.ready
        and peer.heartbeat.reaches_targets
        and peer.location.region in regions
        and peer.location.host not in call.relayed_to
        and now >= peer.relay_backoff_until
    ]
    return min(peers, key=lambda peer: _rate_peer(state, peer), default=None)


def relay_call(state: GatewayState, call: Call, peer: Peer, now: int) -> None:
    """Hand a request over to another host."""
    location = peer.location
    call.relayed_to.append(location.host)
    call.attempt = len(call.sent_to) + call.failed_connects + call.relays
    call.relay_host = location.host
    call.sent_at = now
    peer.relayed += 1
    left = call.expires_at - now
    state.perform(
        Relay(
            call.number,
            call.attempt,
            location.host,
            location.caller_address,
            left,
            len(call.sent_to),
            state.version,
            not call.route.idempotent,
        )
    )
    state.report(
        RequestRelayed(call.request_id, location.host, left // MICROS_PER_MILLI)
    )


def end_relay(state: GatewayState, call: Call) -> Peer | None:
    """Note that a request is no longer at another host; return that host if known."""
    peer = state.peers.get(call.relay_host)
    call.relay_host = ""
    if peer is not None:
        peer.relayed = max(0, peer.relayed - 1)
    return peer


def _rate_peer(state: GatewayState, peer: Peer) -> int:
    location = peer.location
    if location.region == state.location.region:
        cost = SAME_REGION_RTT_US
    else:
        cost = OTHER_REGION_RTT_US
    if location.failure_domain == state.location.failure_domain:
        # It may have lost its targets as well and not know it yet.
        cost += COST_PER_RELAY_US
    return cost + peer.relayed * COST_PER_RELAY_US + state.draw_random(millis(1))

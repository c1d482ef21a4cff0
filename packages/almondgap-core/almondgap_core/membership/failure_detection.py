"""Failure detection: whether a host counts as alive, by its heartbeats and reports.

A host that was silent for too long counts as failed. The result may be wrong, so no
safety rule may depend on it.
"""

from __future__ import annotations

from almondgap_core.membership.links import LINKS_PER_DOMAIN
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_SECOND

#: Silence after which a host of the same failure domain counts as failed.
SILENCE_TIMEOUT_US = 3 * MICROS_PER_SECOND

#: The same for a host of another failure domain, which reports less often.
REMOTE_SILENCE_TIMEOUT_US = LINKS_PER_DOMAIN * SILENCE_TIMEOUT_US


def is_alive(state: HostState, host: str, now: int) -> bool:
    """Return whether a host sent a recent heartbeat or report.

    Hosts of other failure domains without a link to this one never send any, so they
    never count as alive.
    """
    if host == state.host:
        return True
    peer = state.members.peers.get(host)
    if peer is None:
        return False
    entry = state.members.listed.get(host)
    near = entry is None or entry.failure_domain == state.failure_domain
    return now - peer.heard <= (
        SILENCE_TIMEOUT_US if near else REMOTE_SILENCE_TIMEOUT_US
    )

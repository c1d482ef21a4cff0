"""Live hosts of a failure domain, judged by how recent their heartbeats are.

Partitions are assigned to them, and they are the witnesses of leases. A wrong result
delays a take-over or moves a partition without need; it never makes two holders.
"""

from __future__ import annotations

from almondgap_core.limits.rows import Witness
from almondgap_core.state import HostState
from almondgap_core.units import seconds

#: A host without a heartbeat for this long does not count as live.
SILENCE_TIMEOUT_US = seconds(3.5)


def list_live_hosts(state: HostState, failure_domain: str, now: int) -> list[str]:
    """Return the live hosts of a failure domain that are not stopping, sorted."""
    names = [w.host for w in list_recent_peers(state, failure_domain, now)]
    names = [name for name in names if not state.members.peers[name].stopping]
    if failure_domain == state.failure_domain and not state.stopping:
        names.append(state.host)
    return sorted(names)


def list_recent_peers(state: HostState, failure_domain: str, now: int) -> list[Witness]:
    """Return the other hosts of a failure domain that sent a recent heartbeat."""
    found = []
    for name, peer in state.members.peers.items():
        entry = state.members.listed.get(name)
        if entry is None or entry.failure_domain != failure_domain:
            continue
        if name != state.host and now - peer.heard <= SILENCE_TIMEOUT_US:
            found.append(Witness(name, peer.incarnation))
    return sorted(found)

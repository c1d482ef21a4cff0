"""Homes: the host at which all shares of a limit are pooled.

Each limit has one home among the live hosts, chosen by rendezvous hashing. Limits are
hashed in groups, so that few choices have to be computed. A host that stops answering
is not chosen for a while.
"""

from __future__ import annotations

import hashlib
from functools import lru_cache

from almondgap_core.limits.division import rank
from almondgap_core.membership.heartbeats import is_alive
from almondgap_core.state import HostState
from almondgap_core.units import millis, seconds

HOME_GROUP_COUNT = 64

#: Time for which a host that did not answer is not chosen again: with heartbeats from
#: it since, and without.
SUSPECT_TIMEOUT_US = seconds(2)
SILENT_SUSPECT_TIMEOUT_US = seconds(30)

#: Interval at which the candidates are computed anew.
REFRESH_INTERVAL_US = millis(250)


def find_home(state: HostState, name: str, now: int) -> str:
    """Return the home of a limit according to this host's view of the fleet.

    Hosts with different views lend to different homes. Each home then pools fewer
    shares, but no share is used twice.
    """
    homes = state.limits.homes
    if now >= homes.next_refresh:
        homes.next_refresh = now + REFRESH_INTERVAL_US
        homes.candidates = _list_candidates(state, now)
    if not homes.candidates:
        return state.host
    return _choose(homes.candidates, find_group(name))


def suspect_home(state: HostState, host: str, now: int) -> None:
    """Exclude a host that does not answer from the candidates for a while."""
    if host != state.host:
        state.limits.homes.suspects[host] = now
        state.limits.homes.next_refresh = now


@lru_cache(maxsize=65_536)
def find_group(name: str) -> int:
    """Return the group of a limit. All limits of a group have the same home."""
    digest = hashlib.blake2b(name.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big") % HOME_GROUP_COUNT


@lru_cache(maxsize=1024)
def _choose(candidates: tuple[str, ...], group: int) -> str:
    return rank(candidates, f"home:{group}")[0]


def _list_candidates(state: HostState, now: int) -> tuple[str, ...]:
    found = []
    for name, entry in state.members.listed.items():
        if name == state.host:
            usable = not state.stopping
        else:
            usable = not entry.leaving and _is_usable(state, name, now)
        if usable:
            found.append(name)
    return tuple(sorted(found))


def _is_usable(state: HostState, name: str, now: int) -> bool:
    since = state.limits.homes.suspects.get(name)
    peer = state.members.peers.get(name)
    if since is not None:
        heard = peer is not None and peer.heard > since
        if now < since + (SUSPECT_TIMEOUT_US if heard else SILENT_SUSPECT_TIMEOUT_US):
            return False
    if peer is None:
        return True
    return is_alive(state, name, now) and not peer.stopping

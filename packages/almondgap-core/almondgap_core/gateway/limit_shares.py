"""Distribution of a client account's rate limit over the hosts.

Handles large and small accounts over a few hosts or many, also while hosts and failure
domains are partitioned from each other. Every failure domain owns an equal share of
each limit at all times, so that the shares add up to the limit without coordination and
an isolated domain goes on serving. Within a domain the share is split among as many
hosts as get a useful amount; the others request tokens from them. All hosts compute the
same holders by rendezvous hashing. A holder that falls silent keeps its share for a
while, since it may be partitioned and still serving.
"""

from __future__ import annotations

from almondgap_core.gateway.configuration import Account
from almondgap_core.gateway.peer import Peer
from almondgap_core.gateway.ranking import compute_rank
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.token_bucket import LimitShare
from almondgap_core.units import seconds

#: Minimum useful share of a limit: tokens per second, and tokens in the bucket.
MIN_SHARE_RATE = 3.0
MIN_SHARE_TOKENS = 8.0

#: Silence after which a host's share goes to others: longer than usual partitions last.
DEPARTURE_TIMEOUT_US = seconds(15)

#: Number of hosts assumed in each failure domain until the store's list was read.
ASSUMED_HOSTS_PER_DOMAIN = 3


def compute_limit_share(state: GatewayState, account: Account) -> LimitShare:
    """Return the share of an account's limit that this host holds."""
    capacity = state.bounds.tolerance.compute_capacity(account.rate, account.burst)
    if not state.hosts_listed:
        fraction = 1.0 / (ASSUMED_HOSTS_PER_DOMAIN * max(1, len(state.regions)))
        return LimitShare(fraction, account.rate * fraction, capacity * fraction)
    holders = find_holders(state, account)
    local = holders.get(state.location.failure_domain, ())
    if state.location.host not in local:
        return LimitShare()
    fraction = 1.0 / (len(holders) * len(local))
    return LimitShare(fraction, account.rate * fraction, capacity * fraction)


def find_holders(state: GatewayState, account: Account) -> dict[str, tuple[str, ...]]:
    """Return the names of the hosts that hold an account's limit, by failure domain."""
    key = (account.name, state.version)
    cached = state.holders_cache.get(key)
    if cached is not None and cached[0] == state.membership_epoch:
        return cached[1]
    members: dict[str, list[str]] = {
        state.location.failure_domain: [state.location.host]
    }
    for peer in state.peers.values():
        if not peer.departed:
            members.setdefault(peer.location.failure_domain, []).append(
                peer.location.host
            )
    max_shares = count_shares(state, account)
    holders = {}
    for failure_domain, hosts in members.items():
        count = max(1, min(len(hosts), round(max_shares / len(members))))
        hosts.sort(key=lambda host: compute_rank(account.name, host), reverse=True)
        holders[failure_domain] = tuple(hosts[:count])
    if cached is None:
        # Drop entries of earlier configuration versions.
        for stale in [
            stale for stale in state.holders_cache if stale[1] != state.version
        ]:
            del state.holders_cache[stale]
    state.holders_cache[key] = (state.membership_epoch, holders)
    return holders


def count_shares(state: GatewayState, account: Account) -> int:
    """Return the maximum number of shares into which an account's limit is split."""
    capacity = state.bounds.tolerance.compute_capacity(account.rate, account.burst)
    return max(1, int(min(account.rate / MIN_SHARE_RATE, capacity / MIN_SHARE_TOKENS)))


def list_donors(
    state: GatewayState, account: Account, empty: dict[str, int], now: int
) -> list[Peer]:
    """Return the hosts from which tokens may be requested, the nearest first.

    :param empty: hosts that had none a moment ago, with the time until which they are
        skipped.
    """
    own = state.location
    candidates: list[tuple[int, int, Peer]] = []
    for failure_domain, hosts in find_holders(state, account).items():
        distance = 2
        if failure_domain == own.failure_domain:
            distance = 0
        elif state.find_region(failure_domain) == own.region:
            distance = 1
        for host in hosts:
            peer = state.peers.get(host)
            if peer is None or peer.last_heard_at is None or peer.unresponsive:
                continue
            if empty.get(host, 0) <= now:
                candidates.append((distance, state.draw_random(1_000), peer))
    candidates.sort(key=lambda entry: entry[:2])
    return [peer for _, _, peer in candidates]


def update_membership(state: GatewayState, now: int) -> None:
    """Update which peers have departed: ended, or silent for a long time."""
    for peer in state.peers.values():
        silent = now - (
            peer.last_heard_at if peer.last_heard_at is not None else peer.discovered_at
        )
        gone = (
            peer.unresponsive and peer.stop_announced or silent > DEPARTURE_TIMEOUT_US
        )
        if gone != peer.departed:
            peer.departed = gone
            state.membership_epoch += 1

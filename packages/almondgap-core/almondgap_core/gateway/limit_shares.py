"""Which hosts hold the limit of a client account.

Answers the loads of large and of small accounts over a few hosts or many, while hosts
and failure domains are cut off from each other. Every failure domain owns an equal part
of each limit whatever happens, so that the parts add up to the limit without a message,
and a domain that is cut off goes on serving. Inside a domain as many hosts hold the
part as make useful pieces of it; the others ask them. All hosts find the same holders
by rendezvous hashing. A holder that falls silent keeps its part for a while, since it
may be cut off and still serving.
"""

from __future__ import annotations

from almondgap_core.gateway.configuration import Account
from almondgap_core.gateway.ranking import compute_rank
from almondgap_core.gateway.state import GatewayState, Peer
from almondgap_core.gateway.token_bucket import LimitShare
from almondgap_core.units import seconds

#: Least piece of a limit that is useful: tokens per second, and tokens in the bucket.
MIN_SHARE_RATE = 3.0
MIN_SHARE_TOKENS = 8.0

#: Time after which the part of a silent host goes to others: longer than hosts are
#: usually cut off.
DEPARTURE_TIMEOUT_US = seconds(15)

#: Hosts in each failure domain that are reckoned with before the store listed them.
ASSUMED_HOSTS_PER_DOMAIN = 3


def compute_limit_share(state: GatewayState, account: Account) -> LimitShare:
    """Return the part of an account's limit that this host holds."""
    capacity = state.bounds.tolerance.compute_capacity(account.rate, account.burst)
    if not state.hosts_listed:
        fraction = 1.0 / (ASSUMED_HOSTS_PER_DOMAIN * max(1, len(state.regions)))
        return LimitShare(fraction, account.rate * fraction, capacity * fraction)
    holders = find_holders(state, account)
    own = holders.get(state.location.failure_domain, ())
    if state.location.host not in own:
        return LimitShare()
    fraction = 1.0 / (len(holders) * len(own))
    return LimitShare(fraction, account.rate * fraction, capacity * fraction)


def find_holders(state: GatewayState, account: Account) -> dict[str, tuple[str, ...]]:
    """Return the names of the hosts that hold an account's limit, by domain."""
    key = (account.name, state.version)
    kept = state.holders_cache.get(key)
    if kept is not None and kept[0] == state.membership_epoch:
        return kept[1]
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
    for failure_domain, names in members.items():
        count = max(1, min(len(names), round(max_shares / len(members))))
        names.sort(key=lambda name: compute_rank(account.name, name), reverse=True)
        holders[failure_domain] = tuple(names[:count])
    if kept is None:
        # Accounts and versions come and go; keep what this version needs.
        for old in [old for old in state.holders_cache if old[1] != state.version]:
            del state.holders_cache[old]
    state.holders_cache[key] = (state.membership_epoch, holders)
    return holders


def count_shares(state: GatewayState, account: Account) -> int:
    """Return into how many pieces an account's limit is divided at most."""
    capacity = state.bounds.tolerance.compute_capacity(account.rate, account.burst)
    return max(1, int(min(account.rate / MIN_SHARE_RATE, capacity / MIN_SHARE_TOKENS)))


def list_donors(
    state: GatewayState, account: Account, empty: dict[str, int], now: int
) -> list[Peer]:
    """Return the hosts that may be asked for tokens, the nearest first.

    :param empty: hosts that had none a moment ago, and until when they are passed over.
    """
    here = state.location
    near: list[tuple[int, int, Peer]] = []
    for failure_domain, names in find_holders(state, account).items():
        distance = 2
        if failure_domain == here.failure_domain:
            distance = 0
        elif state.find_region(failure_domain) == here.region:
            distance = 1
        for name in names:
            peer = state.peers.get(name)
            if peer is None or peer.last_heard_at is None or peer.unresponsive:
                continue
            if empty.get(name, 0) <= now:
                near.append((distance, state.draw_random(1_000), peer))
    near.sort(key=lambda entry: entry[:2])
    return [peer for _, _, peer in near]


def update_membership(state: GatewayState, now: int) -> None:
    """Take note of hosts that have ended, or were silent for long."""
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

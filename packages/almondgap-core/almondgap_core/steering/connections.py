"""Bound on idle connections that each host may keep to a target."""

from __future__ import annotations

from almondgap_core.settings.inventory import Inventory

#: Divisor of the listed hosts for further hosts that may hold connections: the
#: platform's list lags while hosts are replaced.
UNLISTED_HOSTS_DIVISOR = 2


def compute_max_idle_connections(inventory: Inventory, hosts: int) -> int:
    """Return how many idle connections one host may keep to any one target.

    Each slot in use takes one connection, and an owner grants no more than a target's
    slots. The remaining connections are divided among all hosts, listed or not.

    :param hosts: hosts that the platform lists.
    """
    owners = hosts + hosts // UNLISTED_HOSTS_DIVISOR + 1
    spare = [max(t.connections - t.slots, 0) for t in inventory.targets.values()]
    return min(spare, default=0) // owners

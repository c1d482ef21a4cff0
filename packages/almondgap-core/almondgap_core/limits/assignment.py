"""Placing: which live host of a failure domain should hold which partition."""

from __future__ import annotations

from collections.abc import Sequence

from almondgap_core.limits.division import rank
from almondgap_core.limits.partitions import Partition


def assign_partitions(partitions: Sequence[Partition], hosts: Sequence[str]) -> dict:
    """Return the host that should hold each partition.

    Each partition goes to the host that ranks first for it by rendezvous hashing and
    has not yet its fair part, so that no host has more than one above another's.

    :param hosts: hosts that are alive; with none the result is empty.
    """
    if not hosts:
        return {}
    most = -(-len(partitions) // len(hosts))
    counts = dict.fromkeys(hosts, 0)
    assigned: dict[Partition, str] = {}
    for partition in partitions:
        ranked = rank(hosts, str(partition))
        chosen = next(host for host in ranked if counts[host] < most)
        counts[chosen] += 1
        assigned[partition] = chosen
    return assigned

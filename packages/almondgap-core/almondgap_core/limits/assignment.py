"""Assignment of a failure domain's partitions to its live hosts."""

from __future__ import annotations

from collections.abc import Sequence

from almondgap_core.limits.division import rank
from almondgap_core.limits.partitions import Partition


def assign_partitions(partitions: Sequence[Partition], hosts: Sequence[str]) -> dict:
    """Return the host that each partition is assigned to.

    Each partition goes to the first host in rendezvous hashing order that is below the
    maximum, which is the number of partitions per host, rounded up.

    :param hosts: live hosts; without any the result is empty.
    """
    if not hosts:
        return {}
    max_count = -(-len(partitions) // len(hosts))
    counts = dict.fromkeys(hosts, 0)
    assigned: dict[Partition, str] = {}
    for partition in partitions:
        ranked = rank(hosts, str(partition))
        chosen = next(host for host in ranked if counts[host] < max_count)
        counts[chosen] += 1
        assigned[partition] = chosen
    return assigned

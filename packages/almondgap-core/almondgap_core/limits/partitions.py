"""Partitions of a failure domain.

All that a failure domain owns, such as targets and shares of limits, is divided into
partitions by hash of its name. Leases are held per partition.
"""

from __future__ import annotations

import functools
import hashlib

from attrs import frozen

from almondgap_core.settings.inventory import Inventory


@frozen(order=True)
class Partition:
    """A partition of a failure domain; at most one host holds it at a time."""

    failure_domain: str
    index: int

    def __str__(self) -> str:
        return f"{self.failure_domain}/{self.index}"


def list_partitions(inventory: Inventory, failure_domain: str) -> list[Partition]:
    """Return the partitions of a failure domain."""
    count = inventory.partitions_per_domain
    return [Partition(failure_domain, index) for index in range(count)]


def find_partition(inventory: Inventory, failure_domain: str, name: str) -> Partition:
    """Return the partition of a failure domain that ``name`` belongs to.

    :param name: name of a target, a limit or another owned object.
    """
    return Partition(failure_domain, _hash(name) % inventory.partitions_per_domain)


@functools.lru_cache(maxsize=65_536)
def _hash(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")

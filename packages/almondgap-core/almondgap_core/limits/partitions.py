"""Partitions: the pieces in which a failure domain's shares are held."""

from __future__ import annotations

import functools
import hashlib

from attrs import frozen

from almondgap_core.settings.inventory import Inventory


@frozen(order=True)
class Partition:
    """One piece of what a failure domain owns; at most one host holds it."""

    failure_domain: str
    index: int

    def __str__(self) -> str:
        return f"{self.failure_domain}/{self.index}"


def list_partitions(inventory: Inventory, failure_domain: str) -> list[Partition]:
    """Return the partitions of a failure domain."""
    count = inventory.partitions_per_domain
    return [Partition(failure_domain, index) for index in range(count)]


def find_partition(inventory: Inventory, failure_domain: str, name: str) -> Partition:
    """Return the partition of a failure domain that holds what ``name`` names.

    :param name: a target, a client account's limit, or another thing that is owned.
    """
    return Partition(failure_domain, _hash(name) % inventory.partitions_per_domain)


@functools.lru_cache(maxsize=65_536)
def _hash(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")

"""Rendezvous hashing: every host computes the same order without coordination.

A target that joins or leaves does not change the relative order of the others for any
object.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from math import log

from almondgap_core.gateway.heartbeats import HostLocation


def compute_rank(affinity_key: str, name: str) -> int:
    """Return the rank of a name for a key; the highest comes first."""
    digest = blake2b(f"{affinity_key}\0{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def compute_score(affinity_key: str, name: str, weight: float) -> float:
    """Return the weighted rendezvous score of a name for a key.

    Names come first for keys in proportion to their weights.

    :param weight: greater than 0; the highest score comes first.
    """
    part = (compute_rank(affinity_key, name) + 1) / (2**64 + 1)
    return weight / -log(part)


def sort_hosts(
    locations: Iterable[HostLocation], target: str, region: str
) -> list[HostLocation]:
    """Return hosts in the order in which they are in charge of a target.

    :param region: region of the target, whose hosts come first.
    """
    return sorted(
        locations,
        key=lambda location: (
            location.region != region,
            -compute_rank(location.host, target),
        ),
    )

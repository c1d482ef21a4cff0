"""Ranks by hashing: every host finds the same order without asking another.

Rendezvous hashing: a target that joins or leaves changes the order of the others for
no object.
"""

from __future__ import annotations

from hashlib import blake2b
from math import log


def compute_rank(affinity_key: str, name: str) -> int:
    """Return the rank of a name for an object; the greatest comes first."""
    digest = blake2b(f"{affinity_key}\0{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def compute_score(affinity_key: str, name: str, weight: float) -> float:
    """Return the score of a name that is first for objects in proportion to its weight.

    :param weight: greater than 0; the greatest score comes first.
    """
    part = (compute_rank(affinity_key, name) + 1) / (2**64 + 1)
    return weight / -log(part)

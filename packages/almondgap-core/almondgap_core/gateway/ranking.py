"""Rendezvous hashing: every host computes the same order without coordination.

A target that joins or leaves does not change the relative order of the others for any
object.
"""

from __future__ import annotations

from hashlib import blake2b
from math import log


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

"""Exact division of a number over owners, with rendezvous hashing for the rest."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence


def divide(total: int, owners: Sequence[str], seed: str) -> dict[str, int]:
    """Return the part of ``total`` for each owner. The parts sum to it exactly.

    The remainder goes, one unit each, to the owners that rank first for ``seed``. Every
    host computes the same parts without communication.

    :param owners: distinct names, at least one.
    :param seed: text that the ranking depends on, such as the name of the limit.
    """
    quotient, remainder = divmod(total, len(owners))
    first = set(rank(owners, seed)[:remainder])
    return {owner: quotient + (owner in first) for owner in owners}


def rank(owners: Sequence[str], seed: str) -> list[str]:
    """Return the owners in rendezvous hashing order for ``seed``."""
    return sorted(owners, key=lambda owner: _score(owner, seed), reverse=True)


def _score(owner: str, seed: str) -> bytes:
    return hashlib.blake2b(f"{seed}\0{owner}".encode(), digest_size=8).digest()

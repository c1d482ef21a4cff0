"""Synthetic blocks of clients, the same at each run."""

from __future__ import annotations

import random
from collections.abc import Iterator
from ipaddress import IPv6Address

SITES = 75
SEED = 20_240

#: Part of the blocks that are IPv4.
IPV4_SHARE = 0.8

_IPV4_LENGTHS = (20, 22, 24, 24, 24)
_IPV6_LENGTHS = (32, 48, 48)
_IPV6_GLOBAL = 1 << 125


def name_site(number: int) -> str:
    """Return the name of a site."""
    return f"site-{number}"


def iterate_lines(count: int, sites: int = SITES, seed: int = SEED) -> Iterator[str]:
    """Yield the lines of a CSV file with ``count`` blocks; some hold others."""
    rng = random.Random(seed)
    seen: set[tuple[int, int]] = set()
    yield "prefix,place"
    while len(seen) < count:
        if rng.random() < IPV4_SHARE:
            length = rng.choice(_IPV4_LENGTHS)
            first = rng.getrandbits(length) << (32 - length)
            text = format_ipv4(first)
        else:
            length = rng.choice(_IPV6_LENGTHS)
            first = _IPV6_GLOBAL | rng.getrandbits(length - 3) << (128 - length)
            text = str(IPv6Address(first))
        if (first, length) not in seen:
            seen.add((first, length))
            yield f"{text}/{length},{name_site(rng.randrange(sites))}"


def format_ipv4(value: int) -> str:
    """Return an IPv4 number as text."""
    return f"{value >> 24}.{value >> 16 & 255}.{value >> 8 & 255}.{value & 255}"


def list_addresses(count: int, seed: int = SEED) -> list[str]:
    """Return addresses of callers, four fifths of them IPv4."""
    rng = random.Random(seed + 1)
    addresses = []
    for _ in range(count):
        if rng.random() < IPV4_SHARE:
            addresses.append(format_ipv4(rng.getrandbits(32)))
        else:
            addresses.append(str(IPv6Address(_IPV6_GLOBAL | rng.getrandbits(125))))
    return addresses

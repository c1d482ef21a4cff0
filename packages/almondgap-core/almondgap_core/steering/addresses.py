"""Parser of IP addresses into their family and integer value."""

from __future__ import annotations

from enum import Enum
from ipaddress import IPv6Address

_MAPPED_PREFIX = 0xFFFF
_HEXTETS = 8
_PADDED_HEXTETS = "%4s" * _HEXTETS
_IPV6_DIGITS = 32
_OCTETS = {str(number): number for number in range(256)}


class Family(Enum):
    """A family of addresses; the value is the number of bits of an address."""

    IPV4 = 32
    IPV6 = 128

    @property
    def end(self) -> int:
        """One more than the greatest address."""
        return 1 << self.value


def parse_address(text: str) -> tuple[Family, int]:
    """Return family and value of an IP address; IPv4-mapped IPv6 counts as IPv4.

    :raises ValueError: the text is not an IP address.
    """
    if ":" not in text:
        return Family.IPV4, parse_ipv4(text)
    value = parse_ipv6(text.partition("%")[0])
    if value >> 32 == _MAPPED_PREFIX:
        return Family.IPV4, value & 0xFFFF_FFFF
    return Family.IPV6, value


def parse_ipv4(text: str) -> int:
    """Return the value of an IPv4 number.

    :raises ValueError: the text is no IPv4 number.
    """
    try:
        one, two, three, four = text.split(".")
        high = _OCTETS[one] << 24 | _OCTETS[two] << 16
        return high | _OCTETS[three] << 8 | _OCTETS[four]
    except (KeyError, ValueError):
        raise ValueError(f"{text[:60]!r} is no IP number") from None


def parse_ipv6(text: str) -> int:
    """Return the value of an IPv6 number; several times as fast as ``ipaddress``.

    :raises ValueError: the text is no IPv6 number.
    """
    if "." in text:
        return int(IPv6Address(text))
    parts = text.split(":")
    if len(parts) != _HEXTETS or "" in parts:
        parts = _expand(text)
    digits = (_PADDED_HEXTETS % tuple(parts)).replace(" ", "0")
    if len(digits) != _IPV6_DIGITS or " " in text:
        raise ValueError(f"{text[:60]!r} is no IP number")
    value = bytes.fromhex(digits)
    if len(value) * 2 != _IPV6_DIGITS:
        raise ValueError(f"{text[:60]!r} is no IP number")
    return int.from_bytes(value, "big")


def _expand(text: str) -> list[str]:
    """Return the parts of an IPv6 number, with zeros in the place of ``::``."""
    head, gap, tail = text.partition("::")
    first = head.split(":") if head else []
    last = tail.split(":") if tail else []
    missing = _HEXTETS - len(first) - len(last)
    if not gap or missing < 1 or "" in first or "" in last:
        raise ValueError(f"{text[:60]!r} is no IP number")
    return [*first, *["0"] * missing, *last]

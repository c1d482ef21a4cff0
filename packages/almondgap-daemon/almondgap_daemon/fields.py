"""Checks of values that other programs wrote, at the boundary where they are decoded.

A value that passes can be used in arithmetic, hashed, logged, sent to other hosts and
connected to without further checks. A check raises TypeError or ValueError.
"""

from __future__ import annotations

import re
from ipaddress import IPv4Address
from typing import Any

#: Upper bound of counts, so that a sum of two fits in a message between hosts.
MAX_COUNT = 2**63 - 1

#: Upper bound of numbers with fractions, far from where their products overflow.
MAX_NUMBER = 1e15

#: Upper bound of durations, in seconds; larger values are taken for mistakes.
MAX_DURATION_S = 86_400.0

#: What may stand in a header and in a line of a log: visible ASCII without spaces.
_NAME = re.compile(r"[!-~]{1,200}")

_PORT = re.compile(r"[1-9][0-9]{0,4}", re.ASCII)


def check_text(value: Any) -> str:
    """Return a text that can be encoded."""
    if not isinstance(value, str):
        raise TypeError(f"a {type(value).__name__} is not a text")
    # Surrogates can't be encoded.
    value.encode()
    return value


def check_texts(value: Any) -> tuple[str, ...]:
    """Return the texts of a list."""
    if not isinstance(value, list | tuple):
        raise TypeError(f"a {type(value).__name__} is not a list")
    return tuple(check_text(each) for each in value)


def check_name(value: Any) -> str:
    """Return a name that may be sent in a header."""
    if not _NAME.fullmatch(check_text(value)):
        raise ValueError("name is empty, too long, or holds spaces or other characters")
    return value


def check_address(value: Any) -> str:
    """Return an IPv4 address with a port, such as ``10.1.2.3:8080``."""
    host, _, port = check_text(value).rpartition(":")
    if not _PORT.fullmatch(port) or int(port) > 65_535:
        raise ValueError("address has no port from 1 to 65535")
    IPv4Address(host)
    return value


def check_flag(value: Any) -> bool:
    """Return a truth value."""
    if not isinstance(value, bool):
        raise TypeError(f"a {type(value).__name__} is not true or false")
    return value


def check_count(value: Any, maximum: int = MAX_COUNT) -> int:
    """Return a whole number of 0 or more."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"a {type(value).__name__} is not a whole number")
    if not 0 <= value <= maximum:
        raise ValueError(f"whole number is not from 0 to {maximum}")
    return value


def check_number(value: Any, maximum: float = MAX_NUMBER) -> float:
    """Return a number of 0 or more with a fraction."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"a {type(value).__name__} is not a number")
    # NaN fails the comparison as well.
    if not 0 <= value <= maximum:
        raise ValueError(f"number is not from 0 to {maximum:g}")
    return float(value)

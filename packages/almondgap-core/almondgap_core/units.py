"""Units of time and rate used throughout the core.

Times are integers in microseconds, so that arithmetic is exact and runs replay equally.
"""

from __future__ import annotations

MICROS_PER_MILLI = 1_000
MICROS_PER_SECOND = 1_000_000

#: Rates are stored in thousandths of a request per second.
MILLIS_PER_UNIT = 1_000

#: One token of a token bucket, in nano-tokens. A rate of one thousandth per second adds
#: one nano-token per microsecond, so that refilling is exact in integer arithmetic.
TOKEN = 1_000_000_000


def seconds(value: float) -> int:
    """Return ``value`` seconds in microseconds."""
    return round(value * MICROS_PER_SECOND)


def millis(value: float) -> int:
    """Return ``value`` milliseconds in microseconds."""
    return round(value * MICROS_PER_MILLI)

"""Units of time and of rate that the whole core shares."""

from __future__ import annotations

MICROS_PER_MILLI = 1_000
MICROS_PER_SECOND = 1_000_000

#: Rates are kept in thousandths of a request per second.
MILLIS_PER_UNIT = 1_000

#: One token of a bucket, in nano-tokens. A rate of one thousandth per second adds one
#: nano-token in a microsecond, so that refilling is exact in integers.
TOKEN = 1_000_000_000


def seconds(value: float) -> int:
    """Return ``value`` seconds in microseconds."""
    return round(value * MICROS_PER_SECOND)


def millis(value: float) -> int:
    """Return ``value`` milliseconds in microseconds."""
    return round(value * MICROS_PER_MILLI)

"""The token bucket that enforces a host's share of a client account's rate limit.

Handles an account that sends several times its rate while each host sees only a part of
its requests. Buckets may also exchange tokens, for callers that are not spread as the
shares are.
"""

from __future__ import annotations

from attrs import Factory, define, frozen

from almondgap_core.gateway.heartbeats import DecayingRate
from almondgap_core.units import MICROS_PER_SECOND, seconds

#: Time constant over which the demand of an account is averaged.
DEMAND_TIME_CONSTANT_US = seconds(2)

#: Fraction of a limit's tolerance that is added to the capacity of the buckets. The
#: rest covers hosts that briefly disagree about who holds which share.
TOLERANCE_FRACTION = 0.9

#: Initial fill of a bucket as a fraction of its capacity: a host that restarted may
#: have spent a full bucket a moment ago.
INITIAL_FILL_FRACTION = 0.25

#: Fraction of the rate that is handed out; the rest covers clocks that run at different
#: speeds.
RATE_FRACTION = 0.98

#: Tokens that a bucket may hold beyond its capacity because other hosts granted them.
MAX_EXCESS_TOKENS = 8.0


@frozen
class Tolerance:
    """How far a limit may be exceeded within a window before it counts as violated.

    :ivar window: length of the window, in seconds.
    :ivar ratio: tolerated excess as a fraction of what the limit allows in the window.
    :ivar requests: requests tolerated beyond that.
    """

    window: float = 5.0
    ratio: float = 0.0
    requests: float = 0.0

    def compute_capacity(self, rate: float, burst: float) -> float:
        """Return the total capacity of the buckets of all hosts, in tokens."""
        spare = (rate * self.window + burst) * self.ratio + self.requests
        return burst + spare * TOLERANCE_FRACTION


@frozen
class LimitShare:
    """A host's share of a rate limit.

    :ivar fraction: share of the whole limit, 0 to 1.
    :ivar rate: tokens per second.
    :ivar capacity: maximum number of tokens in the bucket.
    """

    fraction: float = 0.0
    rate: float = 0.0
    capacity: float = 0.0


@define
class TokenBucket:
    """The tokens of a client account on this host; times in microseconds.

    :ivar updated_at: when the bucket was last refilled, initially when the host began
        to serve.
    :ivar level: number of tokens, None before the first request.
    :ivar demand: requests of callers to this host.
    :ivar next_request_at: when tokens may be requested from other hosts again.
    :ivar empty_donors: hosts that granted less than was requested, with the time until
        which they are skipped.
    """

    updated_at: int
    level: float | None = None
    demand: DecayingRate = Factory(lambda: DecayingRate(DEMAND_TIME_CONSTANT_US))
    next_request_at: int = 0
    empty_donors: dict[str, int] = Factory(dict)

    def refill(self, limit_share: LimitShare, now: int) -> None:
        """Add the tokens that accrued since the last refill."""
        if self.level is None:
            self.level = limit_share.capacity * INITIAL_FILL_FRACTION
        elapsed = max(0, now - self.updated_at) / MICROS_PER_SECOND
        self.updated_at = now
        if self.level < limit_share.capacity:
            earned = elapsed * limit_share.rate * RATE_FRACTION
            self.level = min(self.level + earned, limit_share.capacity)
        self.level = min(self.level, limit_share.capacity + MAX_EXCESS_TOKENS)

    def take(self) -> bool:
        """Take a token and return whether there was one."""
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def donate(self, requested: float) -> float:
        """Remove whole tokens for another host and return their number.

        :param requested: tokens that the other host requested.
        """
        if not requested >= 1.0:
            # Also rejects NaN and negative numbers, which a faulty peer may send.
            return 0.0
        donated = float(int(min(requested, self.level)))
        self.level -= donated
        return donated

    def receive(self, tokens: float) -> None:
        """Add tokens that another host granted."""
        self.level = (self.level or 0.0) + tokens

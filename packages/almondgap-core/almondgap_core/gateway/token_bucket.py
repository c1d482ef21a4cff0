"""What a host may admit of a client account's rate and burst: a token bucket."""

from __future__ import annotations

from attrs import Factory, define, frozen

from almondgap_core.gateway.heartbeats import DecayingRate
from almondgap_core.units import MICROS_PER_SECOND, seconds

#: Time over which the demand of an account is averaged.
DEMAND_TIME_CONSTANT_US = seconds(2)

#: Part of the tolerance of a limit that the buckets of all hosts hold beside the burst.
#: The rest is for hosts that disagree for a moment about who holds what.
TOLERANCE_FRACTION = 0.9

#: Part of a bucket that is filled at first: a host that was restarted may have used a
#: full one a moment ago.
INITIAL_FILL_FRACTION = 0.25

#: Share of the rate that is handed out; the rest pays for clocks of different speed.
RATE_FRACTION = 0.98

#: Tokens that a host may have beyond its bucket because others gave them.
MAX_EXCESS_TOKENS = 8.0


@frozen
class Tolerance:
    """How far a limit may be exceeded in a window before it counts as broken.

    :ivar window: length of the window, in seconds.
    :ivar ratio: part of what the limit allows in the window.
    :ivar requests: requests beside that.
    """

    window: float = 5.0
    ratio: float = 0.0
    requests: float = 0.0

    def compute_capacity(self, rate: float, burst: float) -> float:
        """Return the tokens that the buckets of all hosts may hold together."""
        spare = (rate * self.window + burst) * self.ratio + self.requests
        return burst + spare * TOLERANCE_FRACTION


@frozen
class LimitShare:
    """The part of a limit that a host holds.

    :ivar share: part of the whole, 0 to 1.
    :ivar rate: tokens per second.
    :ivar capacity: most tokens that the bucket holds.
    """

    fraction: float = 0.0
    rate: float = 0.0
    capacity: float = 0.0


@define
class TokenBucket:
    """The tokens of a client account on this host.

    :ivar updated: when tokens were added last; at first when the host began to serve.
    :ivar level: tokens that there are, None before the first request.
    :ivar asked: what callers ask of this host.
    :ivar ask_next: when other hosts may be asked for tokens again.
    :ivar empty: hosts that gave less than they were asked for, and until when they are
        passed over.
    """

    updated_at: int
    level: float | None = None
    demand: DecayingRate = Factory(lambda: DecayingRate(DEMAND_TIME_CONSTANT_US))
    next_request_at: int = 0
    empty_donors: dict[str, int] = Factory(dict)

    def refill(self, limit_share: LimitShare, now: int) -> None:
        """Add the tokens that the host's part earned since the last time."""
        if self.level is None:
            self.level = limit_share.capacity * INITIAL_FILL_FRACTION
        elapsed = max(0, now - self.updated_at) / MICROS_PER_SECOND
        self.updated_at = now
        if self.level < limit_share.capacity:
            earned = elapsed * limit_share.rate * RATE_FRACTION
            self.level = min(self.level + earned, limit_share.capacity)
        self.level = min(self.level, limit_share.capacity + MAX_EXCESS_TOKENS)

    def take(self) -> bool:
        """Take a token; return whether there was one."""
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def donate(self, requested: float) -> float:
        """Return the whole tokens that this host gives away, as far as there are."""
        if not requested >= 1.0:
            # Whatever is no number of tokens, as another program may send it.
            return 0.0
        donated = float(int(min(requested, self.level)))
        self.level -= donated
        return donated

    def receive(self, tokens: float) -> None:
        """Add tokens that another host gave."""
        self.level = (self.level or 0.0) + tokens

"""Token buckets with integer arithmetic.

Times are in microseconds and levels in nano-tokens, so that every host computes the
same result from the same events.
"""

from __future__ import annotations

from attrs import define

from almondgap_core.units import TOKEN


@define
class Bucket:
    """A token bucket.

    :ivar rate: refill rate, in thousandths of a token per second.
    :ivar burst: capacity, in tokens.
    :ivar level: available tokens, in nano-tokens.
    :ivar updated: time of the last refill, in microseconds.
    """

    rate: int
    burst: int
    level: int
    updated: int

    @classmethod
    def full(cls, rate: int, burst: int, now: int) -> Bucket:
        """Return a full bucket."""
        return cls(rate, burst, burst * TOKEN, now)

    def refill(self, now: int) -> None:
        """Add the tokens accrued since the last refill."""
        if now <= self.updated:
            return
        gained = (now - self.updated) * self.rate
        self.level = min(self.burst * TOKEN, self.level + gained)
        self.updated = now

    def take(self, now: int, tokens: int = 1) -> bool:
        """Take whole tokens and return whether there were enough."""
        self.refill(now)
        if self.level < tokens * TOKEN:
            return False
        self.level -= tokens * TOKEN
        return True

    def count(self, now: int, tokens: int) -> None:
        """Deduct tokens that were used elsewhere, down to an empty bucket."""
        self.refill(now)
        self.level = max(0, self.level - max(0, tokens) * TOKEN)

    def wait_for(self, now: int, tokens: int = 1) -> int:
        """Return the microseconds until ``tokens`` are available."""
        self.refill(now)
        missing = tokens * TOKEN - self.level
        if missing <= 0:
            return 0
        return -(-missing // max(self.rate, 1))

"""Token buckets on integer time."""

from __future__ import annotations

from attrs import define

from almondgap_core.units import TOKEN


@define
class Bucket:
    """A token bucket that starts empty unless told otherwise.

    :ivar rate: tokens per second, in thousandths.
    :ivar burst: most tokens that the bucket holds.
    :ivar level: tokens that it holds, in nano-tokens.
    :ivar updated: time of the last refill, in microseconds.
    """

    rate: int
    burst: int
    level: int
    updated: int

    @classmethod
    def full(cls, rate: int, burst: int, now: int) -> Bucket:
        """Return a bucket that holds its whole burst."""
        return cls(rate, burst, burst * TOKEN, now)

    def refill(self, now: int) -> None:
        """Add what has accrued since the last refill."""
        if now <= self.updated:
            return
        gained = (now - self.updated) * self.rate
        self.level = min(self.burst * TOKEN, self.level + gained)
        self.updated = now

    def take(self, now: int, tokens: int = 1) -> bool:
        """Take whole tokens; return whether there were enough."""
        self.refill(now)
        if self.level < tokens * TOKEN:
            return False
        self.level -= tokens * TOKEN
        return True

    def count(self, now: int, tokens: int) -> None:
        """Take tokens that were used elsewhere, as far as there are any."""
        self.refill(now)
        self.level = max(0, self.level - max(0, tokens) * TOKEN)

    def wait_for(self, now: int, tokens: int = 1) -> int:
        """Return the microseconds until ``tokens`` will be there."""
        self.refill(now)
        missing = tokens * TOKEN - self.level
        if missing <= 0:
            return 0
        return -(-missing // max(self.rate, 1))

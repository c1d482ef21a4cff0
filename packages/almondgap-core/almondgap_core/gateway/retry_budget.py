"""Retry budget: retries are bounded to a fraction of requests over all hosts.

Handles many targets that fail at once: each failure would be retried and double the
load on the targets that still work. Every host earns retries with the requests that it
receives and holds its share of the common burst, without any message.
"""

from __future__ import annotations

from attrs import define

#: Fraction of the permitted ratio and burst that is used; the rest covers hosts that
#: restarted and hold a fresh burst.
USED_FRACTION = 0.75


@define
class RetryBudget:
    """Retries that a host may still make for a service.

    :ivar tokens: number of retries left.
    :ivar started: whether the initial burst was granted.
    """

    tokens: float = 0.0
    started: bool = False

    def record_request(self, ratio: float, burst: float, hosts: int) -> None:
        """Add the retries that one new request earns."""
        capacity = max(1.0, burst * USED_FRACTION / max(hosts, 1))
        if not self.started:
            self.started = True
            self.tokens = capacity
        # Earned retries may exceed the burst by at most another burst.
        self.tokens = min(self.tokens + ratio * USED_FRACTION, 2 * capacity)

    def take(self) -> bool:
        """Take one retry and return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

"""Retries are a share of requests, over all hosts, without a message.

Answers the load of many targets that fail at once: each failure would be sent again and
double the load on those that still work. Every host earns retries with the requests
that it sees, and holds its part of the burst that all hosts may use.
"""

from __future__ import annotations

from attrs import define

#: Part of the permitted ratio and burst that hosts use; the rest is for hosts that were
#: restarted and hold a new burst.
USED_FRACTION = 0.75


@define
class RetryBudget:
    """Retries that a host may still make at a service."""

    tokens: float = 0.0
    started: bool = False

    def record_request(self, ratio: float, burst: float, hosts: int) -> None:
        """Note one new request."""
        capacity = max(1.0, burst * USED_FRACTION / max(hosts, 1))
        if not self.started:
            self.started = True
            self.tokens = capacity
        # What a request earned may be kept beside the burst for one window at most.
        self.tokens = min(self.tokens + ratio * USED_FRACTION, 2 * capacity)

    def take(self) -> bool:
        """Pay for one retry and return whether there was enough left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

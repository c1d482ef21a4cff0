"""Retries are a share of requests, over all hosts, without a message.

Answers the load of many targets that fail at once: each failure would be sent again and
double the load on those that still work. Every host earns retries with the requests
that it sees, and holds its part of the burst that all hosts may use.
"""

from __future__ import annotations

from attrs import define

#: Part of the permitted ratio and burst that hosts use; the rest is for hosts that were
#: restarted and hold a new burst.
USED_PART = 0.75


@define
class RetryAllowance:
    """Retries that a host may still make at a service."""

    left: float = 0.0
    started: bool = False

    def earn(self, ratio: float, burst: float, hosts: int) -> None:
        """Note one new request."""
        most = max(1.0, burst * USED_PART / max(hosts, 1))
        if not self.started:
            self.started = True
            self.left = most
        # What a request earned may be kept beside the burst for one window at most.
        self.left = min(self.left + ratio * USED_PART, 2 * most)

    def take(self) -> bool:
        """Pay for one retry and return whether there was enough left."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True

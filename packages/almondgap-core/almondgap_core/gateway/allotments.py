"""What a host may admit of a client account's rate and burst.

Answers the load of one account that sends several times its rate, at few hosts or at
all. Each host uses the part of the limit that is its part of what callers ask of all
hosts, as last heard. The parts add up to the limit as far as hosts agree about what is
asked; a host that hears nothing of another goes on reckoning with what that one asked
last, since it may be cut off and still serving.
"""

from __future__ import annotations

from attrs import Factory, define, frozen

from almondgap_core.gateway.beats import Meter
from almondgap_core.units import MICROS_PER_SECOND, seconds

#: Time over which the demand of an account is averaged: two beats.
DEMAND_SPAN_US = seconds(2)

#: Part of the tolerance of a limit that the hosts' buckets hold beside the burst. The
#: rest is for hosts that disagree about what is asked while it changes.
TOLERANCE_PART = 0.5

#: Part of a bucket that is filled at first: a host that was restarted may have used a
#: full one a moment ago.
FIRST_PART = 0.5

#: Demand that every host is taken to have, in requests per second, so that the first
#: requests of an account find tokens.
LEAST_DEMAND = 0.3

#: Least tokens that a bucket holds, so that a single request can pass.
LEAST_BURST = 1.0

#: Share of the rate that is handed out; the rest pays for beats that come late.
RATE_PART = 0.98

#: Change of the share that is worth a line in the log.
NOTABLE = 0.25


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

    def compute_spare(self, rate: float, burst: float) -> float:
        """Return the requests in a window that the limit leaves beyond its burst."""
        return (rate * self.window + burst) * self.ratio + self.requests


@define
class Allotment:
    """The tokens of a client account on this host.

    :ivar asked: what callers ask of this host.
    :ivar elsewhere: requests per second that are asked of other hosts.
    :ivar others: number of other hosts.
    :ivar share: part of the limit that this host uses.
    :ivar level: tokens that it has.
    :ivar updated: when that was, None before the first request.
    :ivar reported: share that was last written to the log.
    """

    asked: Meter = Factory(lambda: Meter(DEMAND_SPAN_US))
    elsewhere: float = 0.0
    others: int = 0
    share: float = 0.0
    level: float = 0.0
    updated: int | None = None
    reported: float = 0.0

    @property
    def _least_elsewhere(self) -> float:
        return self.elsewhere + self.others * LEAST_DEMAND

    def set_share(self, now: int) -> None:
        """Take the part of the limit that follows from what is asked."""
        here = self.asked.read(now) + LEAST_DEMAND
        self.share = here / (here + self._least_elsewhere)

    def take(self, rate: float, burst: float, spare: float, now: int) -> bool:
        """Take a token; return whether there was one.

        :param spare: requests that the limit tolerates beyond its burst.
        """
        self.set_share(now)
        whole = burst + spare * TOLERANCE_PART
        most = max(LEAST_BURST, whole * self.share)
        if self.updated is None:
            self.level = max(1.0, most * FIRST_PART)
        else:
            elapsed = max(0, now - self.updated) / MICROS_PER_SECOND
            self.level += elapsed * rate * RATE_PART * self.share
        self.level = min(self.level, most)
        self.updated = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def compute_wait(self, rate: float) -> int:
        """Return the time until there is a token, in microseconds."""
        earned = max(rate * RATE_PART * self.share, 0.01)
        return round((1.0 - self.level) / earned * MICROS_PER_SECOND)

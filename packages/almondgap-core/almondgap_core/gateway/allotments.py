"""What a host may admit of a client account's rate and burst.

Answers the load of one account that sends several times its rate, at few hosts or at
all, while hosts are cut off from each other or start anew. A host uses the part of the
limit that is its part of what all hosts said they are asked. What counts is what a host
has told, not what it sees by now: so the parts of hosts that hear each other add up to
the limit, however fast the demand changes. The part of a host that falls silent stays
set aside, since it may be cut off and still serving by it.
"""

from __future__ import annotations

from attrs import Factory, define, frozen

from almondgap_core.gateway.beats import Meter
from almondgap_core.units import MICROS_PER_SECOND, millis

#: Time over which the demand of an account is averaged: between one beat and
#: two.
DEMAND_SPAN_US = millis(1_500)

#: Part of the tolerance of a limit that the hosts' buckets hold beside the burst. The
#: rest is for beats that are lost.
TOLERANCE_PART = 0.9

#: Part of a bucket that is filled at first: a host that was restarted may have used a
#: full one a moment ago.
FIRST_PART = 0.25

#: Demand that every host is taken to have while more is asked than the limit allows, in
#: requests per second, so that a host that has told nothing yet finds tokens.
LEAST_DEMAND = 0.3

#: Least tokens that a bucket holds, so that a single request can pass.
LEAST_BURST = 1.0

#: Tokens that a host keeps for its own requests when another one asks for some.
KEPT = 1.5

#: Share of the rate that is handed out; the rest pays for beats that come late.
RATE_PART = 0.98

#: Demand that is worth telling before the next beat is due: this many times what was
#: told, and some requests per second more.
RISE_FACTOR = 1.2
RISE = 0.5


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
    :ivar told: what this host last told of that, in requests per second.
    :ivar elsewhere: what other hosts told that are not silent, in requests per second.
    :ivar held: parts of the limit that stay set aside for silent hosts, by host.
    :ivar level: tokens that it has.
    :ivar updated: when that was; for a new allotment when the host began to serve.
    :ivar started: whether the bucket was filled for the first time.
    :ivar given: tokens among them that other hosts gave.
    :ivar ask_next: when other hosts may be asked for tokens again.
    :ivar reported: share that was last written to the log.
    """

    asked: Meter = Factory(lambda: Meter(DEMAND_SPAN_US))
    told: float = 0.0
    elsewhere: float = 0.0
    held: dict[str, float] = Factory(dict)
    level: float = 0.0
    updated: int = 0
    started: bool = False
    given: float = 0.0
    ask_next: int = 0
    reported: float = 0.0

    def find_share(self, rate: float, others: int) -> float:
        """Return the part of a limit that this host may use.

        :param rate: requests per second that the limit allows over all hosts.
        :param others: number of other hosts that are not silent.
        """
        return self._find_part(self.told, rate, others)

    def hold(self, host: str, told: float, rate: float, others: int) -> None:
        """Set the part of a host aside that has just fallen silent.

        :param told: what it told last, in requests per second.
        :param others: number of other hosts that are not silent, it included.
        """
        self.held[host] = self._find_part(told, rate, others)
        self.elsewhere = max(0.0, self.elsewhere - told)

    def free(self, host: str, told: float) -> None:
        """Reckon with a host again that was silent.

        :param told: what it told last, in requests per second.
        """
        if self.held.pop(host, None) is not None:
            self.elsewhere += told

    def note_told(self, before: float, after: float) -> None:
        """Note that another host told of another demand than before."""
        self.elsewhere = max(0.0, self.elsewhere + after - before)

    def _find_part(self, told: float, rate: float, others: int) -> float:
        """Return the part of a host that told of some demand.

        While less is asked than the limit allows, each host gets what it told and an
        equal part of what is left; otherwise all get less in proportion.
        """
        free = max(0.0, 1.0 - sum(self.held.values()))
        asked = self.told + self.elsewhere
        hosts = others + 1
        left = rate * free - asked
        if rate > 0 and left >= 0:
            return (told + left / hosts) / rate
        return free * (told + LEAST_DEMAND) / (asked + hosts * LEAST_DEMAND)

    def is_rising(self, now: int) -> bool:
        """Return whether other hosts should hear soon how much more is asked."""
        return self.asked.read(now) > self.told * RISE_FACTOR + RISE

    def refill(
        self, rate: float, burst: float, spare: float, others: int, now: int
    ) -> None:
        """Add the tokens that were earned since the last time.

        :param spare: requests that the limit tolerates beyond its burst.
        """
        share = self.find_share(rate, others)
        most = max(LEAST_BURST, (burst + spare * TOLERANCE_PART) * share)
        if not self.started:
            self.started = True
            self.level = most * FIRST_PART
        elapsed = max(0, now - self.updated) / MICROS_PER_SECOND
        self.updated = now
        if self.level < most:
            earned = elapsed * rate * RATE_PART * share
            self.level = min(self.level + earned, most)
        else:
            # What other hosts gave may stand above the bucket until it is used; what
            # is there because the share shrank may not.
            self.level = min(self.level, most + self.given)

    def take(self) -> bool:
        """Take a token; return whether there was one."""
        if self.level < 1.0:
            return False
        self.level -= 1.0
        self.given = max(0.0, self.given - 1.0)
        return True

    def give(self, wanted: float) -> float:
        """Return the tokens that this host gives to another; it keeps some."""
        given = float(int(min(wanted, self.level - KEPT)))
        if given <= 0.0:
            return 0.0
        self.level -= given
        return given

    def receive(self, tokens: float) -> None:
        """Add tokens that another host gave."""
        self.given += tokens
        self.level += tokens

    def is_asked_little(self, rate: float) -> bool:
        """Return whether hosts together are asked less than the limit allows."""
        return self.told + self.elsewhere < rate

    def compute_wait(self, rate: float, others: int) -> int:
        """Return the time until there is a token, in microseconds."""
        earned = max(rate * RATE_PART * self.find_share(rate, others), 0.01)
        return round((1.0 - self.level) / earned * MICROS_PER_SECOND)

"""Token pool of one limit on one host.

The pool combines the shares that the host owns and those it borrowed into one bucket,
and accounts for tokens that other hosts were granted but may not have spent.
"""

from __future__ import annotations

from attrs import Factory, define, frozen

from almondgap_core.limits.catalogue import Limit
from almondgap_core.units import TOKEN

#: Name of the source for the share that this host owns.
OWN_SOURCE = ""


@frozen
class Source:
    """A share that contributes to a pool.

    :ivar until: end of its use, in microseconds.
    """

    share: Limit
    until: int


@frozen
class Reservation:
    """Tokens granted to another host that may still be unspent.

    :ivar until: time from which they cannot be spent any more, in microseconds.
    """

    tokens: int
    until: int


@define
class Pool:
    """A token bucket whose rate and burst are the sum of its sources.

    Tokens granted to another host count against the burst until they are reported as
    spent or expire. So the number of requests that all hosts together can admit at
    once never exceeds the sum of the bursts.

    :ivar rate: sum over the sources, in thousandths of a token per second.
    :ivar burst: sum over the sources, in tokens.
    :ivar level: available tokens, in nano-tokens.
    :ivar updated: time of the last refill, in microseconds.
    :ivar reserved: tokens in ``reservations``.
    :ivar sources: shares by the lending host, or :data:`OWN_SOURCE`.
    :ivar reservations: granted tokens by host and number of its request.
    """

    updated: int
    rate: int = 0
    burst: int = 0
    level: int = 0
    reserved: int = 0
    sources: dict[str, Source] = Factory(dict)
    reservations: dict[tuple[str, int], Reservation] = Factory(dict)

    def advance(self, now: int) -> None:
        """Refill up to ``now``, and drop expired sources and reservations.

        A source accrues tokens until its own end, not until ``now``.
        """
        while self.sources:
            name = min(self.sources, key=lambda name: self.sources[name].until)
            until = self.sources[name].until
            if until > now:
                break
            self._refill(until)
            self.remove(name)
        self._refill(now)
        expired = [
            key
            for key, reservation in self.reservations.items()
            if reservation.until <= now
        ]
        for key in expired:
            self.settle(key)

    def put(self, name: str, source: Source, tokens: int = 0) -> None:
        """Add or replace a source. Call :meth:`advance` first.

        :param tokens: nano-tokens that come with it.
        """
        known = self.sources.get(name)
        if known is not None:
            self._count(known.share, -1)
        self.sources[name] = source
        self._count(source.share, 1)
        self.level += tokens
        self._cap_level()

    def remove(self, name: str) -> int:
        """Drop a source and return its part of the tokens, in nano-tokens.

        Call :meth:`advance` first.
        """
        source = self.sources.pop(name, None)
        if source is None:
            return 0
        tokens = self.level * source.share.burst // max(1, self.burst)
        self.level -= tokens
        self._count(source.share, -1)
        self._cap_level()
        return tokens

    def take(self, tokens: int = 1) -> bool:
        """Take whole tokens and return whether there were enough.

        Call :meth:`advance` first.
        """
        if self.level < tokens * TOKEN:
            return False
        self.level -= tokens * TOKEN
        return True

    def reserve(self, key: tuple[str, int], reservation: Reservation) -> None:
        """Count tokens taken for another host against the burst."""
        self.reservations[key] = reservation
        self.reserved += reservation.tokens

    def settle(self, key: tuple[str, int], returned: int = 0) -> None:
        """End a reservation: all of its tokens were spent except for those returned."""
        reservation = self.reservations.pop(key, None)
        if reservation is not None:
            self.reserved -= reservation.tokens
            self.level += max(0, min(returned, reservation.tokens)) * TOKEN
            self._cap_level()

    def compute_wait(self, tokens: int = 1) -> int | None:
        """Return the microseconds until ``tokens`` are available, None if never."""
        missing = tokens * TOKEN - self.level
        if missing <= 0:
            return 0
        return -(-missing // self.rate) if self.rate else None

    def _count(self, share: Limit, sign: int) -> None:
        self.rate += sign * share.rate
        self.burst += sign * share.burst

    def _refill(self, now: int) -> None:
        if now > self.updated:
            self.level += (now - self.updated) * self.rate
            self.updated = now
            self._cap_level()

    def _cap_level(self) -> None:
        room = max(0, self.burst - self.reserved)
        self.level = min(self.level, room * TOKEN)

"""A pool: one bucket over all shares of a limit that a host may use now."""

from __future__ import annotations

from attrs import Factory, define, frozen

from almondgap_core.limits.catalogue import Limit
from almondgap_core.units import TOKEN

#: Source that stands for what this host owns.
OWN_SOURCE = ""


@frozen
class Source:
    """A share in use.

    :ivar until: when its use ends, in microseconds.
    """

    share: Limit
    until: int


@frozen
class Reservation:
    """Tokens that another host may still spend.

    :ivar until: when it can spend them no longer, in microseconds.
    """

    tokens: int
    until: int


@define
class Pool:
    """A token bucket whose rate and burst are the sum of its sources.

    Tokens handed to another host count against the burst until they are known to be
    spent or can be spent no longer. So what can be admitted at once over all hosts
    never exceeds the sum of the bursts.

    :ivar rate: sum over the sources, in thousandths per second.
    :ivar burst: sum over the sources, in tokens.
    :ivar level: tokens here, in nano-tokens.
    :ivar updated: time of the last refill, in microseconds.
    :ivar reserved: tokens at other hosts.
    """

    updated: int
    rate: int = 0
    burst: int = 0
    level: int = 0
    reserved: int = 0
    sources: dict[str, Source] = Factory(dict)
    reservations: dict[tuple[str, int], Reservation] = Factory(dict)

    def advance(self, now: int) -> None:
        """Refill up to ``now``, and drop what ends before."""
        while self.sources:
            name = min(self.sources, key=lambda name: self.sources[name].until)
            until = self.sources[name].until
            if until > now:
                break
            self._refill(until)
            self.remove(name)
        self._refill(now)
        over = [key for key, kept in self.reservations.items() if kept.until <= now]
        for key in over:
            self.settle(key)

    def put(self, name: str, source: Source, tokens: int = 0) -> None:
        """Add or replace a source, after :meth:`advance`.

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
        """Drop a source, after :meth:`advance`; return its part of the tokens."""
        source = self.sources.pop(name, None)
        if source is None:
            return 0
        tokens = self.level * source.share.burst // max(1, self.burst)
        self.level -= tokens
        self._count(source.share, -1)
        self._cap_level()
        return tokens

    def take(self, tokens: int = 1) -> bool:
        """Take whole tokens, after :meth:`advance`; return whether it could."""
        if self.level < tokens * TOKEN:
            return False
        self.level -= tokens * TOKEN
        return True

    def reserve(self, key: tuple[str, int], kept: Reservation) -> None:
        """Note tokens that were taken for another host."""
        self.reservations[key] = kept
        self.reserved += kept.tokens

    def settle(self, key: tuple[str, int], returned: int = 0) -> None:
        """Note that another host spent its tokens but for those it returns."""
        kept = self.reservations.pop(key, None)
        if kept is not None:
            self.reserved -= kept.tokens
            self.level += max(0, min(returned, kept.tokens)) * TOKEN
            self._cap_level()

    def compute_wait(self, tokens: int = 1) -> int | None:
        """Return the microseconds until ``tokens`` are there, None if never."""
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

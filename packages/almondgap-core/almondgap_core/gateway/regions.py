"""How the requests of one region are shared over the regions.

Answers the loads of unequal regions, of callers that move from one failure domain to
another, and of a region that loses targets. Requests stay in the region of their host
as far as its targets have room, since distance costs time and money; the rest goes
where there is most room. The shares move slowly, so that a change of traffic does not
throw requests from region to region; only a change of the targets moves them at once.
Within the shares, regions take turns in place of chance: chance alone would move more
from one moment to the next than is allowed.
"""

from __future__ import annotations

from attrs import Factory, define

from almondgap_core.units import MICROS_PER_SECOND

#: Utilization of a region's slots up to which all its requests stay at home.
COMFORT = 0.55

#: How far above the mean utilization a region may go to keep its requests.
MORE_THAN_MEAN = 1.15

#: Share of the permitted shift that the plan uses; the rest is for the mix of requests,
#: which changes by itself.
SHIFT_PART = 0.35

#: Time over which a shift is judged, in seconds.
SHIFT_SPAN_S = 2.0

#: Change of a region's slots that moves the shares at once.
LEAP = 0.2

#: Demand that each region is taken to have besides what was measured, in requests per
#: second, so that the plan is steady when the first requests come.
PRIOR_DEMAND = 5.0


def plan_shares(
    home: str, slots: dict[str, int], demand: dict[str, float], work_s: float
) -> dict[str, float]:
    """Return the share of a region's requests that each region is to serve.

    :param slots: usable slots of the service by region.
    :param demand: requests per second that callers ask, by region of their host.
    :param work_s: time that a request keeps a slot, in seconds.
    """
    whole = sum(slots.values())
    if whole == 0:
        return {home: 1.0}
    asked = {name: demand.get(name, 0.0) + PRIOR_DEMAND for name in {*slots, home}}
    mean = sum(asked.values()) / whole
    density = max(mean * MORE_THAN_MEAN, COMFORT / max(work_s, 0.001))
    room = {name: density * slots.get(name, 0) for name in asked}
    kept = min(1.0, room[home] / asked[home])
    spare = {name: max(0.0, room[name] - asked[name]) for name in asked if name != home}
    if not any(spare.values()):
        spare = {name: float(slots.get(name, 0)) for name in spare}
    total = sum(spare.values())
    if total == 0:
        return {home: 1.0}
    shares = {name: (1 - kept) * part / total for name, part in spare.items() if part}
    shares[home] = kept
    return shares


@define
class RegionSplit:
    """The shares in force for one service on this host.

    :ivar shares: share of the requests by region.
    :ivar credit: what each region is behind its share, in requests.
    :ivar slots: usable slots by region when the shares were last set.
    """

    shares: dict[str, float] = Factory(dict)
    credit: dict[str, float] = Factory(dict)
    slots: dict[str, int] = Factory(dict)
    moved_at: int = 0

    def move(
        self,
        wanted: dict[str, float],
        slots: dict[str, int],
        max_shift: float,
        now: int,
    ) -> None:
        """Move the shares towards those that are wanted, as far as is allowed."""
        elapsed = (now - self.moved_at) / MICROS_PER_SECOND
        self.moved_at = now
        if not self.shares or self._leapt(slots):
            self.shares = dict(wanted)
            self.slots = dict(slots)
            return
        moved = sum(
            abs(wanted.get(name, 0.0) - self.shares.get(name, 0.0))
            for name in {*wanted, *self.shares}
        )
        allowed = 2 * max_shift * SHIFT_PART * min(elapsed, 1.0) / SHIFT_SPAN_S
        part = min(1.0, allowed / moved) if moved else 0.0
        for name in {*wanted, *self.shares}:
            now_share = self.shares.get(name, 0.0)
            self.shares[name] = now_share + part * (wanted.get(name, 0.0) - now_share)

    def choose(self, allowed: set[str]) -> str | None:
        """Return the region whose turn it is among those allowed."""
        shares = {
            name: share
            for name, share in self.shares.items()
            if name in allowed and share > 0
        }
        total = sum(shares.values())
        if not total:
            return None
        for name, share in shares.items():
            self.credit[name] = self.credit.get(name, 0.0) + share / total
        chosen = max(shares, key=lambda name: (self.credit[name], name))
        self.credit[chosen] -= 1.0
        return chosen

    def _leapt(self, slots: dict[str, int]) -> bool:
        for name in {*slots, *self.slots}:
            before, after = self.slots.get(name, 0), slots.get(name, 0)
            if abs(after - before) > LEAP * max(before, after):
                return True
        return False

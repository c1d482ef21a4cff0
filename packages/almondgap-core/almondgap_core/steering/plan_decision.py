"""Deciding the region plan: a pure function of inventory, loads and the last plan."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import Factory, define

from almondgap_core.settings.inventory import Inventory
from almondgap_core.steering.distances import (
    list_serving_regions,
    measure_distance,
    rank_regions,
)
from almondgap_core.steering.plan import (
    REFUSED,
    SHARE_UNIT,
    FlowKey,
    Move,
    PlanInputs,
    RegionPlan,
    RegionStanding,
    Standing,
)
from almondgap_core.steering.plan_budgets import (
    HEADROOM_DIVISOR,
    Budgets,
    build_budgets,
    compute_capacity,
    compute_limit,
    compute_standings,
)

#: Part of its share that a region with an old load loses in a decision.
DECAY_DIVISOR = 4


def decide_plan(
    inventory: Inventory, inputs: PlanInputs, previous: RegionPlan | None, now: int
) -> RegionPlan:
    """Return the plan that follows ``previous``.

    The steps, in order: what a lost region leaves; what was refused; draining regions;
    regions with an old load; overloaded regions; returns to nearer regions. Each moves
    only what fits into this host's parts of the limits.
    """
    standings = compute_standings(inventory, inputs.loads, previous, now)
    decision = _Decision.begin(inventory, inputs, standings, previous)
    if any(entry.standing is not Standing.LOST for entry in standings.values()):
        decision.evacuate_lost()
        decision.readmit_refused()
        decision.drain_regions()
        decision.decay_stale()
        decision.relieve_overloaded()
        decision.return_to_nearer()
    moved = {} if previous is None else dict(previous.last_moves)
    moved.update({move.destination: now for move in decision.moves})
    return RegionPlan(
        now,
        {key: _drop_empty(shares) for key, shares in decision.flows.items()},
        decision.demand,
        standings,
        moved,
        frozenset(
            n for n, headroom in decision.budgets.headroom.items() if headroom <= 0
        ),
        tuple(decision.moves),
    )


def _drop_empty(shares: dict[str, int]) -> dict[str, int]:
    return {region: share for region, share in shares.items() if share}


@define
class _Decision:
    inventory: Inventory
    inputs: PlanInputs
    standings: dict[str, RegionStanding]
    flows: dict[FlowKey, dict[str, int]]
    demand: dict[FlowKey, int]
    budgets: Budgets
    serving: dict[str, frozenset[str]]
    ranked: dict[str, list[str]]
    moves: list[Move] = Factory(list)

    @classmethod
    def begin(cls, inventory, inputs, standings, previous) -> _Decision:
        serving = {
            name: list_serving_regions(inventory, name) for name in inventory.services
        }
        ranked = {
            name: rank_regions(inventory, region.position)
            for name, region in inventory.regions.items()
        }
        flows = {}
        demand = {}
        for service in sorted(inventory.services):
            for origin in sorted(inventory.regions):
                key = FlowKey(service, origin)
                known = {} if previous is None else previous.shares.get(key, {})
                kept = {r: s for r, s in known.items() if r in inventory.regions}
                if known.get(REFUSED):
                    kept[REFUSED] = known[REFUSED]
                nearest = ranked[origin]
                flows[key] = _complete_shares(
                    nearest, standings, serving[service], kept
                )
                before = 0 if previous is None else previous.demand.get(key, 0)
                demand[key] = max(inputs.demand.get(key, 0), before // 2, 1)
        budgets = build_budgets(inventory, inputs, standings, previous, flows, demand)
        return cls(
            inventory, inputs, standings, flows, demand, budgets, serving, ranked
        )

    def evacuate_lost(self) -> None:
        """Empty lost regions; what fits nowhere is refused."""
        for key, region, share in self._list_shares():
            if region == REFUSED or self.standings[region].standing != Standing.LOST:
                continue
            left = self._move(key, region, share, self.budgets.loss, forced=True)
            self._refuse(key, region, left)

    def readmit_refused(self) -> None:
        """Serve again what was refused, where it fits by now."""
        for key, region, share in self._list_shares():
            if region == REFUSED:
                self._move(key, REFUSED, share, self.budgets.loss, forced=True)

    def drain_regions(self) -> None:
        """Move traffic out of draining regions, as far as it fits elsewhere."""
        for key, region, share in self._list_shares():
            if region != REFUSED and self.inventory.regions[region].draining:
                self._move(key, region, share, self.budgets.shift)

    def decay_stale(self) -> None:
        """Let regions with an old load lose a part of what they have."""
        for key, region, share in self._list_shares():
            if region != REFUSED and self.standings[region].standing is Standing.OLD:
                part = -(-share // DECAY_DIVISOR)
                self._move(key, region, part, self.budgets.shift)

    def relieve_overloaded(self) -> None:
        """Move what is over a region's limit; refuse what is over its capacity.

        All hosts do so at once and none sees what the others just moved, so that each
        moves a fraction; see ``HEADROOM_DIVISOR``.
        """
        for name, load in self.inputs.loads.items():
            standing = self.standings.get(name)
            if standing is None or standing.standing is not Standing.FRESH:
                continue
            over = load.admitted - compute_limit(self.inventory, name, load)
            surplus = load.admitted - compute_capacity(self.inventory, name, load)
            if over <= 0:
                continue
            divisor = load.admitted * HEADROOM_DIVISOR
            for key, found, share in self._list_shares():
                if found == name:
                    part = share * over // divisor
                    left = self._move(key, name, part, self.budgets.shift)
                    refused = max(share * surplus // divisor, 0)
                    self._refuse(key, name, min(left, refused))

    def return_to_nearer(self) -> None:
        """Move traffic to a nearer region that has room beyond the band."""
        gain = self.inventory.topology.rules.gain
        for key, region, share in self._list_shares():
            if region in (REFUSED, self.ranked[key.origin][0]):
                continue
            max_delay = self._get_delay(key.origin, region) - gain
            allowed = [
                name
                for name in self._list_candidates(key, region)
                if self._get_delay(key.origin, name) <= max_delay
            ]
            self._move(key, region, share, self.budgets.shift, allowed=allowed)

    def _list_shares(self) -> Iterator[tuple[FlowKey, str, int]]:
        for key, shares in self.flows.items():
            for region, share in sorted(shares.items()):
                if share:
                    yield key, region, share

    def _list_candidates(self, key: FlowKey, source: str) -> list[str]:
        serving = self.serving[key.service]
        nearest = self.ranked[key.origin]
        return [name for name in nearest if name != source and name in serving]

    def _get_delay(self, origin: str, region: str) -> int:
        regions = self.inventory.regions
        return measure_distance(regions[origin].position, regions[region].position)

    def _refuse(self, key: FlowKey, region: str, share: int) -> None:
        flow = self.flows[key]
        flow[region] -= share
        flow[REFUSED] = flow.get(REFUSED, 0) + share

    def _move(
        self,
        key: FlowKey,
        source: str,
        share: int,
        caps: dict[str, int],
        forced: bool = False,
        allowed: list[str] | None = None,
    ) -> int:
        """Move up to ``share`` to the nearest regions with room; return what is left.

        :param allowed: the only regions that may take it, within their band.
        """
        demand = self.demand[key]
        for region in (
            self._list_candidates(key, source) if allowed is None else allowed
        ):
            headroom = self.budgets.find_headroom(self.inventory, key, region)
            if allowed is not None:
                headroom = min(headroom, self.budgets.return_headroom[region])
            headroom = min(headroom, caps[region])
            taken = min(share, headroom * SHARE_UNIT // demand)
            if taken <= 0:
                continue
            rate = -(-taken * demand // SHARE_UNIT)
            self.budgets.spend(self.inventory, key, region, rate)
            flow = self.flows[key]
            flow[source] -= taken
            flow[region] = flow.get(region, 0) + taken
            share -= taken
            self.moves.append(Move(key, source, region, rate, forced))
        return share


def _complete_shares(nearest: list[str], standings, serving, kept: dict[str, int]):
    """Return shares that sum to the unit; what is missing goes to the first choice."""
    missing = SHARE_UNIT - sum(kept.values())
    if missing:
        first = _choose_initial_region(nearest, standings, serving)
        kept[first] = kept.get(first, 0) + missing
    return kept


def _choose_initial_region(
    nearest: list[str], standings, serving: frozenset[str]
) -> str:
    """Return where a flow without a past begins, as look-ups without a plan do."""
    served = [name for name in nearest if name in serving] or nearest
    sound = [n for n in served if standings[n].standing is not Standing.LOST]
    return (sound or served)[0]

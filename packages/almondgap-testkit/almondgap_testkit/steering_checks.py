"""Checks that no decision of a fleet of planning hosts broke a rule."""

from __future__ import annotations

from itertools import pairwise

from almondgap_core.steering.plan import REFUSED, RegionLoad
from almondgap_core.steering.plan_budgets import compute_limit
from almondgap_testkit.steering_fleet import SteeringFleet


def find_faults(fleet: SteeringFleet) -> list[str]:
    """Return where the decisions broke a rule of the region plan.

    Checked are the caps of every interval over all hosts, and reversals: a host that
    moves a flow from one region to another and back more than once.
    """
    faults = []
    rules = fleet.inventory.topology.rules
    for forced, percent in (
        (False, rules.shift_cap_percent),
        (True, max(rules.loss_cap_percent, rules.shift_cap_percent)),
    ):
        for second, region, rate in fleet.iterate_interval_totals(forced):
            cap = fleet.inventory.regions[region].capacity * percent // 100
            if rate > cap:
                faults.append(f"{second} s: {rate} into {region}, cap {cap}")
    return faults + _find_reversals(fleet)


def find_overfilled(fleet: SteeringFleet, run: int) -> list[str]:
    """Let ``run`` seconds pass; return where decisions filled a region over its limit.

    Demand has to stay the same meanwhile.
    """
    faults = []
    for _ in range(run):
        before = len(fleet.moves)
        fleet.step()
        for region in {entry.move.destination for entry in fleet.moves[before:]}:
            full = RegionLoad(0, {})
            limit = compute_limit(fleet.inventory, region, full)
            committed = fleet.compute_committed_load(region)
            if committed > limit + len(fleet.hosts):
                faults.append(f"{fleet.second} s: {committed} in {region}, {limit}")
    return faults


def _find_reversals(fleet: SteeringFleet) -> list[str]:
    faults = []
    paths: dict[tuple, list[str]] = {}
    for entry in fleet.moves:
        move = entry.move
        if move.source != REFUSED:
            pair = frozenset((move.source, move.destination))
            paths.setdefault((entry.host, move.key, pair), []).append(move.destination)
    for (host, key, pair), path in paths.items():
        turns = sum(one != other for one, other in pairwise(path))
        if turns > 1:
            names = " and ".join(sorted(pair))
            faults.append(f"{host}: {key} turned {turns} times between {names}")
    return faults

"""Division of a service's requests over regions by the room that targets have there.

Handles regions of unequal room, each with callers of its own objects: an object that is
served in the region of its callers crosses no link between regions. Each region keeps
as much of its demand as its targets can take; what is left over goes to regions with
room to spare. A part of each region's requests is spread by room all the same, since
demand moves between regions faster than objects should. The plan depends only on which
targets there are, so that all hosts of a region compute the same one and a surge of
callers moves no object.
"""

from __future__ import annotations

from collections.abc import Mapping

#: How far the targets of a region may be used beyond the mean use of all targets of the
#: service, to keep requests in the region.
MAX_LOCAL_USE = 1.25

#: Part of a region's requests that is spread over all regions by their room, so that a
#: surge of its callers meets targets everywhere.
SPREAD_PART = 0.4

#: Share of a region that the plan gives no requests: its targets still come last in the
#: order of an object.
MIN_SHARE = 1e-6


def plan_shares(
    region: str, demand: Mapping[str, float], room: Mapping[str, float]
) -> dict[str, float]:
    """Return the share of a region's requests that each region is to serve.

    :param region: region of the callers.
    :param demand: demand of each region, relative to the others.
    :param room: slots of the targets in each region that may serve the requests.
    """
    total_room = sum(room.values())
    if total_room <= 0:
        return {}
    total_demand = sum(demand.values()) or 1.0
    wanted = {name: value / total_demand for name, value in demand.items()}
    offered = {name: value / total_room for name, value in room.items()}
    local = {
        name: min(wanted.get(name, 0.0), MAX_LOCAL_USE * offered[name])
        for name in offered
    }
    kept = local.get(region, 0.0)
    left_over = max(0.0, wanted.get(region, 0.0) - kept)
    if region not in offered or not wanted.get(region):
        kept, left_over = 0.0, 1.0
    spare = {
        name: max(0.0, offered[name] - local[name])
        for name in offered
        if name != region
    }
    if not sum(spare.values()):
        spare = {name: offered[name] for name in offered if name != region}
    shares = {name: left_over * value for name, value in _normalise(spare).items()}
    if region in offered:
        shares[region] = kept if shares else 1.0
    planned = _normalise(shares)
    return {
        name: max(
            MIN_SHARE,
            (1 - SPREAD_PART) * planned.get(name, 0.0) + SPREAD_PART * offered[name],
        )
        for name in offered
    }


def _normalise(values: Mapping[str, float]) -> dict[str, float]:
    total = sum(values.values())
    return {name: value / total for name, value in values.items()} if total else {}

"""Distances between places, and which region a place belongs to."""

from __future__ import annotations

import math

from almondgap_core.settings.inventory import Inventory
from almondgap_core.settings.topology import Position
from almondgap_core.units import MICROS_PER_MILLI


def measure_distance(one: Position, other: Position) -> int:
    """Return the one-way delay between two positions, in microseconds."""
    return round(math.dist(one, other) * MICROS_PER_MILLI)


def rank_regions(inventory: Inventory, position: Position) -> list[str]:
    """Return the names of all regions, nearest first."""
    regions = inventory.regions.values()
    ranked = sorted(
        regions, key=lambda r: (measure_distance(position, r.position), r.name)
    )
    return [region.name for region in ranked]


def find_origin(inventory: Inventory, site: str | None, failure_domain: str) -> str:
    """Return the region that callers of a site count to.

    Callers of an unknown site count to the inventory's default site, or to the region
    of the host that they reached.

    :param failure_domain: where this host is.
    """
    known = inventory.topology.sites
    if site not in known:
        site = inventory.topology.rules.default_site
    if site in known:
        return rank_regions(inventory, known[site].position)[0]
    domain = inventory.failure_domains.get(failure_domain)
    return min(inventory.regions) if domain is None else domain.region


def list_serving_regions(inventory: Inventory, service: str) -> frozenset[str]:
    """Return the regions that have a target of a service which does not leave."""
    return frozenset(
        inventory.failure_domains[target.failure_domain].region
        for target in map(inventory.targets.get, inventory.services[service].targets)
        if not target.draining
    )

"""How much one host may move into each region: its part of every limit."""

from __future__ import annotations

from collections.abc import Mapping
from zlib import crc32

from attrs import Factory, define

from almondgap_core.settings.inventory import Inventory
from almondgap_core.steering.plan import (
    REFUSED,
    SHARE_UNIT,
    FlowKey,
    PlanInputs,
    RegionLoad,
    RegionPlan,
    RegionStanding,
    ServiceUsage,
    Standing,
)
from almondgap_core.units import MICROS_PER_SECOND, MILLIS_PER_UNIT

#: A host moves at most this fraction of its part of the room that it sees, since the
#: others' latest moves are not visible to it.
HEADROOM_DIVISOR = 4

#: Ages of a load, in multiples of the rule's age, from which a region is lost.
LOST_AGE_FACTOR = 3

#: Intervals for which a region has to be fresh before it attracts traffic again.
HOLD_INTERVALS = 2

BITS_PER_BYTE = 8


def compute_standings(
    inventory: Inventory,
    loads: Mapping[str, RegionLoad],
    previous: RegionPlan | None,
    now: int,
) -> dict[str, RegionStanding]:
    """Return the standing of each region."""
    rules = inventory.topology.rules
    before = {} if previous is None else previous.standings
    standings = {}
    for name in inventory.regions:
        load = loads.get(name)
        age = None if load is None else now - load.measured_at
        known = before.get(name)
        if age is None or age > LOST_AGE_FACTOR * rules.load_age:
            standings[name] = RegionStanding(Standing.LOST, now)
        elif age > rules.load_age:
            standings[name] = RegionStanding(Standing.OLD, now)
        elif known is None:
            hold = HOLD_INTERVALS * rules.interval
            standings[name] = RegionStanding(Standing.FRESH, now - hold)
        else:
            kept = known.standing in (Standing.FRESH, Standing.RETURNING)
            since = known.since if kept else now
            settled = now - since >= HOLD_INTERVALS * rules.interval
            standing = Standing.FRESH if settled else Standing.RETURNING
            standings[name] = RegionStanding(standing, since)
    return standings


@define
class Budgets:
    """What is left of a host's parts during one decision.

    :ivar shift: by region, rate that may still be moved there by choice.
    :ivar loss: the same for what a lost region leaves.
    :ivar headroom: rate that fits under the region's limit.
    :ivar return_headroom: rate that fits under the limit less the band, for returns.
    :ivar slots: by region and service, rate that fits into its free slots.
    :ivar links: by origin and region, bits per second that the link still takes.
    """

    shift: dict[str, int] = Factory(dict)
    loss: dict[str, int] = Factory(dict)
    headroom: dict[str, int] = Factory(dict)
    return_headroom: dict[str, int] = Factory(dict)
    slots: dict[tuple[str, str], int] = Factory(dict)
    links: dict[tuple[str, str], int] = Factory(dict)

    def find_headroom(self, inventory: Inventory, key: FlowKey, region: str) -> int:
        """Return the rate of a flow that a region can still take."""
        headroom = min(self.headroom[region], self.slots.get((region, key.service), 0))
        link = self.links.get((key.origin, region))
        if link is not None:
            headroom = min(headroom, _convert_to_rate(inventory, key.service, link))
        return max(headroom, 0)

    def spend(self, inventory: Inventory, key: FlowKey, region: str, rate: int) -> None:
        """Take a move from every budget that it touches."""
        for budget in (self.shift, self.loss, self.headroom, self.return_headroom):
            budget[region] -= rate
        self.slots[region, key.service] -= rate
        if (key.origin, region) in self.links:
            bits = convert_to_bits(inventory, key.service, rate)
            self.links[key.origin, region] -= bits


def build_budgets(
    inventory: Inventory,
    inputs: PlanInputs,
    standings: Mapping[str, RegionStanding],
    previous: RegionPlan | None,
    flows: Mapping[FlowKey, Mapping[str, int]],
    demand: Mapping[FlowKey, int],
) -> Budgets:
    """Return this host's parts of all limits, as the decision begins.

    A region whose load is not fresh, that drains, or whose load does not yet show what
    this host last moved there, takes nothing.

    :param flows: shares before the decision.
    """
    rules = inventory.topology.rules
    budgets = Budgets()
    for name, region in inventory.regions.items():
        load = inputs.loads.get(name)
        shift = region.capacity * rules.shift_cap_percent // 100
        loss = max(region.capacity * rules.loss_cap_percent // 100, shift)
        budgets.shift[name] = compute_host_share(inputs, shift, f"shift/{name}")
        budgets.loss[name] = compute_host_share(inputs, loss, f"shift/{name}")
        open_to_moves = (
            standings[name].standing is Standing.FRESH
            and not region.draining
            and _reflects_last_move(inventory, load, previous, name)
        )
        budgets.headroom[name] = budgets.return_headroom[name] = 0
        if open_to_moves:
            limit = compute_limit(inventory, name, load)
            band = region.capacity * rules.band_percent // 100
            headroom = limit - load.admitted
            budgets.headroom[name] = _compute_headroom_share(inputs, headroom, name)
            budgets.return_headroom[name] = _compute_headroom_share(
                inputs, headroom - band, name
            )
            for service, usage in load.services.items():
                rate = _estimate_slot_headroom(inventory, service, usage)
                part = _compute_headroom_share(inputs, rate, f"{name}/{service}")
                budgets.slots[name, service] = part
    _add_link_budgets(inventory, inputs, flows, demand, budgets)
    return budgets


def compute_capacity(inventory: Inventory, region: str, load: RegionLoad) -> int:
    """Return what a region's reachable part can take, in thousandths."""
    return inventory.regions[region].capacity * load.reachable_millis // MILLIS_PER_UNIT


def compute_limit(inventory: Inventory, region: str, load: RegionLoad) -> int:
    """Return the rate up to which decisions may fill a region, in thousandths."""
    free = inventory.topology.rules.headroom_percent
    return compute_capacity(inventory, region, load) * (100 - free) // 100


def compute_host_share(inputs: PlanInputs, total: int, seed: str) -> int:
    """Return this host's part of a limit; all hosts' parts sum to it exactly.

    The remainder goes to hosts that follow each other from a place that the seed gives.
    Ranking the hosts for each of some hundred limits, as shares of accounts do, would
    pause a fleet's hosts.
    """
    count = len(inputs.hosts)
    quotient, remainder = divmod(max(total, 0), count)
    offset = (inputs.host_index - crc32(seed.encode())) % count
    return quotient + (offset < remainder)


def convert_to_bits(inventory: Inventory, service: str, rate: int) -> int:
    """Return the bits per second of a rate of requests in thousandths, rounded up."""
    size = inventory.services[service].answer_bytes * BITS_PER_BYTE
    return -(-rate * size // MILLIS_PER_UNIT)


def _convert_to_rate(inventory: Inventory, service: str, bits: int) -> int:
    size = inventory.services[service].answer_bytes * BITS_PER_BYTE
    return bits * MILLIS_PER_UNIT // size


def _compute_headroom_share(inputs: PlanInputs, headroom: int, seed: str) -> int:
    return compute_host_share(inputs, headroom // HEADROOM_DIVISOR, f"room/{seed}")


def _reflects_last_move(inventory, load, previous, region: str) -> bool:
    moved = None if previous is None else previous.last_moves.get(region)
    if moved is None:
        return True
    return load.measured_at >= moved + inventory.lookup_ttl * MICROS_PER_SECOND


def _estimate_slot_headroom(
    inventory: Inventory, service: str, usage: ServiceUsage
) -> int:
    """Return the rate that the free slots carry, in thousandths.

    A slot carries what it is measured to carry, or without a measurement one request
    in the service's deadline. Targets that fail half of their requests carry nothing.
    """
    if service not in inventory.services or usage.errors * 2 >= max(usage.admitted, 1):
        return 0
    percent = 100 - inventory.topology.rules.headroom_percent
    free = usage.slots * percent // 100 - usage.used
    if usage.used and usage.admitted:
        return free * usage.admitted // usage.used
    deadline = inventory.services[service].deadline
    return free * MILLIS_PER_UNIT * MICROS_PER_SECOND // deadline


def _add_link_budgets(inventory, inputs, flows, demand, budgets: Budgets) -> None:
    percent = 100 - inventory.topology.rules.headroom_percent
    for pair, link in inventory.topology.links.items():
        total = link.capacity * percent // 100
        for origin, region in (pair, pair[::-1]):
            part = compute_host_share(inputs, total, f"link/{origin}/{region}")
            budgets.links[origin, region] = part
    for key, shares in flows.items():
        for region, share in shares.items():
            if region != REFUSED and (key.origin, region) in budgets.links:
                rate = -(-demand[key] * share // SHARE_UNIT)
                bits = convert_to_bits(inventory, key.service, rate)
                budgets.links[key.origin, region] -= bits

"""Data of the region plan: the inputs of a decision and the resulting shares."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

from attrs import field, frozen

from almondgap_core.units import MILLIS_PER_UNIT

#: Shares of a flow sum to this.
SHARE_UNIT = 1_000_000

#: Pseudo-region of a flow for the share that is refused before execution.
REFUSED = ""


@frozen(order=True)
class FlowKey:
    """Requests for one service from callers of one region.

    :ivar origin: region that the callers are assigned to.
    """

    service: str
    origin: str


@frozen
class ServiceUsage:
    """Load of one service in one region.

    :ivar slots: slots of targets that take work, and ``used`` those in use.
    :ivar admitted: requests per second, in thousandths, and ``errors`` those that
        failed.
    """

    slots: int
    used: int
    admitted: int
    errors: int


@frozen
class RegionLoad:
    """Load of a region as known to one host.

    :ivar measured_at: time of the measurement, in microseconds.
    :ivar reachable_millis: part of the region's failure domains that can be reached, in
        thousandths; the rest of its capacity does not count.
    """

    measured_at: int
    services: Mapping[str, ServiceUsage]
    reachable_millis: int = MILLIS_PER_UNIT

    @property
    def admitted(self) -> int:
        """Requests per second of all services, in thousandths."""
        return sum(usage.admitted for usage in self.services.values())


@frozen
class PlanInputs:
    """Inputs of a plan decision at one host.

    :ivar host: the deciding host, one of ``hosts``, among which limits are divided.
    :ivar demand: requests per second that follow from this host's look-ups, in
        thousandths.
    :ivar loads: load by region, without regions that have never reported.
    :ivar host_index: index of the host in ``hosts``.
    """

    host: str
    hosts: tuple[str, ...]
    demand: Mapping[FlowKey, int]
    loads: Mapping[str, RegionLoad]
    host_index: int = field(init=False)

    @host_index.default
    def _find_host_index(self) -> int:
        return self.hosts.index(self.host)


class Standing(Enum):
    """Freshness of a region's load reports.

    ``RETURNING`` regions report again, but not for long enough to attract traffic.
    """

    FRESH = "fresh"
    RETURNING = "returning"
    OLD = "old"
    LOST = "lost"


@frozen
class RegionStanding:
    """Standing of a region.

    :ivar since: time since which its load has been fresh, in microseconds.
    """

    standing: Standing
    since: int


@frozen
class Move:
    """One shift of traffic between regions.

    :ivar rate: requests per second of this host's callers, in thousandths.
    :ivar source: region that loses the traffic, ``REFUSED`` if it was refused before.
    :ivar forced: whether the source is lost, so that the higher cap applies.
    """

    key: FlowKey
    source: str
    destination: str
    rate: int
    forced: bool


@frozen
class RegionPlan:
    """Plan by which one host distributes callers over regions.

    :ivar decided_at: time of the decision, in microseconds.
    :ivar shares: share of each region by flow, out of ``SHARE_UNIT``.
    :ivar demand: demand by flow that the decision assumed.
    :ivar last_moves: time of the last move into each region, in microseconds.
    :ivar full_regions: regions without headroom.
    :ivar moves: moves made by the decision.
    """

    decided_at: int
    shares: Mapping[FlowKey, Mapping[str, int]]
    demand: Mapping[FlowKey, int] = field(factory=dict)
    standings: Mapping[str, RegionStanding] = field(factory=dict)
    last_moves: Mapping[str, int] = field(factory=dict)
    full_regions: frozenset[str] = frozenset()
    moves: tuple[Move, ...] = ()

    def find_shares(self, service: str, origin: str) -> Mapping[str, int]:
        """Return the share of each region for a flow; empty for an unknown flow."""
        return self.shares.get(FlowKey(service, origin), {})

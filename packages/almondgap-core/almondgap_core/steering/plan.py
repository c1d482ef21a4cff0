"""The region plan as data: what it is made from and what it says."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

from attrs import field, frozen

from almondgap_core.units import MILLIS_PER_UNIT

#: Shares of a flow sum to this.
SHARE_UNIT = 1_000_000

#: Stands among the regions of a flow for the part that is refused as not run.
REFUSED = ""


@frozen(order=True)
class FlowKey:
    """Requests for one service from callers of one region.

    :ivar origin: region that the callers count to.
    """

    service: str
    origin: str


@frozen
class ServiceUsage:
    """Load of one service in one region.

    :ivar slots: slots of targets that may take work, and ``used`` those taken.
    :ivar admitted: requests per second, in thousandths, and ``errors`` the failed ones.
    """

    slots: int
    used: int
    admitted: int
    errors: int


@frozen
class RegionLoad:
    """Load of a region as one host knows it.

    :ivar measured_at: time at which it was measured, in microseconds.
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
    """What a host knows when it decides.

    :ivar host: the deciding host, one of ``hosts``, over which limits are divided.
    :ivar demand: requests per second that follow this host's look-ups, in thousandths.
    :ivar loads: by region; a region that was never heard of is missing.
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
    """What the age of a region's load allows.

    ``RETURNING`` regions are fresh again, but not for long enough to attract traffic.
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
    """One decided shift.

    :ivar rate: requests per second of this host's callers, in thousandths.
    :ivar source: region that loses it, ``REFUSED`` if it was refused before.
    :ivar forced: whether the source is lost, so that the greater cap holds.
    """

    key: FlowKey
    source: str
    destination: str
    rate: int
    forced: bool


@frozen
class RegionPlan:
    """Where one host sends callers.

    :ivar decided_at: time of the decision, in microseconds.
    :ivar shares: by flow, share of each region out of ``SHARE_UNIT``.
    :ivar demand: demand that the shares were decided for.
    :ivar last_moves: last time at which something was moved into a region.
    :ivar full_regions: regions into which nothing may be moved now.
    :ivar moves: what the decision changed.
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

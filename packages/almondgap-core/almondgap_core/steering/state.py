"""What a host keeps to steer requests."""

from __future__ import annotations

from attrs import Factory, define

from almondgap_core.settings.places import ClientMapRef
from almondgap_core.steering.answer import CachedLookup, LookupCounter
from almondgap_core.steering.clientmap import ClientMap
from almondgap_core.steering.clientmap_codec import MapDecoder
from almondgap_core.steering.clientmap_delta import DeltaApplier
from almondgap_core.steering.plan import FlowKey, RegionPlan
from almondgap_core.steering.refusal import RefusalAllocator


@define
class MapLoadState:
    """A client map on its way into force.

    :ivar wanted: what the inventory named when the loading began.
    :ivar staged: what is complete of it, and ``staged_ref`` which version that is.
    :ivar fetching: name of the object that was asked for, empty if none.
    :ivar rejected: whether a body was bad; nothing more is tried until another map is
        named.
    """

    wanted: ClientMapRef = ClientMapRef()
    staged: ClientMap | None = None
    staged_ref: ClientMapRef = ClientMapRef()
    fetching: str = ""
    task: MapDecoder | DeltaApplier | None = None
    rejected: bool = False
    retry_at: int = 0


@define
class SteeringState:
    """Targets and places at one host.

    :ivar client_map: the map in force, or None, and ``client_map_ref`` its version.
    :ivar lookup_cache: answers by service and site, made from ``lookup_cache_stamp``.
    :ivar lookup_counters: look-ups by flow, and ``refusals`` which of them are refused.
    :ivar plan: the region plan in force, or None before the first decision.
    :ivar counted_since: time since which ``lookup_counters`` count, 0 before the first
        decision.
    """

    client_map: ClientMap | None = None
    client_map_ref: ClientMapRef = ClientMapRef()
    map_load: MapLoadState = Factory(MapLoadState)
    lookup_cache: dict[tuple[str, str | None], CachedLookup] = Factory(dict)
    lookup_cache_stamp: tuple = ()
    next_refresh: int = 0
    lookup_counters: dict[FlowKey, LookupCounter] = Factory(dict)
    refusals: dict[FlowKey, RefusalAllocator] = Factory(dict)
    plan: RegionPlan | None = None
    next_plan: int = 0
    counted_since: int = 0

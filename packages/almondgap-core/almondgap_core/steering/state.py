"""Steering state of one host: client map, region plan and look-up cache."""

from __future__ import annotations

from attrs import Factory, define

from almondgap_core.settings.topology import ClientMapRef
from almondgap_core.steering.answer import CachedLookup, LookupCounter
from almondgap_core.steering.clientmap import ClientMap
from almondgap_core.steering.clientmap_codec import MapDecoder
from almondgap_core.steering.clientmap_delta import DeltaApplier
from almondgap_core.steering.plan import FlowKey, RegionPlan
from almondgap_core.steering.refusal import RefusalAllocator


@define
class MapLoadState:
    """Progress of loading a client map and its deltas.

    :ivar wanted: map that the inventory named when loading began.
    :ivar staged: map decoded so far, and ``staged_ref`` its version.
    :ivar fetching: name of the object being fetched, empty if none.
    :ivar rejected: whether a body was invalid; no retry until the inventory names
        another map.
    :ivar retry_at: earliest time of the next fetch, in microseconds.
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
    """State of look-ups, client map and region plan at one host.

    :ivar client_map: the map in force, or None, and ``client_map_ref`` its version.
    :ivar lookup_cache: look-up answers by service and site, valid for
        ``lookup_cache_stamp``.
    :ivar lookup_counters: look-ups since the last plan decision, by flow.
    :ivar refusals: division of refused look-ups over client accounts, by flow.
    :ivar plan: the region plan in force, or None before the first decision.
    :ivar counted_since: start of the counting interval of ``lookup_counters``, in
        microseconds; 0 before the first decision.
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

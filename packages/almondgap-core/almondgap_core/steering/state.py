"""What a host keeps to steer requests."""

from __future__ import annotations

from attrs import Factory, define

from almondgap_core.settings.topology import ClientMapRef
from almondgap_core.steering.answer import LookupCount, PreparedLookup
from almondgap_core.steering.clientmap import ClientMap
from almondgap_core.steering.clientmap_codec import DecodeWork
from almondgap_core.steering.clientmap_delta import DeltaWork
from almondgap_core.steering.plan import FlowKey, RegionPlan
from almondgap_core.steering.refusal import RefusalBook


@define
class MapLoading:
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
    work: DecodeWork | DeltaWork | None = None
    rejected: bool = False
    retry_at: int = 0


@define
class SteeringState:
    """Targets and places at one host.

    :ivar client_map: the map in force, or None, and ``client_map_ref`` its version.
    :ivar prepared: answers by service and site, made from ``prepared_from``.
    :ivar counts: look-ups by flow, and ``refusals`` which of them are refused.
    :ivar plan: the region plan in force, or None before the first decision.
    :ivar counted_since: time since which ``counts`` count, 0 before the first turn.
    """

    client_map: ClientMap | None = None
    client_map_ref: ClientMapRef = ClientMapRef()
    map_loading: MapLoading = Factory(MapLoading)
    prepared: dict[tuple[str, str | None], PreparedLookup] = Factory(dict)
    prepared_from: tuple = ()
    next_refresh: int = 0
    counts: dict[FlowKey, LookupCount] = Factory(dict)
    refusals: dict[FlowKey, RefusalBook] = Factory(dict)
    plan: RegionPlan | None = None
    next_plan: int = 0
    counted_since: int = 0

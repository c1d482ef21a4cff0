"""What a host keeps to steer requests."""

from __future__ import annotations

from attrs import Factory, define


@define
class SteeringState:
    """Targets and places at one host.

    :ivar slots_used: requests that this host runs at each target.
    """

    slots_used: dict[str, int] = Factory(dict)

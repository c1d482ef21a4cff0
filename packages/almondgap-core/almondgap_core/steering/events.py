"""Internal events of steering."""

from __future__ import annotations

from attrs import frozen

from almondgap_core.events import Event


@frozen
class SlotWithdrawn(Event):
    """Internal: a request needs no slot any more and held none."""

    req_id: str

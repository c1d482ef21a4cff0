"""Events that steering handles and no other host sees."""

from __future__ import annotations

from attrs import frozen

from almondgap_core.events import Event


@frozen
class SlotWithdrawn(Event):
    """Internal: a request no longer needs the slot that it was waiting for."""

    req_id: str

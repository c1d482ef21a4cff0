"""Requests that arrive while a host that just started reads the store.

Handles a whole fleet that starts at once while its callers wait: a host accepts
requests some 0.1 s before it knows the configuration and the targets. A caller that is
refused in that time comes back later than the host is ready, and is late; one whose
request waits is not. Only the first moments of a host count: if the store does not
answer by then, requests are refused at once.
"""

from __future__ import annotations

from collections.abc import Iterator

from almondgap_core.gateway.effects import StartExpiryTimer
from almondgap_core.gateway.events import CallArrived, StoreTable
from almondgap_core.gateway.state import GatewayState
from almondgap_core.units import millis

#: Time after the start of a host in which requests wait for the store.
MAX_START_US = millis(250)

#: Maximum number of requests that wait at a time.
MAX_EARLY_ARRIVALS = 500


def hold_arrival(state: GatewayState, event: CallArrived) -> bool:
    """Let a request wait for the store, and return whether it does."""
    left = state.started_at + MAX_START_US - event.now
    is_full = len(state.early_arrivals) >= MAX_EARLY_ARRIVALS
    if _knows_store(state) or left <= 0 or is_full:
        return False
    state.early_arrivals[event.call] = event
    state.perform(StartExpiryTimer(event.call, left))
    return True


def release_arrivals(state: GatewayState) -> Iterator[CallArrived]:
    """Yield the requests that waited for the store if it was read meanwhile."""
    while state.early_arrivals and _knows_store(state):
        number = next(iter(state.early_arrivals))
        yield state.early_arrivals.pop(number)


def _knows_store(state: GatewayState) -> bool:
    return (
        state.configuration is not None
        and StoreTable.TARGETS in state.store_knowledge.read_up_to
    )

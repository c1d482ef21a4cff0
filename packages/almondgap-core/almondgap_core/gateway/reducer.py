"""The reducer of a gateway: one function over all events, with effects as data."""

from __future__ import annotations

from almondgap_core.gateway import calls, discovery, fleet, health, rollout
from almondgap_core.gateway.effects import GatewayEffect
from almondgap_core.gateway.events import GatewayEvent
from almondgap_core.gateway.state import GatewayState

#: Modules that handle events, in the order in which they see the same event.
EVENT_MODULES = (rollout, discovery, fleet, health, calls)


def _collect_handlers() -> dict[type[GatewayEvent], tuple]:
    handlers: dict[type[GatewayEvent], tuple] = {}
    for module in EVENT_MODULES:
        for kind, handle in module.EVENT_HANDLERS.items():
            handlers[kind] = (*handlers.get(kind, ()), handle)
    return handlers


EVENT_HANDLERS = _collect_handlers()


def step(state: GatewayState, event: GatewayEvent) -> list[GatewayEffect]:
    """Handle one event; return what is to be done, in order.

    :raises KeyError: no handler is registered for the type of event.
    """
    for handle in EVENT_HANDLERS[type(event)]:
        handle(state, event)
    effects = state.effects
    state.effects = []
    return effects

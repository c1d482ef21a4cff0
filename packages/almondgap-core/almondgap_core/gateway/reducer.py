"""The reducer of a gateway: handles each event and returns effects as data.

It does no I/O and reads no clock, so that every decision can be replayed in a test.
"""

from __future__ import annotations

from almondgap_core.gateway import (
    calls,
    discovery,
    fleet,
    health,
    notices,
    quarantine,
    reachability,
    relayed_calls,
    rollout,
    store_views,
    suspect_exchange,
    target_limits,
)
from almondgap_core.gateway.effects import GatewayEffect
from almondgap_core.gateway.events import GatewayEvent
from almondgap_core.gateway.refusals import refuse_call
from almondgap_core.gateway.state import GatewayState
from almondgap_core.verdict import Reason

#: Modules that handle events, in the order in which they receive the same event.
EVENT_MODULES = (
    rollout,
    discovery,
    fleet,
    store_views,
    target_limits,
    notices,
    health,
    reachability,
    suspect_exchange,
    quarantine,
    relayed_calls,
    calls,
)


def _collect_handlers() -> dict[type[GatewayEvent], tuple]:
    handlers: dict[type[GatewayEvent], tuple] = {}
    for module in EVENT_MODULES:
        for kind, handle in module.EVENT_HANDLERS.items():
            handlers[kind] = (*handlers.get(kind, ()), handle)
    return handlers


EVENT_HANDLERS = _collect_handlers()


def step(state: GatewayState, event: GatewayEvent) -> list[GatewayEffect]:
    """Handle one event and return the effects to perform, in order.

    :raises KeyError: no handler is registered for the type of the event.
    """
    state.last_event_at = event.now
    for handle in EVENT_HANDLERS[type(event)]:
        handle(state, event)
    effects = state.effects
    state.effects = []
    return effects


def fail_call(state: GatewayState, number: int) -> list[GatewayEffect]:
    """End a request after an unexpected error in a step, whose effects are dropped.

    :param number: number of the request on this host, 0 for none.
    """
    state.effects = []
    call = state.calls.get(number)
    if call is not None:
        # The attempt may never have been sent, so there is nothing safe to cancel.
        calls.stop_attempt(state, call, cancel=False)
        # The effects that were dropped may include the one that sent it.
        call.may_have_run = bool(call.sent_to)
        detail = "unexpected error in this host"
        refuse_call(state, call, state.last_event_at, 503, Reason.INTERNAL, detail)
    effects, state.effects = state.effects, []
    return effects

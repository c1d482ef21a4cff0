"""The reducer: one function over all events, with effects as data."""

from __future__ import annotations

from collections.abc import Callable

from almondgap_core import lifecycle
from almondgap_core.effects import Effect
from almondgap_core.events import Event, PeerMessage
from almondgap_core.keys import trust
from almondgap_core.limits import (
    admission,
    borrowing,
    granting,
    lending,
    notices,
    outage,
    renewal,
    versions,
)
from almondgap_core.membership import directory, heartbeats
from almondgap_core.messages import Message
from almondgap_core.operations import asking, books, handover, holder, minting
from almondgap_core.requests import flow
from almondgap_core.settings import neighbours, rollout
from almondgap_core.state import HostState
from almondgap_core.steering import (
    acquisition,
    clientmap_loader,
    lookup,
    ownership,
    planner,
    ramp,
    slots,
)

EventHandler = Callable[[HostState, Event], None]
MessageHandler = Callable[[HostState, str, Message, int], None]

#: Modules that handle events, in the order in which they see the same event.
EVENT_MODULES = (
    heartbeats,
    rollout,
    neighbours,
    trust,
    clientmap_loader,
    renewal,
    outage,
    versions,
    notices,
    lending,
    borrowing,
    books,
    handover,
    minting,
    asking,
    planner,
    lookup,
    admission,
    ownership,
    ramp,
    slots,
    acquisition,
    flow,
    lifecycle,
)

#: Modules that handle messages from other hosts.
MESSAGE_MODULES = (
    heartbeats,
    directory,
    neighbours,
    trust,
    notices,
    outage,
    lending,
    borrowing,
    granting,
    admission,
    holder,
    asking,
    handover,
    minting,
    slots,
    acquisition,
)


def _collect_event_handlers() -> dict[type[Event], tuple[EventHandler, ...]]:
    handlers: dict[type[Event], tuple[EventHandler, ...]] = {}
    for module in EVENT_MODULES:
        for kind, handle in module.EVENT_HANDLERS.items():
            handlers[kind] = (*handlers.get(kind, ()), handle)
    return handlers


def _collect_message_handlers() -> dict[type[Message], MessageHandler]:
    handlers: dict[type[Message], MessageHandler] = {}
    for module in MESSAGE_MODULES:
        for kind, handle in module.MESSAGE_HANDLERS.items():
            if kind in handlers:
                raise ValueError(f"two handlers for message {kind.__name__}")
            handlers[kind] = handle
    return handlers


def _handle_peer_message(state: HostState, event: PeerMessage) -> None:
    handle = MESSAGE_HANDLERS.get(type(event.message))
    if handle is not None:
        handle(state, event.host, event.message, event.now)


MESSAGE_HANDLERS = _collect_message_handlers()
EVENT_HANDLERS = {
    PeerMessage: (_handle_peer_message,),
    **_collect_event_handlers(),
}


def step(state: HostState, event: Event) -> list[Effect]:
    """Handle one event and those it causes inside the host; return the effects.

    :raises KeyError: no handler is registered for the type of event.
    """
    state.pending.append(event)
    while state.pending:
        current = state.pending.popleft()
        for handle in EVENT_HANDLERS[type(current)]:
            handle(state, current)
    effects = state.effects
    state.effects = []
    return effects

"""The reducer: dispatches each event to its handlers and returns the effects.

Handler modules are listed in a fixed order, since several of them handle the same
event, such as ``Tick``, and later ones rely on what earlier ones have updated.
"""

from __future__ import annotations

from collections.abc import Callable

from almondgap_core import lifecycle
from almondgap_core.effects import Effect
from almondgap_core.events import Event, PeerMessage
from almondgap_core.keys import trust
from almondgap_core.limits import (
    admission,
    lease_extension,
    loan_borrower,
    loan_lender,
    notices,
    renewal,
    token_grants,
    versions,
)
from almondgap_core.membership import directory, heartbeats
from almondgap_core.messages import Message
from almondgap_core.operations import books, handover, holder, prefixes, requester
from almondgap_core.requests import flow
from almondgap_core.settings import peer_download, rollout
from almondgap_core.state import HostState
from almondgap_core.steering import (
    acquisition,
    clientmap_loader,
    lookup,
    ownership,
    planner,
    slots,
    warm_up,
)

EventHandler = Callable[[HostState, Event], None]
MessageHandler = Callable[[HostState, str, Message, int], None]

#: Modules that handle events, in the order in which they receive the same event.
EVENT_MODULES = (
    heartbeats,
    rollout,
    peer_download,
    trust,
    clientmap_loader,
    renewal,
    lease_extension,
    versions,
    notices,
    loan_lender,
    loan_borrower,
    books,
    handover,
    prefixes,
    requester,
    planner,
    lookup,
    admission,
    ownership,
    warm_up,
    slots,
    acquisition,
    flow,
    lifecycle,
)

#: Modules that handle messages from other hosts.
MESSAGE_MODULES = (
    heartbeats,
    directory,
    peer_download,
    trust,
    notices,
    lease_extension,
    loan_lender,
    loan_borrower,
    token_grants,
    admission,
    holder,
    requester,
    handover,
    prefixes,
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
    """Handle one event and the internal events it causes; return the effects.

    :raises KeyError: no handler is registered for the type of an event.
    """
    state.pending.append(event)
    while state.pending:
        current = state.pending.popleft()
        for handle in EVENT_HANDLERS[type(current)]:
            handle(state, current)
    effects = state.effects
    state.effects = []
    return effects

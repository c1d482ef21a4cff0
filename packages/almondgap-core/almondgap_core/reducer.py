"""The reducer: one function over all events, with effects as data."""

from __future__ import annotations

from collections.abc import Callable

from almondgap_core import events, lifecycle
from almondgap_core.effects import Effect
from almondgap_core.limits import admission
from almondgap_core.membership import heartbeats
from almondgap_core.requests import flow
from almondgap_core.settings import rollout
from almondgap_core.state import HostState
from almondgap_core.steering import targets

Handler = Callable[[HostState, events.Event], None]

HANDLERS: dict[type[events.Event], tuple[Handler, ...]] = {
    events.Tick: (
        heartbeats.handle_tick,
        rollout.handle_tick,
        lifecycle.handle_tick,
    ),
    events.RequestArrived: (flow.handle_request_arrived,),
    events.CallerGone: (flow.handle_caller_gone,),
    events.AnswerStarted: (flow.handle_answer_started,),
    events.AttemptEnded: (flow.handle_attempt_ended,),
    events.PeerMessage: (heartbeats.handle_peer_message,),
    events.HostsListed: (heartbeats.handle_hosts_listed,),
    events.TransactionEnded: (rollout.handle_transaction_ended,),
    events.BodyFetched: (rollout.handle_body_fetched,),
    events.DrainRequested: (lifecycle.handle_drain_requested,),
    events.RateAsked: (admission.handle_rate_asked,),
    events.RateGranted: (flow.handle_rate_granted,),
    events.RateRefused: (flow.handle_rate_refused,),
    events.SlotAsked: (targets.handle_slot_asked,),
    events.SlotGranted: (flow.handle_slot_granted,),
    events.SlotRefused: (flow.handle_slot_refused,),
    events.SlotReleased: (targets.handle_slot_released,),
}


def step(state: HostState, event: events.Event) -> list[Effect]:
    """Handle one event and those it causes inside the host; return the effects.

    :raises KeyError: no handler is registered for the type of event.
    """
    state.pending.append(event)
    while state.pending:
        current = state.pending.popleft()
        for handle in HANDLERS[type(current)]:
            handle(state, current)
    effects = state.effects
    state.effects = []
    return effects

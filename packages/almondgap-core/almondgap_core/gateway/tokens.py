"""Asking another host for tokens before a request is refused.

Answers the load of small accounts over many hosts: each host has a token or two, and
requests that come close together find none while others keep theirs unused. One message
there and back brings some; the giver has given them up before it answers, so a lost
answer loses tokens and never makes any. Nobody asks while the account is asked for more
than its limit: there is nothing to be had.
"""

from __future__ import annotations

from attrs import frozen

from almondgap_core.gateway.admission import take_token
from almondgap_core.gateway.allotments import Allotment
from almondgap_core.gateway.effects import AskTokens, AwaitTokens, GiveTokens
from almondgap_core.gateway.events import TokensAsked
from almondgap_core.gateway.shares import refill
from almondgap_core.gateway.state import Call, GatewayState, Peer
from almondgap_core.units import millis
from almondgap_core.verdict import Refusal

#: Tokens that are asked for at a time, to spare the next requests the wait.
WANTED = 3.0

#: Longest wait for an answer: there and back between regions, and as much again.
WAIT_US = millis(60)

#: Time after an answer without tokens, or without an answer, until the next question.
PAUSE_US = millis(300)


@frozen
class WaitingCall:
    """A request that waits for tokens, and how it is refused without."""

    call: Call
    refusal: Refusal


def ask_for_tokens(state: GatewayState, call: Call, refusal: Refusal, now: int) -> bool:
    """Let a request wait for tokens of another host; return whether there is hope."""
    account = call.account
    allotment = state.allotments[account.name]
    waiting = state.waiting.get(account.name)
    if waiting:
        waiting.append(WaitingCall(call, refusal))
        return True
    if now < allotment.ask_next or not allotment.is_asked_little(account.rate):
        return False
    peer = _choose_giver(state, account.name)
    if peer is None:
        return False
    state.waiting[account.name] = [WaitingCall(call, refusal)]
    allotment.ask_next = now + PAUSE_US
    state.perform(AskTokens(peer.place.peers, account.name, WANTED))
    state.perform(AwaitTokens(account.name, WAIT_US))
    return True


def handle_tokens_asked(state: GatewayState, event: TokensAsked) -> None:
    """Give tokens away that this host does not need itself."""
    cfg = state.configuration
    account = cfg.accounts.get(event.account) if cfg is not None else None
    if account is None or account.rate <= 0:
        return
    allotment = refill(state, account, event.now)
    given = 0.0
    if allotment.is_asked_little(account.rate):
        given = allotment.give(min(event.tokens, WANTED))
    state.perform(GiveTokens(event.address, account.name, given))


def receive_tokens(state: GatewayState, account: str, tokens: float) -> None:
    """Add what another host gave; more than was asked for is not believed."""
    allotment: Allotment | None = state.allotments.get(account)
    if allotment is None or account not in state.waiting:
        return
    if 0.0 < tokens <= WANTED:
        allotment.receive(tokens)
        allotment.ask_next = 0


def end_waiting(
    state: GatewayState, account: str, now: int
) -> list[tuple[Call, Refusal | None]]:
    """Return the requests that waited for tokens; those without one are refused."""
    ended = []
    for waiting in state.waiting.pop(account, []):
        missing = take_token(state, waiting.call, now)
        ended.append((waiting.call, waiting.refusal if missing else None))
    return ended


def _choose_giver(state: GatewayState, account: str) -> Peer | None:
    """Return a host in the same region that is asked least, None if there is none."""
    near = [
        peer
        for peer in state.peers.values()
        if peer.beat is not None
        and not peer.lost
        and peer.beat.ready
        and peer.place.region == state.place.region
    ]
    if not near:
        return None
    least = min(peer.beat.asked.get(account, 0.0) for peer in near)
    idle = [peer for peer in near if peer.beat.asked.get(account, 0.0) <= least * 1.3]
    return idle[state.draw(len(idle))]

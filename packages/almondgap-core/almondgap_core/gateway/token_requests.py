"""Asking holders of a limit for tokens before a request is refused.

Answers the load of an account whose callers are at other hosts than its tokens: at a
host that holds no part, or at one that gets more than its part. One message there and
back brings some; the giver has given them up before it answers, so a lost answer loses
tokens and never makes any. When nobody has any, the host does not ask again for a
moment: an account at several times its rate costs few messages.
"""

from __future__ import annotations

from attrs import define

from almondgap_core.gateway.admission import refill_tokens, take_token
from almondgap_core.gateway.effects import AskTokens, AwaitTokens, GiveTokens
from almondgap_core.gateway.events import TokensAsked, TokensGiven, TokensOverdue
from almondgap_core.gateway.limit_shares import list_givers
from almondgap_core.gateway.state import Call, GatewayState, Peer
from almondgap_core.units import millis
from almondgap_core.verdict import Refusal

#: Hosts that are asked for one request.
MOST_ASKED = 3

#: Tokens that are asked for: those for the requests that wait, and for some of the time
#: that follows at the rate of now, so that an even stream asks less often.
AHEAD_S = 0.5
MOST_WANTED = 8.0

#: Longest wait for an answer of a host in the same failure domain, in the same region
#: and in another one: there and back, and time for a busy host.
WAIT_SAME_DOMAIN_US = millis(20)
WAIT_SAME_REGION_US = millis(35)
WAIT_OTHER_REGION_US = millis(60)

#: Time for which a host is passed over that gave less than it was asked for.
EMPTY_US = millis(250)

#: Time after asking in vain until the next question.
PAUSE_US = millis(100)


@define
class TokenWait:
    """Requests of one account that wait for tokens.

    :ivar calls: requests with the refusal that each gets without a token.
    :ivar givers: hosts that are to be asked next.
    :ivar asked: host that was asked last.
    :ivar wanted: tokens that it was asked for.
    :ivar question: number of the question that runs.
    """

    calls: list[tuple[Call, Refusal]]
    givers: list[Peer]
    asked: str = ""
    wanted: float = 0.0
    question: int = 0


def ask_for_tokens(state: GatewayState, call: Call, refusal: Refusal, now: int) -> bool:
    """Let a request wait for tokens of other hosts; return whether there is hope."""
    account = call.account
    wait = state.token_waits.get(account.name)
    if wait is not None:
        wait.calls.append((call, refusal))
        return True
    if now < state.allotments[account.name].ask_next:
        return False
    empty = state.allotments[account.name].empty
    givers = list_givers(state, account, empty, now)[:MOST_ASKED]
    if not givers:
        return False
    wait = TokenWait([(call, refusal)], givers)
    state.token_waits[account.name] = wait
    _ask_next(state, account.name, wait, now)
    return True


def handle_tokens_asked(state: GatewayState, event: TokensAsked) -> None:
    """Give tokens away, as far as there are any."""
    cfg = state.configuration
    account = cfg.accounts.get(event.account) if cfg is not None else None
    given = 0.0
    if account is not None and account.rate > 0:
        allotment = refill_tokens(state, account, event.now)
        given = allotment.give(min(event.tokens, MOST_WANTED))
    state.perform(GiveTokens(event.address, event.account, event.question, given))


def receive_tokens(
    state: GatewayState, event: TokensGiven
) -> list[tuple[Call, Refusal | None]]:
    """Add what another host gave; return the requests that wait no longer."""
    allotment = state.allotments.get(event.account)
    if allotment is None or not 0.0 <= event.tokens <= MOST_WANTED:
        return []
    allotment.receive(event.tokens)
    wait = state.token_waits.get(event.account)
    if wait is not None and wait.question == event.question:
        if event.tokens < wait.wanted:
            allotment.empty[wait.asked] = event.now + EMPTY_US
    return _go_on(state, event.account, event.question, event.now)


def handle_overdue(
    state: GatewayState, event: TokensOverdue
) -> list[tuple[Call, Refusal | None]]:
    """Ask the next host; return the requests that wait no longer."""
    return _go_on(state, event.account, event.question, event.now)


def _go_on(
    state: GatewayState, account: str, question: int, now: int
) -> list[tuple[Call, Refusal | None]]:
    wait = state.token_waits.get(account)
    if wait is None or wait.question != question:
        return []
    ended: list[tuple[Call, Refusal | None]] = []
    while wait.calls:
        call, _ = wait.calls[0]
        if call.number in state.calls:
            if take_token(state, call, now) is not None:
                break
            ended.append((call, None))
        wait.calls.pop(0)
    if wait.calls and wait.givers:
        _ask_next(state, account, wait, now)
        return ended
    del state.token_waits[account]
    if wait.calls:
        state.allotments[account].ask_next = now + PAUSE_US
        ended += wait.calls
    return ended


def _ask_next(state: GatewayState, account: str, wait: TokenWait, now: int) -> None:
    giver = wait.givers.pop(0).location
    wait.asked = giver.host
    state.question += 1
    wait.question = state.question
    ahead = state.allotments[account].asked.read(now) * AHEAD_S
    wait.wanted = min(MOST_WANTED, float(int(len(wait.calls) + ahead)))
    state.perform(AskTokens(giver.peer_address, account, wait.question, wait.wanted))
    delay = WAIT_OTHER_REGION_US
    if giver.failure_domain == state.location.failure_domain:
        delay = WAIT_SAME_DOMAIN_US
    elif giver.region == state.location.region:
        delay = WAIT_SAME_REGION_US
    state.perform(AwaitTokens(account, wait.question, delay))

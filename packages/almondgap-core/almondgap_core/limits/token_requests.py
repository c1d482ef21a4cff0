"""Token requests: which host to request tokens from, and how granted ones are spent.

Under steady load a host requests spare tokens in advance, so that most requests are
admitted without a round trip. Unspent tokens are returned when they expire.
"""

from __future__ import annotations

from almondgap_core.effects import SendMessage
from almondgap_core.limits.homes import find_home
from almondgap_core.limits.leases import find_holder
from almondgap_core.limits.messages import TokenRequest, TokenUsed
from almondgap_core.limits.partitions import find_partition
from almondgap_core.limits.state import Credit, PendingTokenRequest, Waiter
from almondgap_core.state import HostState
from almondgap_core.units import millis

#: Interval at which demand counts are halved.
DEMAND_HALF_LIFE_US = millis(200)

#: Spare tokens are requested from this demand on: a quarter of the demand.
MIN_SPARE_DEMAND = 8
SPARE_DEMAND_DIVISOR = 4


def choose_host(state: HostState, waiter: Waiter, now: int) -> tuple[str, bool]:
    """Return the host to request a token from, and whether it is the home.

    The first attempt goes to the home. Later ones alternate between the owner in this
    failure domain and the home.
    """
    home = find_home(state, waiter.name, now)
    if waiter.attempts % 2 == 0:
        return home, True
    name = waiter.name
    partition = find_partition(state.inventory, state.failure_domain, name)
    owner = find_holder(state, partition)
    return (home, True) if owner is None else (owner, False)


def send_token_request(
    state: HostState,
    waiter: Waiter,
    host: str,
    home: bool,
    needed: int,
    spare: int,
    now: int,
) -> int:
    """Send a token request for waiting requests and return its number."""
    requests = state.limits.token_requests
    requests.number += 1
    number = requests.number
    requests.pending[number] = PendingTokenRequest(
        waiter.name, host, now, waiter.req_id, home
    )
    message = TokenRequest(number, waiter.name, needed, spare, int(waiter.counted))
    state.perform(SendMessage(host, message))
    return number


def record_demand(state: HostState, name: str, now: int) -> None:
    """Count a request; counts are halved as time passes."""
    requests = state.limits.token_requests
    if now >= requests.next_decay:
        requests.next_decay = now + DEMAND_HALF_LIFE_US
        requests.demand = {n: c // 2 for n, c in requests.demand.items() if c > 1}
    requests.demand[name] = requests.demand.get(name, 0) + 1


def compute_spare(state: HostState, name: str) -> int:
    """Return the number of spare tokens to request."""
    demand = state.limits.token_requests.demand.get(name, 0)
    return demand // SPARE_DEMAND_DIVISOR if demand >= MIN_SPARE_DEMAND else 0


def take_credit(state: HostState, name: str, now: int, asked: bool) -> bool:
    """Spend one granted token and return whether there was one.

    :param asked: whether a token request was sent for the request before.
    """
    credits = state.limits.token_requests.credits.get(name, [])
    while credits:
        credit = credits[0]
        if now >= credit.until:
            _drop(state, name)
            continue
        credit.tokens -= 1
        credit.unasked += not asked
        if not credit.tokens:
            _drop(state, name)
        return True
    return False


def settle(state: HostState, name: str, credit: Credit) -> None:
    """Queue a credit for the next report, which returns its unspent tokens."""
    used = state.limits.token_requests.used.setdefault(credit.host, [])
    used.append((name, credit.number, credit.tokens, credit.unasked))


def report_settled(state: HostState, now: int) -> None:
    """Drop expired credits and report settled ones to the hosts that granted them."""
    requests = state.limits.token_requests
    for name, credits in list(requests.credits.items()):
        while credits and now >= credits[0].until:
            _drop(state, name)
        if not credits:
            del requests.credits[name]
    for host, entries in requests.used.items():
        state.perform(SendMessage(host, TokenUsed(*zip(*entries, strict=True))))
    requests.used = {}


def _drop(state: HostState, name: str) -> None:
    credit = state.limits.token_requests.credits[name].pop(0)
    settle(state, name, credit)

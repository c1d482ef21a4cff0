"""Model of the loan of one share by its owner to one of two homes.

The network may lose, repeat, delay and reorder messages. Time passes in steps of one
unit for all hosts, except that the clock of one home may skip a single step.
"""

from __future__ import annotations

from collections.abc import Iterator

from attrs import evolve, frozen

HOMES = (0, 1)

#: Length of a loan and margin of the owner, in units of time.
DURATION = 2
MARGIN = 1


@frozen
class SentMessage:
    """A message that was sent; it may arrive any number of times.

    :ivar kind: "ask", "grant" or "return".
    :ivar token: whether it transfers the token.
    """

    kind: str
    home: int
    number: int
    token: bool = False


@frozen
class HomeState:
    """State of a home.

    :ivar number: number of its last request.
    :ivar asked: number and age of each request without a grant.
    :ivar left: remaining time of its loan.
    :ivar token: whether it has the token.
    """

    number: int = 0
    asked: tuple[tuple[int, int], ...] = ()
    left: int = 0
    token: bool = False


@frozen
class LoanState:
    """One state of the model.

    :ivar lent: home that has the loan, None if the owner uses the share itself.
    :ivar left: time until the owner uses the share again.
    :ivar last: number of the last request or return that took effect, by home.
    :ivar token: whether the owner has the token.
    :ivar homes: state of each home.
    :ivar network: messages sent so far; each may arrive never, once or more often.
    :ivar lagged: whether a clock has skipped a step; only one step is skipped.
    """

    lent: int | None = None
    left: int = 0
    last: tuple[int, ...] = (0, 0)
    token: bool = True
    homes: tuple[HomeState, ...] = (HomeState(), HomeState())
    network: frozenset[SentMessage] = frozenset()
    lagged: bool = False


@frozen
class LoanModel:
    """The loan protocol. Each flag switches one safety rule.

    :ivar max_count: requests per home, which bounds the search.
    :ivar stops_first: the owner stops using the share before it sends the grant.
    :ivar counts_from_sending: a loan counts from when the home sent its request.
    :ivar has_margin: the owner waits longer than the length of the loan.
    :ivar numbers_returns: a return older than the last request has no effect.
    :ivar takes_grants_once: a grant takes effect once, and only for its own request.
    :ivar moves_tokens: a token leaves the owner when it is lent.
    """

    max_count: int = 2
    stops_first: bool = True
    counts_from_sending: bool = True
    has_margin: bool = True
    numbers_returns: bool = True
    takes_grants_once: bool = True
    moves_tokens: bool = True

    def start(self) -> LoanState:
        """Return the initial state: the owner uses its share."""
        return LoanState()

    def is_safe(self, state: LoanState) -> bool:
        """Return whether at most one host uses the share, and one has the token."""
        users = [state.lent is None, *(home.left > 0 for home in state.homes)]
        tokens = [state.token, *(home.token for home in state.homes)]
        return sum(users) <= 1 and sum(tokens) <= 1

    def list_steps(self, state: LoanState) -> Iterator[tuple[str, LoanState]]:
        """Yield every possible step with its outcome."""
        yield "time passes", self._pass_time(state)
        if not state.lagged:
            for home in HOMES:
                yield f"home {home}'s clock lags", self._pass_time(state, home)
        for home in HOMES:
            side = state.homes[home]
            if side.number < self.max_count:
                yield f"home {home} asks", self._ask(state, home, side)
            if side.left:
                yield f"home {home} gives back", self._give_back(state, home, side)
        for message in state.network:
            name = f"{message.kind} {message.number} of home {message.home} arrives"
            yield name, self._arrive(state, message)

    def _pass_time(self, state: LoanState, lagging: int | None = None) -> LoanState:
        homes = tuple(
            side if home == lagging else _age(side)
            for home, side in enumerate(state.homes)
        )
        left = max(0, state.left - 1)
        lent = state.lent if left else None
        lagged = state.lagged or lagging is not None
        return evolve(state, homes=homes, left=left, lent=lent, lagged=lagged)

    def _ask(self, state: LoanState, home: int, side: HomeState) -> LoanState:
        number = side.number + 1
        side = evolve(side, number=number, asked=(*side.asked, (number, 0)))
        return self._send(
            _set_home(state, home, side), SentMessage("ask", home, number)
        )

    def _give_back(self, state: LoanState, home: int, side: HomeState) -> LoanState:
        message = SentMessage("return", home, side.number, side.token)
        side = evolve(side, left=0, token=False, asked=())
        return self._send(_set_home(state, home, side), message)

    def _arrive(self, state: LoanState, message: SentMessage) -> LoanState:
        if message.kind == "ask":
            return self._lend(state, message)
        if message.kind == "grant":
            return self._use(state, message)
        return self._take_back(state, message)

    def _lend(self, state: LoanState, message: SentMessage) -> LoanState:
        home = message.home
        if message.number <= state.last[home]:
            return state
        if state.lent not in (None, home):
            return state
        token = state.lent is None and state.token
        left = max(state.left, DURATION + (MARGIN if self.has_margin else 0))
        last = _replace(state.last, home, max(state.last[home], message.number))
        state = evolve(state, last=last)
        if self.stops_first:
            state = evolve(state, lent=home, left=left)
        if self.moves_tokens:
            state = evolve(state, token=state.token and not token)
        return self._send(state, SentMessage("grant", home, message.number, token))

    def _use(self, state: LoanState, message: SentMessage) -> LoanState:
        side = state.homes[message.home]
        ages = dict(side.asked)
        if message.number not in ages:
            if self.takes_grants_once or not side.number:
                return state
            ages[message.number] = 0
        age = ages[message.number] if self.counts_from_sending else 0
        asked = side.asked
        if self.takes_grants_once:
            asked = tuple(pair for pair in asked if pair[0] > message.number)
        left = max(side.left, DURATION - age)
        token = left > 0 and (side.token or message.token)
        side = evolve(side, asked=asked, left=left, token=token)
        return _set_home(state, message.home, side)

    def _take_back(self, state: LoanState, message: SentMessage) -> LoanState:
        home = message.home
        old = self.numbers_returns and message.number < state.last[home]
        if state.lent != home or old:
            return state
        last = _replace(state.last, home, max(message.number, state.last[home]))
        token = state.token or message.token
        return evolve(state, lent=None, left=0, last=last, token=token)

    def _send(self, state: LoanState, message: SentMessage) -> LoanState:
        return evolve(state, network=state.network | {message})


def _age(side: HomeState) -> HomeState:
    asked = tuple((n, min(age + 1, DURATION)) for n, age in side.asked)
    token = side.token and side.left > 1
    return evolve(side, asked=asked, left=max(0, side.left - 1), token=token)


def _replace(values: tuple, place: int, value) -> tuple:
    return (*values[:place], value, *values[place + 1 :])


def _set_home(state: LoanState, home: int, side: HomeState) -> LoanState:
    return evolve(state, homes=_replace(state.homes, home, side))

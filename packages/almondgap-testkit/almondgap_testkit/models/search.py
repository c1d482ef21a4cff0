"""Breadth-first search over all states of a model."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import Protocol

from attrs import frozen


class Model(Protocol):
    """A model whose states are values."""

    def start(self) -> Hashable:
        """Return the first state."""

    def list_steps(self, state) -> Iterable[tuple[str, Hashable]]:
        """Return the name and outcome of each step that is possible."""

    def is_safe(self, state) -> bool:
        """Return whether a state keeps the rule that is checked."""


@frozen
class SearchResult:
    """What a search found.

    :ivar states: number of states that were looked at.
    :ivar trace: shortest way to a state that breaks the rule, None if there is none.
    :ivar complete: whether every reachable state was looked at.
    """

    states: int
    trace: tuple[str, ...] | None
    complete: bool


def search(model: Model, max_states: int = 2_000_000) -> SearchResult:
    """Look at every state that can be reached, nearest first.

    :param max_states: number of states after which the search gives up.
    """
    first = model.start()
    origin: dict[Hashable, tuple[Hashable, str] | None] = {first: None}
    queue = deque([first])
    while queue and len(origin) < max_states:
        state = queue.popleft()
        for name, following in model.list_steps(state):
            if following in origin:
                continue
            origin[following] = (state, name)
            if not model.is_safe(following):
                trace = _trace(following, origin.get)
                return SearchResult(len(origin), trace, False)
            queue.append(following)
    return SearchResult(len(origin), None, not queue)


def _trace(state: Hashable, find_origin: Callable) -> tuple[str, ...]:
    names = []
    step = find_origin(state)
    while step is not None:
        names.append(step[1])
        step = find_origin(step[0])
    return tuple(reversed(names))

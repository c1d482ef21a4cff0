"""Breadth-first search for an unsafe state of a model."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import Protocol

from attrs import frozen


class Model(Protocol):
    """A protocol model. Its states are immutable and hashable."""

    def start(self) -> Hashable:
        """Return the initial state."""

    def list_steps(self, state) -> Iterable[tuple[str, Hashable]]:
        """Return the name and the resulting state of each possible step."""

    def is_safe(self, state) -> bool:
        """Return whether a state satisfies the safety rule."""


@frozen
class SearchResult:
    """Result of a search.

    :ivar states: number of distinct states found.
    :ivar trace: names of the steps on a shortest path to an unsafe state, None if no
        unsafe state was found.
    :ivar complete: whether every reachable state was visited.
    """

    states: int
    trace: tuple[str, ...] | None
    complete: bool


def search(model: Model, max_states: int = 2_000_000) -> SearchResult:
    """Visit the reachable states in order of distance from the initial one.

    :param max_states: number of states after which the search stops.
    """
    initial = model.start()
    origin: dict[Hashable, tuple[Hashable, str] | None] = {initial: None}
    queue = deque([initial])
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

"""A virtual clock with a queue of scheduled actions."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from attrs import Factory, define


@define
class VirtualClock:
    """A clock that advances only to the next scheduled action.

    :ivar now: time since the start of the run, in microseconds.
    """

    now: int = 0
    _queue: list[tuple[int, int, Callable[[], None]]] = Factory(list)
    _order: itertools.count = Factory(itertools.count)

    def call_at(self, at: int, action: Callable[[], None]) -> None:
        """Schedule ``action``; actions for the same time run in order of scheduling.

        :param at: time in microseconds; a time in the past means now.
        """
        heapq.heappush(self._queue, (max(at, self.now), next(self._order), action))

    def call_later(self, delay: int, action: Callable[[], None]) -> None:
        """Schedule ``action`` after ``delay`` microseconds."""
        self.call_at(self.now + delay, action)

    def run_until(self, end: int) -> None:
        """Run all actions that are due up to ``end``, and advance the time to it."""
        while self._queue and self._queue[0][0] <= end:
            at, _, action = heapq.heappop(self._queue)
            self.now = at
            action()
        self.now = end

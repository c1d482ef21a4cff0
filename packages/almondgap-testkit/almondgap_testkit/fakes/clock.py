"""A virtual clock with a queue of what is to happen."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from attrs import Factory, define


@define
class VirtualClock:
    """Time that moves only when the next thing happens.

    :ivar now: microseconds since the run began.
    """

    now: int = 0
    _queue: list[tuple[int, int, Callable[[], None]]] = Factory(list)
    _order: itertools.count = Factory(itertools.count)

    def call_at(self, at: int, action: Callable[[], None]) -> None:
        """Let ``action`` happen at a time, after what was queued for it before."""
        heapq.heappush(self._queue, (max(at, self.now), next(self._order), action))

    def call_later(self, delay: int, action: Callable[[], None]) -> None:
        """Let ``action`` happen after ``delay`` microseconds."""
        self.call_at(self.now + delay, action)

    def run_until(self, end: int) -> None:
        """Let happen all that is queued up to ``end``, and move the time there."""
        while self._queue and self._queue[0][0] <= end:
            at, _, action = heapq.heappop(self._queue)
            self.now = at
            action()
        self.now = end

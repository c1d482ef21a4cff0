"""A bounded queue that shares scarce slots fairly over client accounts."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Mapping

from attrs import Factory, define, frozen

#: An ask, by the host that sent it and its number.
AskKey = tuple[str, int]


@frozen
class Waiter:
    """An ask that waits for a slot.

    :ivar weight: share of its client account relative to others.
    :ivar latest: time until which the asker waits, in microseconds.
    :ivar deadline: time by which the request has to be over.
    :ivar ends: time by which the asker stops using a slot, in microseconds.
    """

    key: AskKey
    service: str
    account: str
    weight: int
    exclude: tuple[str, ...]
    latest: int
    deadline: int
    ends: int

    def is_late(self, now: int, held: int) -> bool:
        """Return whether a slot at ``now`` is of no use.

        :param held: time for which a slot is held as a rule, in microseconds.
        """
        return now >= self.latest or now + held > self.deadline


@define
class FairQueue:
    """Asks for one service, first come first served inside each client account.

    The next slot goes to the account that uses the fewest slots for its weight, and
    among equals to the one that was served least for its weight: weighted max-min
    fairness. A full queue drops the newest ask of the account that waits with the most
    for its weight, so that only accounts over their share lose asks.

    :ivar limit: most asks that may wait.
    :ivar served: virtual time of each account that waits or waited lately.
    :ivar floor: virtual time of the account that was served last.
    """

    limit: int
    accounts: dict[str, deque[Waiter]] = Factory(dict)
    keys: dict[AskKey, Waiter] = Factory(dict)
    served: dict[str, float] = Factory(dict)
    floor: float = 0.0

    def __len__(self) -> int:
        return len(self.keys)

    def __contains__(self, key: AskKey) -> bool:
        return key in self.keys

    def push(self, waiter: Waiter) -> Waiter | None:
        """Add an ask; return the one that lost its place, maybe the same."""
        self.accounts.setdefault(waiter.account, deque()).append(waiter)
        self.keys[waiter.key] = waiter
        credit = self.served.get(waiter.account, 0.0)
        self.served[waiter.account] = max(credit, self.floor)
        if len(self.keys) <= self.limit:
            return None
        longest = max(self.accounts.values(), key=_measure_length)
        dropped = longest[-1]
        self.remove(dropped.key)
        return dropped

    def remove(self, key: AskKey) -> Waiter | None:
        """Take an ask out and return it, or None if it does not wait."""
        waiter = self.keys.pop(key, None)
        if waiter is None:
            return None
        waiting = self.accounts[waiter.account]
        waiting.remove(waiter)
        if not waiting:
            del self.accounts[waiter.account]
        if not self.keys:
            self.served.clear()
            self.floor = 0.0
        return waiter

    def remove_late(self, now: int, held: int) -> list[Waiter]:
        """Take out and return the asks for which a slot is of no use any more."""
        late = [waiter for waiter in self.keys.values() if waiter.is_late(now, held)]
        for waiter in late:
            self.remove(waiter.key)
        return late

    def iterate(self, used: Mapping[str, int]) -> Iterator[Waiter]:
        """Yield the first ask of each account, the one that is due first.

        :param used: slots that each account uses now.
        """

        def rank(account: str) -> tuple[float, float]:
            weight = self.accounts[account][0].weight
            return used.get(account, 0) / weight, self.served[account]

        for account in sorted(self.accounts, key=rank):
            yield self.accounts[account][0]

    def serve(
        self, used: Mapping[str, int], choose: Callable[[Waiter], str | None]
    ) -> tuple[Waiter, str] | None:
        """Take out the ask that is due first among those that find a target.

        :param choose: returns a target for an ask, or None.
        """
        for waiter in self.iterate(used):
            target = choose(waiter)
            if target is not None:
                self._charge(waiter)
                self.remove(waiter.key)
                return waiter, target
        return None

    def count_ahead(self, account: str, weight: int) -> float:
        """Return how many asks are served before a new one of ``account``.

        Each other account gets at most its share beside what this one already waits
        with, and no more than it waits with.
        """
        own = len(self.accounts.get(account, ()))
        ahead = float(own)
        for name, waiting in self.accounts.items():
            if name != account:
                fair = (own + 1) * waiting[0].weight / weight
                ahead += min(len(waiting), fair)
        return ahead

    def _charge(self, waiter: Waiter) -> None:
        self.floor = self.served[waiter.account]
        self.served[waiter.account] += 1 / waiter.weight


def _measure_length(waiting: deque[Waiter]) -> float:
    return len(waiting) / waiting[0].weight

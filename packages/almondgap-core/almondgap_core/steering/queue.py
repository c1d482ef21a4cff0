"""A bounded queue that shares scarce slots fairly over client accounts."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Mapping

from attrs import Factory, define, frozen

#: An ask, by the host that sent it and its number.
SlotRequestKey = tuple[str, int]


@frozen
class QueueEntry:
    """An ask that waits for a slot.

    :ivar weight: share of its client account relative to others.
    :ivar wait_until: time until which the asker waits, in microseconds.
    :ivar deadline: time by which the request has to be over.
    :ivar expires_at: time by which the asker stops using a slot, in microseconds.
    """

    key: SlotRequestKey
    service: str
    account: str
    weight: int
    exclude: tuple[str, ...]
    wait_until: int
    deadline: int
    expires_at: int

    def is_expired(self, now: int, hold_time: int) -> bool:
        """Return whether a slot at ``now`` is of no use.

        :param hold_time: time for which a slot is held as a rule, in microseconds.
        """
        return now >= self.wait_until or now + hold_time > self.deadline


@define
class FairQueue:
    """Asks for one service, first come first served inside each client account.

    The next slot goes to the account that uses the fewest slots for its weight, and
    among equals to the one that was served least for its weight: weighted max-min
    fairness. A full queue drops the newest ask of the account that waits with the most
    for its weight, so that only accounts over their share lose asks.

    :ivar limit: most asks that may wait.
    :ivar virtual_times: virtual time of each account that waits or waited lately.
    :ivar virtual_time: virtual time of the account that was served last.
    """

    limit: int
    accounts: dict[str, deque[QueueEntry]] = Factory(dict)
    keys: dict[SlotRequestKey, QueueEntry] = Factory(dict)
    virtual_times: dict[str, float] = Factory(dict)
    virtual_time: float = 0.0

    def __len__(self) -> int:
        return len(self.keys)

    def __contains__(self, key: SlotRequestKey) -> bool:
        return key in self.keys

    def push(self, entry: QueueEntry) -> QueueEntry | None:
        """Add an ask; return the one that lost its place, maybe the same."""
        self.accounts.setdefault(entry.account, deque()).append(entry)
        self.keys[entry.key] = entry
        credit = self.virtual_times.get(entry.account, 0.0)
        self.virtual_times[entry.account] = max(credit, self.virtual_time)
        if len(self.keys) <= self.limit:
            return None
        longest = max(self.accounts.values(), key=_compute_weighted_length)
        dropped = longest[-1]
        self.remove(dropped.key)
        return dropped

    def remove(self, key: SlotRequestKey) -> QueueEntry | None:
        """Take an ask out and return it, or None if it does not wait."""
        entry = self.keys.pop(key, None)
        if entry is None:
            return None
        waiting = self.accounts[entry.account]
        waiting.remove(entry)
        if not waiting:
            del self.accounts[entry.account]
        if not self.keys:
            self.virtual_times.clear()
            self.virtual_time = 0.0
        return entry

    def remove_expired(self, now: int, hold_time: int) -> list[QueueEntry]:
        """Take out and return the asks for which a slot is of no use any more."""
        late = [
            entry for entry in self.keys.values() if entry.is_expired(now, hold_time)
        ]
        for entry in late:
            self.remove(entry.key)
        return late

    def iterate_heads(self, used: Mapping[str, int]) -> Iterator[QueueEntry]:
        """Yield the first ask of each account, the one that is due first.

        :param used: slots that each account uses now.
        """

        def rank(account: str) -> tuple[float, float]:
            weight = self.accounts[account][0].weight
            return used.get(account, 0) / weight, self.virtual_times[account]

        for account in sorted(self.accounts, key=rank):
            yield self.accounts[account][0]

    def serve(
        self, used: Mapping[str, int], choose: Callable[[QueueEntry], str | None]
    ) -> tuple[QueueEntry, str] | None:
        """Take out the ask that is due first among those that find a target.

        :param choose: returns a target for an ask, or None.
        """
        for entry in self.iterate_heads(used):
            target = choose(entry)
            if target is not None:
                self._charge(entry)
                self.remove(entry.key)
                return entry, target
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

    def _charge(self, entry: QueueEntry) -> None:
        self.virtual_time = self.virtual_times[entry.account]
        self.virtual_times[entry.account] += 1 / entry.weight


def _compute_weighted_length(waiting: deque[QueueEntry]) -> float:
    return len(waiting) / waiting[0].weight

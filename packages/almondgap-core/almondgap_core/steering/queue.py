"""Bounded queue of slot requests with weighted fairness across client accounts.

Matters when requests outnumber the free slots: a client account that sends more than
its share delays and loses its own requests, not those of other accounts.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Mapping

from attrs import Factory, define, frozen

#: Requesting host and number of a slot request.
SlotRequestKey = tuple[str, int]


@frozen
class QueueEntry:
    """A slot request that waits for a slot.

    :ivar weight: weight of its client account.
    :ivar wait_until: time until which the requester waits, in microseconds.
    :ivar deadline: deadline of the client's request, in microseconds.
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
        """Return whether a slot granted at ``now`` would come too late.

        :param hold_time: mean hold time of a slot, in microseconds.
        """
        return now >= self.wait_until or now + hold_time > self.deadline


@define
class FairQueue:
    """Slot requests for one service, in order of arrival within each client account.

    Weighted max-min fairness: the next slot goes to the account with the fewest slots
    in use relative to its weight, and among equals to the lowest virtual time.
    A full queue drops the newest entry of the account with the most entries relative to
    its weight, so that only accounts over their share lose requests.

    :ivar limit: maximum number of entries.
    :ivar virtual_times: virtual time of each account that had entries since the queue
        was last empty.
    :ivar virtual_time: virtual time of the account served last.
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
        """Add an entry; return the one dropped for it, possibly the same, or None."""
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
        """Remove and return an entry, or None if it is not queued."""
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
        """Remove and return the entries for which a slot would come too late."""
        late = [
            entry for entry in self.keys.values() if entry.is_expired(now, hold_time)
        ]
        for entry in late:
            self.remove(entry.key)
        return late

    def iterate_heads(self, used: Mapping[str, int]) -> Iterator[QueueEntry]:
        """Yield the first entry of each account, in order of service.

        :param used: slots in use by each account.
        """

        def rank(account: str) -> tuple[float, float]:
            weight = self.accounts[account][0].weight
            return used.get(account, 0) / weight, self.virtual_times[account]

        for account in sorted(self.accounts, key=rank):
            yield self.accounts[account][0]

    def serve(
        self, used: Mapping[str, int], choose: Callable[[QueueEntry], str | None]
    ) -> tuple[QueueEntry, str] | None:
        """Remove and return the next entry that gets a target, with the target.

        :param choose: returns a target for an entry, or None.
        """
        for entry in self.iterate_heads(used):
            target = choose(entry)
            if target is not None:
                self._charge(entry)
                self.remove(entry.key)
                return entry, target
        return None

    def count_ahead(self, account: str, weight: int) -> float:
        """Return how many entries are served before a new one of ``account``.

        Besides the account's own entries, each other account counts with its entries,
        but at most with its fair share meanwhile.
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

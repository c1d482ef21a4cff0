"""Model of the lease on one partition.

There are three hosts and the store: the holder, a witness, and an outsider, which is a
host that is no witness in the row. Writes may take effect late or never, and answers
may be lost. The holder may extend its lease by promises of the witness. Time passes in
steps of one unit for all hosts.
"""

from __future__ import annotations

from collections.abc import Iterator

from attrs import evolve, frozen

HOLDER, WITNESS, OUTSIDER = range(3)

#: Validity, longest extension, length of a promise, and margin of a take-over, in units
#: of time.
LEASE = 2
HOLD = 2
PROMISE = 2
MARGIN = 1

#: Ages are capped at this value, above which they make no difference.
MAX_AGE = LEASE + HOLD + MARGIN


@frozen
class SentWrite:
    """A write in flight, or its answer.

    :ivar based_on: version of the row that it requires.
    :ivar age: time since it was sent.
    :ivar done: whether it took effect, so that its answer may arrive.
    """

    host: int
    based_on: int
    age: int = 0
    done: bool = False


@frozen
class LeaseState:
    """One state of the model.

    :ivar row: holder and version of the row.
    :ivar left: remaining validity at each host.
    :ivar seen: version last read by each host, and time for which it was unchanged.
    :ivar writes: writes in flight.
    :ivar since: time since the holder sent its last confirmed renewal.
    :ivar asked: age of the holder's promise request, None if there is none.
    :ivar promise: remaining time of a promise in flight, as counted by the holder.
    :ivar promised: remaining time of the promise, as counted by the witness.
    """

    row: tuple[int, int] = (HOLDER, 1)
    left: tuple[int, ...] = (LEASE, 0, 0)
    seen: tuple[tuple[int, int], ...] = ((1, 0), (1, 0), (1, 0))
    writes: frozenset[SentWrite] = frozenset()
    since: int = 0
    asked: int | None = None
    promise: int = 0
    promised: int = 0


@frozen
class LeaseModel:
    """The lease protocol. Each flag switches one safety rule.

    :ivar max_count: highest version of the row, which bounds the search.
    :ivar counts_from_sending: validity counts from when the write was sent.
    :ivar waits: a host takes over only a row that was unchanged for long enough.
    :ivar checks_version: a write takes effect only on the version it is based on.
    :ivar keeps_promise: the witness does not take the partition during its promise.
    :ivar outsider_waits: a host that is no witness also waits for the hold.
    :ivar hold_ends: the holder extends its lease by the hold at most.
    """

    max_count: int = 3
    counts_from_sending: bool = True
    waits: bool = True
    checks_version: bool = True
    keeps_promise: bool = True
    outsider_waits: bool = True
    hold_ends: bool = True

    def start(self) -> LeaseState:
        """Return the initial state: the holder has just renewed its lease."""
        return LeaseState()

    def is_safe(self, state: LeaseState) -> bool:
        """Return whether at most one host may use the partition."""
        return sum(left > 0 for left in state.left) <= 1

    def list_steps(self, state: LeaseState) -> Iterator[tuple[str, LeaseState]]:
        """Yield every possible step with its outcome."""
        yield "time passes", self._pass_time(state)
        for host in (HOLDER, WITNESS, OUTSIDER):
            if state.seen[host][0] != state.row[1]:
                yield f"{host} reads", _observe(state, host)
            if self._may_write(state, host):
                write = SentWrite(host, state.seen[host][0])
                yield f"{host} writes", evolve(state, writes=state.writes | {write})
        for write in state.writes:
            rest = evolve(state, writes=state.writes - {write})
            yield "a write or answer is lost", rest
            if write.done:
                yield f"{write.host} gets its answer", self._confirm(rest, write)
            elif self._fits(state, write) and state.row[1] < self.max_count:
                yield f"write of {write.host} takes effect", self._commit(rest, write)
        yield from self._list_promise_steps(state)

    def _list_promise_steps(self, state: LeaseState):
        if state.asked is None and state.left[HOLDER] and not state.promise:
            yield "holder asks for a promise", evolve(state, asked=0)
        if state.asked is not None:
            if self._may_promise(state):
                left = PROMISE - state.asked
                promised = max(state.promised, PROMISE + MARGIN)
                answer = evolve(state, asked=None, promise=left, promised=promised)
                yield "witness promises", answer
        if state.promise:
            yield "the promise arrives", self._extend(state)

    def _pass_time(self, state: LeaseState) -> LeaseState:
        asked = None if state.asked is None else state.asked + 1
        if asked is not None and asked >= PROMISE:
            asked = None
        return evolve(
            state,
            left=tuple(max(0, left - 1) for left in state.left),
            seen=tuple((v, min(age + 1, MAX_AGE)) for v, age in state.seen),
            writes=frozenset(
                evolve(write, age=min(write.age + 1, LEASE)) for write in state.writes
            ),
            since=min(state.since + 1, MAX_AGE),
            asked=asked,
            promise=max(0, state.promise - 1),
            promised=max(0, state.promised - 1),
        )

    def _may_write(self, state: LeaseState, host: int) -> bool:
        if any(write.host == host for write in state.writes):
            return False
        version, age = state.seen[host]
        if version == state.row[1] and state.row[0] == host:
            return host == HOLDER or not (self.keeps_promise and state.promised)
        if host == HOLDER or not self.waits:
            return host != HOLDER
        if host == WITNESS and self.keeps_promise and state.promised:
            return False
        wait = LEASE + MARGIN
        if host == OUTSIDER and self.outsider_waits:
            wait += HOLD
        return age >= min(wait, MAX_AGE)

    def _fits(self, state: LeaseState, write: SentWrite) -> bool:
        return not self.checks_version or write.based_on == state.row[1]

    def _commit(self, state: LeaseState, write: SentWrite) -> LeaseState:
        done = evolve(write, done=True)
        row = (write.host, state.row[1] + 1)
        return evolve(state, row=row, writes=state.writes | {done})

    def _confirm(self, state: LeaseState, write: SentWrite) -> LeaseState:
        if write.host == WITNESS and self.keeps_promise and state.promised:
            return _observe(state, write.host)
        age = write.age if self.counts_from_sending else 0
        left = max(state.left[write.host], LEASE - age)
        if write.host == HOLDER:
            state = evolve(state, since=age)
        state = evolve(state, left=_replace(state.left, write.host, left))
        return _observe(state, write.host)

    def _may_promise(self, state: LeaseState) -> bool:
        if state.left[WITNESS] or state.seen[WITNESS][0] > 1:
            return False
        return all(write.host != WITNESS for write in state.writes)

    def _extend(self, state: LeaseState) -> LeaseState:
        left = state.promise
        if self.hold_ends:
            left = min(left, LEASE + HOLD - state.since)
        left = max(state.left[HOLDER], left)
        return evolve(state, promise=0, left=_replace(state.left, HOLDER, left))


def _replace(values: tuple, place: int, value) -> tuple:
    return (*values[:place], value, *values[place + 1 :])


def _observe(state: LeaseState, host: int) -> LeaseState:
    return evolve(state, seen=_replace(state.seen, host, (state.row[1], 0)))

"""Deltas between two client maps, computed at once and applied in short steps."""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections.abc import Iterable, Iterator

from attrs import Factory, define, frozen

from almondgap_core.steering.addresses import Family
from almondgap_core.steering.clientmap import (
    NO_SITE,
    Chunk,
    ClientMap,
    FamilyTable,
    Range,
)


@frozen
class MapDelta:
    """Changes to a map.

    :ivar parent: object name of the body or delta that the changes follow.
    :ivar sites: names of the sites after the change; old ones keep their number.
    :ivar changes: by family, ranges in order that do not overlap, with the new site.
    """

    parent: str
    sites: tuple[str, ...]
    changes: dict[Family, tuple[Range, ...]]


def compute_delta(old: ClientMap, new: ClientMap, parent: str) -> MapDelta:
    """Return the changes that turn ``old`` into an equivalent of ``new``."""
    sites = dict.fromkeys((*old.sites, *new.sites))
    numbers = {name: number for number, name in enumerate(sites)}
    renumber = [numbers[name] for name in new.sites]
    changes = {
        family: tuple(
            _merge(
                _compare(old.get_table(family), new.get_table(family), renumber),
            )
        )
        for family in Family
    }
    return MapDelta(parent, tuple(sites), changes)


def _compare(old: FamilyTable, new: FamilyTable, renumber: list[int]):
    before, after = _Cursor(old), _Cursor(new)
    at = 0
    while at < old.family.end:
        end = min(before.end, after.end)
        site = NO_SITE if after.site == NO_SITE else renumber[after.site]
        if before.site != site:
            yield Range(at, end, site)
        at = end
        before.advance_past(at)
        after.advance_past(at)


class _Cursor:
    """Iterates over the ranges of a table, including those without a site."""

    def __init__(self, table: FamilyTable) -> None:
        self._last = table.family.end
        self._pairs = (pair for chunk in table.chunks for pair in chunk.list_pairs())
        _, self._next_site = next(self._pairs)
        self._advance()

    def _advance(self) -> None:
        self.site = self._next_site
        self.end, self._next_site = next(self._pairs, (self._last, NO_SITE))

    def advance_past(self, at: int) -> None:
        if self.end <= at < self._last:
            self._advance()


def _merge(ranges: Iterable[Range]) -> Iterator[Range]:
    held: Range | None = None
    for found in ranges:
        if held is not None and held.end == found.start and held.site == found.site:
            held = Range(held.start, found.end, found.site)
            continue
        if held is not None:
            yield held
        held = found
    if held is not None:
        yield held


@define
class DeltaApplier:
    """Applies a delta one chunk per step, without changing the old map.

    :ivar tables: copies of the tables that share the chunks not yet rebuilt.
    """

    delta: MapDelta
    tables: dict[Family, FamilyTable]
    _steps: list[tuple[Family, int, list[Range]]] = Factory(list)

    @classmethod
    def create(cls, old: ClientMap, delta: MapDelta) -> DeltaApplier:
        """Return an applier of ``delta`` to ``old``."""
        tables = {}
        steps = []
        for family in Family:
            table = old.get_table(family)
            tables[family] = table.copy()
            steps += _split_by_chunk(table, delta.changes.get(family, ()))
        steps.reverse()
        return cls(delta, tables, steps)

    def step(self) -> ClientMap | None:
        """Rebuild one chunk; return the new map once all are done."""
        if self._steps:
            family, index, changes = self._steps.pop()
            table = self.tables[family]
            last = index + 1 == len(table.bounds)
            end = family.end if last else table.bounds[index + 1]
            table.chunks[index] = _rebuild_chunk(table.chunks[index], changes, end)
        if self._steps:
            return None
        tables = self.tables
        return ClientMap(self.delta.sites, tables[Family.IPV4], tables[Family.IPV6])


def apply_delta(old: ClientMap, delta: MapDelta) -> ClientMap:
    """Return ``old`` with the changes, in one call."""
    work = DeltaApplier.create(old, delta)
    while True:
        done = work.step()
        if done is not None:
            return done


def _split_by_chunk(table: FamilyTable, changes: Iterable[Range]):
    """Return the changes of each affected chunk, cut at its bounds."""
    parts: dict[int, list[Range]] = {}
    ends = [*table.bounds[1:], table.family.end]
    for change in changes:
        index = bisect_right(table.bounds, change.start) - 1
        start = change.start
        while start < change.end:
            end = min(change.end, ends[index])
            parts.setdefault(index, []).append(Range(start, end, change.site))
            start = end
            index += 1
    return [(table.family, index, found) for index, found in sorted(parts.items())]


def _rebuild_chunk(chunk: Chunk, changes: list[Range], end: int) -> Chunk:
    """Return the chunk with the changes; a range still starts at its bound.

    :param end: where the chunk's last range ends.
    """
    found = chunk.copy()
    for change in reversed(changes):
        _splice(found, change, end)
    return found


def _splice(chunk: Chunk, change: Range, end: int) -> None:
    """Apply one change to a chunk, merging neighbouring ranges of the same site."""
    starts, sites = chunk.starts, chunk.sites
    first = starts.find(change.start - 1) + 1
    last = starts.find(change.end - 1) + 1
    values, numbers = [], []
    if first == 0 or sites[first - 1] != change.site:
        values.append(change.start)
        numbers.append(change.site)
    follows = starts[last] if last < len(sites) else end
    if change.end < follows:
        if sites[last - 1] != change.site:
            values.append(change.end)
            numbers.append(sites[last - 1])
    elif last < len(sites) and sites[last] == change.site:
        last += 1
    starts.replace(first, last, values)
    sites[first:last] = array("H", numbers)

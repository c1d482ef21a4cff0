"""Client map: blocks of addresses to sites, in flat sorted arrays."""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator, Sequence

from attrs import define, frozen

from almondgap_core.settings.topology import MAX_SITES
from almondgap_core.steering.addresses import Family, parse_address, parse_ipv4

#: Stands for "no site" in arrays of site numbers.
NO_SITE = MAX_SITES

#: Ranges in a chunk of a map as built; changes rebuild whole chunks.
CHUNK_RANGES = 2_048

_LOW_64 = 2**64 - 1
_GROUP_BITS = 16
_GROUP = 1 << _GROUP_BITS


@frozen
class Range:
    """Neighbouring addresses of one site.

    :ivar start: first address as an integer.
    :ivar end: one more than the last address.
    :ivar site: number of the site, or ``NO_SITE``.
    """

    start: int
    end: int
    site: int


class NarrowStarts:
    """First addresses of ranges in 32 bits each."""

    __slots__ = ("values",)

    def __init__(self, values: Iterable[int]) -> None:
        self.values = array("I", values)

    def __len__(self) -> int:
        return len(self.values)

    def __getitem__(self, index: int) -> int:
        return self.values[index]

    def find(self, address: int) -> int:
        """Return the index of the last start that is not above ``address``."""
        return bisect_right(self.values, address) - 1

    def replace(self, first: int, last: int, values: Sequence[int]) -> None:
        """Put ``values`` in the place of ``first`` up to before ``last``."""
        self.values[first:last] = array("I", values)


class WideStarts:
    """First addresses of ranges in twice 64 bits each."""

    __slots__ = ("high", "low")

    def __init__(self, values: Iterable[int]) -> None:
        values = list(values)
        self.high = array("Q", [value >> 64 for value in values])
        self.low = array("Q", [value & _LOW_64 for value in values])

    def __len__(self) -> int:
        return len(self.high)

    def __getitem__(self, index: int) -> int:
        return self.high[index] << 64 | self.low[index]

    def find(self, address: int) -> int:
        """Return the index of the last start that is not above ``address``."""
        high = address >> 64
        last = bisect_right(self.high, high)
        first = bisect_left(self.high, high, 0, last)
        return bisect_right(self.low, address & _LOW_64, first, last) - 1

    def replace(self, first: int, last: int, values: Sequence[int]) -> None:
        """Put ``values`` in the place of ``first`` up to before ``last``."""
        piece = WideStarts(values)
        self.high[first:last] = piece.high
        self.low[first:last] = piece.low


@frozen(eq=False)
class Chunk:
    """Consecutive ranges; each reaches up to the start of the next.

    :ivar starts: first addresses, strictly increasing.
    :ivar sites: numbers of the sites, one for each start.
    """

    starts: NarrowStarts | WideStarts
    sites: array

    @classmethod
    def from_pairs(cls, family: Family, pairs: Sequence[tuple[int, int]]) -> Chunk:
        """Return the chunk with these starts and sites."""
        kind = NarrowStarts if family is Family.IPV4 else WideStarts
        sites = array("H", [site for _, site in pairs])
        return cls(kind(start for start, _ in pairs), sites)

    def copy(self) -> Chunk:
        """Return a chunk of the same ranges that may be changed."""
        if isinstance(self.starts, NarrowStarts):
            return Chunk(NarrowStarts(self.starts.values), self.sites[:])
        starts = WideStarts(())
        starts.high, starts.low = self.starts.high[:], self.starts.low[:]
        return Chunk(starts, self.sites[:])

    def list_pairs(self) -> list[tuple[int, int]]:
        """Return starts and sites."""
        return [
            (self.starts[index], self.sites[index]) for index in range(len(self.sites))
        ]


@define(eq=False)
class FamilyTable:
    """Ranges of one family in chunks.

    The first range of a chunk starts at the chunk's bound, and the first bound is 0, so
    that every address lies in exactly one range.

    :ivar bounds: first address of each chunk.
    :ivar starts16: for IPv4, the chunk in which each group of 2 ** 16 addresses begins.
    """

    family: Family
    bounds: Sequence[int]
    chunks: list[Chunk]
    starts16: array

    @classmethod
    def from_chunks(cls, family: Family, chunks: list[Chunk]) -> FamilyTable:
        """Return the table of these chunks."""
        bounds = [chunk.starts[0] for chunk in chunks]
        if family is Family.IPV6:
            return cls(family, bounds, chunks, array("I"))
        starts16 = array("I")
        for index, end in enumerate((*bounds[1:], family.end)):
            groups = -(-end // _GROUP) - len(starts16)
            starts16.extend(array("I", [index]) * groups)
        starts16.append(len(bounds) - 1)
        return cls(family, array("I", bounds), chunks, starts16)

    def copy(self) -> FamilyTable:
        """Return a table that shares the chunks, which may be replaced."""
        return FamilyTable(self.family, self.bounds, list(self.chunks), self.starts16)

    def find_ipv4(self, address: int) -> int:
        """Return what :meth:`find` does, faster, in a table of IPv4 ranges."""
        group = address >> _GROUP_BITS
        at = self.starts16[group]
        end = self.starts16[group + 1]
        if at != end:
            at = bisect_right(self.bounds, address, at, end + 1) - 1
        chunk = self.chunks[at]
        return chunk.sites[bisect_right(chunk.starts.values, address) - 1]

    @classmethod
    def from_pairs(
        cls, family: Family, pairs: Sequence[tuple[int, int]]
    ) -> FamilyTable:
        """Return the table with these starts and sites; the first start is 0."""
        parts = [
            pairs[index : index + CHUNK_RANGES]
            for index in range(0, len(pairs), CHUNK_RANGES)
        ]
        chunks = [Chunk.from_pairs(family, part) for part in parts]
        return cls.from_chunks(family, chunks)

    def find(self, address: int) -> int:
        """Return the number of the site of an address, or ``NO_SITE``."""
        chunk = self.chunks[bisect_right(self.bounds, address) - 1]
        return chunk.sites[chunk.starts.find(address)]

    def list_ranges(self) -> Iterator[Range]:
        """Yield all ranges that have a site, neighbours of one site merged."""
        begin, current = 0, NO_SITE
        for chunk in self.chunks:
            for start, site in chunk.list_pairs():
                if site == current:
                    continue
                if current != NO_SITE:
                    yield Range(begin, start, current)
                begin, current = start, site
        if current != NO_SITE:
            yield Range(begin, self.family.end, current)

    def count_ranges(self) -> int:
        """Return how many ranges the table holds, those without a site included."""
        return sum(len(chunk.sites) for chunk in self.chunks)


@frozen(eq=False)
class ClientMap:
    """A client map, ready for look-ups.

    :ivar sites: names of the sites; their index is their number.
    """

    sites: tuple[str, ...]
    ipv4: FamilyTable
    ipv6: FamilyTable

    def find_site(self, address: str) -> str | None:
        """Return the site of an address as text, or None for an unknown block.

        :raises ValueError: the text is no IP number.
        """
        if ":" not in address:
            site = self.ipv4.find_ipv4(parse_ipv4(address))
        else:
            family, number = parse_address(address)
            site = self.get_table(family).find(number)
        return None if site == NO_SITE else self.sites[site]

    def get_table(self, family: Family) -> FamilyTable:
        """Return the table of a family."""
        return self.ipv4 if family is Family.IPV4 else self.ipv6

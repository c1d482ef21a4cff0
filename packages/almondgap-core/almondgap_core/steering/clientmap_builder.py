"""Building a client map from rows of prefix and place."""

from __future__ import annotations

import csv
from array import array
from collections.abc import Callable, Collection, Iterable, Iterator

from attrs import frozen

from almondgap_core.exceptions import ConfigurationError
from almondgap_core.settings.topology import MAX_SITES
from almondgap_core.steering.addresses import Family, parse_ipv4, parse_ipv6
from almondgap_core.steering.clientmap import NO_SITE, ClientMap, FamilyTable

HEADER = ["prefix", "place"]

#: Faults that a refused file names; further ones are counted.
MAX_FAULTS = 20

#: Rows between two reports of progress.
PROGRESS_ROWS = 100_000


@frozen
class Block:
    """One row: a prefix and its site.

    :ivar first: first address of the prefix.
    :ivar length: bits that the prefix fixes.
    :ivar row: number of the row in the file, from 1.
    """

    family: Family
    first: int
    length: int
    site: int
    row: int

    @property
    def end(self) -> int:
        """One more than the last address."""
        return self.first + (1 << self.family.value - self.length)


def build_client_map(
    lines: Iterable[str],
    source: str,
    known_sites: Collection[str] = (),
    note_progress: Callable[[int], None] = lambda rows: None,
) -> ClientMap:
    """Return the map that a CSV file with the header ``prefix,place`` describes.

    A longer prefix wins over a shorter one that holds it.

    :param source: name of the file, for errors.
    :param known_sites: sites that a place may name; empty means any.
    :param note_progress: called with the number of rows read.
    :raises ConfigurationError: lists the rows at fault.
    """
    reader = _BlockReader(source, known_sites)
    blocks: dict[Family, list[tuple[int, int, int, int]]] = {f: [] for f in Family}
    for block in reader.read(lines):
        key = (block.first, block.length, block.site, block.row)
        blocks[block.family].append(key)
        if block.row % PROGRESS_ROWS == 0:
            note_progress(block.row)
    for family, found in blocks.items():
        found.sort()
        _report_doubles(family, found, reader)
    reader.raise_faults()
    tables = {
        family: FamilyTable.from_pairs(family, _resolve(family, found))
        for family, found in blocks.items()
    }
    return ClientMap(tuple(reader.sites), tables[Family.IPV4], tables[Family.IPV6])


class _BlockReader:
    def __init__(self, source: str, known_sites: Collection[str]) -> None:
        self.source = source
        self.known = frozenset(known_sites)
        self.sites: dict[str, int] = {}
        self.faults: list[str] = []

    def read(self, lines: Iterable[str]) -> Iterator[Block]:
        rows = csv.reader(lines)
        for number, row in enumerate(rows, 1):
            if number == 1:
                self._check_header(row)
            elif row:
                block = self._read_row(number, row)
                if block is not None:
                    yield block

    def _check_header(self, row: list[str]) -> None:
        if [cell.strip() for cell in row] != HEADER:
            self.fail(1, f"expected the header {','.join(HEADER)!r}")

    def _read_row(self, number: int, row: list[str]) -> Block | None:
        if len(row) != 2:
            return self.fail(number, f"{len(row)} fields, expected prefix and place")
        prefix, place = row[0].strip(), row[1].strip()
        try:
            family, first, length = _parse_prefix(prefix)
        except ValueError as exc:
            return self.fail(number, str(exc))
        if not place or (self.known and place not in self.known):
            return self.fail(number, f"{place!r} is no site of the inventory")
        site = self.sites.setdefault(place, len(self.sites))
        if site >= MAX_SITES:
            return self.fail(number, f"more than {MAX_SITES} places")
        return Block(family, first, length, site, number)

    def fail(self, row: int, text: str) -> None:
        self.faults.append(f"{self.source}: row {row}: {text}")

    def raise_faults(self) -> None:
        if not self.faults:
            return
        shown = self.faults[:MAX_FAULTS]
        if len(self.faults) > MAX_FAULTS:
            shown.append(f"{self.source}: {len(self.faults) - MAX_FAULTS} more faults")
        raise ConfigurationError("\n".join(shown))


def _parse_prefix(text: str) -> tuple[Family, int, int]:
    address, slash, bits = text.partition("/")
    if ":" in address:
        family, first = Family.IPV6, parse_ipv6(address)
    else:
        family, first = Family.IPV4, parse_ipv4(address)
    if not (slash and bits.isascii() and bits.isdigit() and len(bits) <= 3):
        raise ValueError(f"{text[:60]!r} is no prefix")
    length = int(bits)
    if length > family.value:
        raise ValueError(f"{text[:60]!r} has more than {family.value} bits")
    if first & ((1 << family.value - length) - 1):
        raise ValueError(f"{text[:60]!r} has host bits set")
    return family, first, length


def _report_doubles(family: Family, found: list, reader: _BlockReader) -> None:
    for one, other in zip(found, found[1:], strict=False):
        if one[:2] == other[:2] and one[2] != other[2]:
            rows = sorted((one[3], other[3]))
            text = f"the prefix has another place in row {rows[0]}"
            reader.fail(rows[1], text)


def _resolve(family: Family, found: list) -> list[tuple[int, int]]:
    """Return starts and sites of disjoint ranges, neighbours of one site merged."""
    starts, sites = [0], array("H", [NO_SITE])
    open_blocks: list[tuple[int, int]] = []

    def change(at: int, site: int) -> None:
        if starts[-1] == at:
            starts.pop()
            sites.pop()
        if not sites or sites[-1] != site:
            starts.append(at)
            sites.append(site)

    def close_until(at: int) -> None:
        while open_blocks and open_blocks[-1][0] <= at:
            end, _ = open_blocks.pop()
            if end < family.end:
                change(end, open_blocks[-1][1] if open_blocks else NO_SITE)

    for first, length, site, _row in found:
        close_until(first)
        change(first, site)
        open_blocks.append((first + (1 << family.value - length), site))
    close_until(family.end)
    return list(zip(starts, sites, strict=True))

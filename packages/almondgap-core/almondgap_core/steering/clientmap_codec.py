"""Client maps and deltas as bytes for the object store."""

from __future__ import annotations

import hashlib
import sys
from array import array
from collections.abc import Iterator
from itertools import pairwise

import msgpack
from attrs import Factory, define

from almondgap_core.exceptions import ConfigurationError
from almondgap_core.settings.topology import MAX_SITES
from almondgap_core.steering.addresses import Family
from almondgap_core.steering.clientmap import (
    NO_SITE,
    Chunk,
    ClientMap,
    FamilyTable,
    NarrowStarts,
    Range,
    WideStarts,
)
from almondgap_core.steering.clientmap_delta import MapDelta

#: First bytes of a body; the last one is the version of the form.
BODY_MAGIC = b"agmap\x01"
DELTA_MAGIC = b"agmdl\x01"

#: Bytes that one step of a digest covers.
DIGEST_STEP_BYTES = 262_144

_LENGTH_BYTES = 4
_SITE_BYTES = 2


def encode_map(client_map: ClientMap) -> bytes:
    """Return the body of a map: a msgpack head, then the arrays, little-endian."""
    counts = []
    parts = []
    for family in Family:
        table = client_map.get_table(family)
        counts.append([len(chunk.sites) for chunk in table.chunks])
        for chunk in table.chunks:
            parts += [_dump(values) for values in _list_arrays(chunk)]
    return _join(BODY_MAGIC, [list(client_map.sites), counts], b"".join(parts))


def encode_delta(delta: MapDelta) -> bytes:
    """Return the body of a delta."""
    counts = []
    parts = []
    for family in Family:
        changes = delta.changes.get(family, ())
        counts.append(len(changes))
        size = family.value // 8
        for change in changes:
            parts.append(change.start.to_bytes(size, "little"))
            parts.append((change.end - 1).to_bytes(size, "little"))
            parts.append(change.site.to_bytes(_SITE_BYTES, "little"))
    head = [delta.parent, list(delta.sites), counts]
    return _join(DELTA_MAGIC, head, b"".join(parts))


def decode_delta(body: bytes) -> MapDelta:
    """Return the delta that ``body`` holds.

    :raises ConfigurationError: the body is no delta that this version can read.
    """
    head, at = _split(body, DELTA_MAGIC, "delta of a client map")
    try:
        parent, sites, counts = head
        changes = {}
        for family, count in zip(Family, counts, strict=True):
            found, at = _read_changes(body, at, family, count, len(sites))
            changes[family] = found
        _expect(at == len(body), "a length that fits its counts")
        return MapDelta(parent, _check_sites(sites), changes)
    except (TypeError, ValueError) as exc:
        raise ConfigurationError(f"delta of a client map: {exc}") from exc


@define
class DecodeWork:
    """A body that is being checked and read, a bounded part in each step.

    :ivar name: object name that the body has to have.
    """

    name: str
    body: bytes
    _steps: Iterator[ClientMap | None] = Factory(
        lambda self: self._run(), takes_self=True
    )

    def step(self) -> ClientMap | None:
        """Go on; return the map once it is whole.

        :raises ConfigurationError: the body is no map that this version can read.
        """
        try:
            return next(self._steps)
        except (TypeError, ValueError, IndexError) as exc:
            raise ConfigurationError(f"client map {self.name[:12]}: {exc}") from exc

    def _run(self) -> Iterator[ClientMap | None]:
        yield from self._check_digest()
        (sites, counts), at = _split(self.body, BODY_MAGIC, "client map")
        names = _check_sites(sites)
        tables = []
        for family, sizes in zip(Family, counts, strict=True):
            chunks: list[Chunk] = []
            _expect(bool(sizes), "at least one chunk of each family")
            for count in sizes:
                chunk, at = _read_chunk(self.body, at, family, count)
                _check_chunk(chunk, len(names), chunks)
                chunks.append(chunk)
                yield None
            tables.append(FamilyTable.from_chunks(family, chunks))
        _expect(at == len(self.body), "a length that fits its counts")
        yield ClientMap(names, *tables)

    def _check_digest(self) -> Iterator[None]:
        digest = hashlib.sha256()
        view = memoryview(self.body)
        for at in range(0, len(view), DIGEST_STEP_BYTES):
            digest.update(view[at : at + DIGEST_STEP_BYTES])
            yield None
        _expect(digest.hexdigest() == self.name, "a body that fits its name")


def decode_map(name: str, body: bytes) -> ClientMap:
    """Return the map that ``body`` holds, at once.

    :raises ConfigurationError: the body is no map that this version can read.
    """
    work = DecodeWork(name, body)
    while True:
        found = work.step()
        if found is not None:
            return found


def _join(magic: bytes, head: list, data: bytes) -> bytes:
    packed = msgpack.packb(head, use_bin_type=True)
    return magic + len(packed).to_bytes(_LENGTH_BYTES, "little") + packed + data


def _split(body: bytes, magic: bytes, what: str):
    start = len(magic) + _LENGTH_BYTES
    if len(body) < start or not body.startswith(magic):
        raise ConfigurationError(f"the object is no {what} that this version can read")
    length = int.from_bytes(body[len(magic) : start], "little")
    try:
        head = msgpack.unpackb(body[start : start + length])
    except (ValueError, msgpack.UnpackException) as exc:
        raise ConfigurationError(f"{what}: broken head: {exc}") from exc
    return head, start + length


def _list_arrays(chunk: Chunk) -> list[array]:
    starts = chunk.starts
    if isinstance(starts, NarrowStarts):
        return [starts.values, chunk.sites]
    return [starts.high, starts.low, chunk.sites]


def _dump(values: array) -> bytes:
    if sys.byteorder == "little":
        return values.tobytes()
    swapped = values[:]
    swapped.byteswap()
    return swapped.tobytes()


def _load(body: bytes, at: int, kind: str, count: int) -> tuple[array, int]:
    values = array(kind)
    end = at + count * values.itemsize
    _expect(end <= len(body), "a length that fits its counts")
    values.frombytes(body[at:end])
    if sys.byteorder != "little":
        values.byteswap()
    return values, end


def _read_chunk(body: bytes, at: int, family: Family, count: int):
    if family is Family.IPV4:
        starts = NarrowStarts(())
        starts.values, at = _load(body, at, "I", count)
    else:
        starts = WideStarts(())
        starts.high, at = _load(body, at, "Q", count)
        starts.low, at = _load(body, at, "Q", count)
    sites, at = _load(body, at, "H", count)
    return Chunk(starts, sites), at


def _check_chunk(chunk: Chunk, sites: int, before: list[Chunk]) -> None:
    starts = list(chunk.starts)
    _expect(bool(starts), "no empty chunk")
    rises = all(one < other for one, other in pairwise(starts))
    if before:
        last = before[-1].starts
        rises = rises and last[len(last) - 1] < starts[0]
    else:
        rises = rises and starts[0] == 0
    _expect(rises, "starts that rise from 0")
    known = all(site < sites or site == NO_SITE for site in set(chunk.sites))
    _expect(known, "numbers of its own sites")


def _check_sites(sites) -> tuple[str, ...]:
    names = tuple(sites)
    good = all(isinstance(name, str) and name for name in names)
    _expect(good and len(set(names)) == len(names) <= MAX_SITES, "names of sites")
    return names


def _read_changes(body: bytes, at: int, family: Family, count: int, sites: int):
    size = family.value // 8
    step = 2 * size + _SITE_BYTES
    _expect(at + count * step <= len(body), "a length that fits its counts")
    changes = []
    reached = 0
    for _ in range(count):
        start = int.from_bytes(body[at : at + size], "little")
        end = int.from_bytes(body[at + size : at + 2 * size], "little") + 1
        site = int.from_bytes(body[at + 2 * size : at + step], "little")
        _expect(reached <= start < end, "ranges in order")
        _expect(site < sites or site == NO_SITE, "numbers of its own sites")
        changes.append(Range(start, end, site))
        reached = end
        at += step
    return tuple(changes), at


def _expect(condition: bool, what: str) -> None:
    if not condition:
        raise ValueError(f"expected {what}")

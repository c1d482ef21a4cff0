"""Reading, writing and storing client maps for the operators' commands."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import cappa

from almondgap_cli.configuration import open_platform
from almondgap_cli.files import read_inventory
from almondgap_core.exceptions import ConfigurationError
from almondgap_core.platform import compute_object_name
from almondgap_core.steering.clientmap import ClientMap
from almondgap_core.steering.clientmap_builder import build_client_map
from almondgap_core.steering.clientmap_codec import decode_map

MapFile = Annotated[Path, cappa.Arg(help="Built client map.")]

CsvFile = Annotated[Path, cappa.Arg(help="CSV file with the header prefix,place.")]

InventoryFile = Annotated[
    Path | None,
    cappa.Arg(
        long="--inventory", help="Inventory that must define every place as a site."
    ),
]

OutputFile = Annotated[
    Path | None, cappa.Arg(long="--output", help="File to write the result to.")
]

StorePlatform = Annotated[
    str | None,
    cappa.Arg(long="--platform", help="Platform to store the result on, if any."),
]


def read_csv(path: Path, inventory: Path | None) -> ClientMap:
    """Build the map that a CSV file describes; progress goes to stderr.

    :raises ConfigurationError: lists the invalid rows.
    """
    sites = ()
    if inventory is not None:
        sites = tuple(read_inventory(inventory).inventory.topology.sites)
    found = build_client_map(_read_lines(path), str(path), sites, _show_progress)
    print(f"{path}: all rows read", file=sys.stderr)
    return found


def read_map(path: Path) -> tuple[str, ClientMap]:
    """Return object name and content of a built map.

    :raises ConfigurationError: the file is not a map that this version can read.
    """
    body = read_body(path)
    name = compute_object_name(body)
    try:
        return name, decode_map(name, body)
    except ConfigurationError as exc:
        raise ConfigurationError(f"{path}: {exc}") from exc


def read_body(path: Path) -> bytes:
    """Return the bytes of a file.

    :raises ConfigurationError: the file cannot be read.
    """
    try:
        return path.read_bytes()
    except OSError as exc:
        raise ConfigurationError(f"{path}: {exc.strerror}") from exc


async def store_body(body: bytes, output: Path | None, platform: str | None) -> str:
    """Write a body to the given file and platform, if any; return its object name."""
    if output is not None:
        output.write_bytes(body)
    if platform is not None:
        return await open_platform(platform).put(body)
    return compute_object_name(body)


def describe_map(found: ClientMap) -> str:
    """Return a one-line summary of a map's size."""
    return (
        f"{len(found.sites)} places, {found.ipv4.count_ranges()} IPv4 ranges, "
        f"{found.ipv6.count_ranges()} IPv6 ranges"
    )


def _read_lines(path: Path) -> Iterator[str]:
    try:
        with path.open(encoding="utf-8", newline="") as file:
            yield from file
    except (OSError, UnicodeDecodeError) as exc:
        raise ConfigurationError(f"{path}: {exc}") from exc


def _show_progress(rows: int) -> None:
    print(f"{rows} rows", file=sys.stderr)

"""``almondgap map diff``: compute the delta between two client maps."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import cappa
from attrs import define

from almondgap_cli.clientmaps import (
    MapFile,
    OutputFile,
    StorePlatform,
    read_map,
    store_body,
)
from almondgap_cli.running import run_command
from almondgap_core.steering.clientmap_codec import encode_delta
from almondgap_core.steering.clientmap_delta import compute_delta


@cappa.command(name="diff", help="Compute the delta between two client maps.")
@define
class MapDiff:
    """Arguments of the command."""

    old: MapFile
    new: Annotated[Path, cappa.Arg(help="Built client map that the delta leads to.")]
    output: OutputFile = None
    parent: Annotated[
        str | None,
        cappa.Arg(
            long="--parent",
            help="Object that the delta applies to; default: the old map's body.",
        ),
    ] = None
    platform: StorePlatform = None

    def __call__(self) -> None:
        """Print the object name to add to the inventory's ``deltas``."""
        run_command(self._compare)

    async def _compare(self) -> None:
        name, old = read_map(self.old)
        _, new = read_map(self.new)
        delta = compute_delta(old, new, self.parent or name)
        for family, changes in delta.changes.items():
            print(f"{family.name}: {len(changes)} ranges changed", file=sys.stderr)
        print(await store_body(encode_delta(delta), self.output, self.platform))

"""``almondgap map build``: build a client map from a CSV file."""

from __future__ import annotations

import sys

import cappa
from attrs import define

from almondgap_cli.clientmaps import (
    CsvFile,
    InventoryFile,
    OutputFile,
    StorePlatform,
    describe_map,
    read_csv,
    store_body,
)
from almondgap_cli.running import run_command
from almondgap_core.steering.clientmap_codec import encode_map


@cappa.command(name="build", help="Build a client map from a CSV file.")
@define
class MapBuild:
    """Arguments of the command."""

    file: CsvFile
    output: OutputFile = None
    inventory: InventoryFile = None
    platform: StorePlatform = None

    def __call__(self) -> None:
        """Print the object name for the ``body`` field of the inventory."""
        run_command(self._build)

    async def _build(self) -> None:
        found = read_csv(self.file, self.inventory)
        print(f"{self.file}: {describe_map(found)}", file=sys.stderr)
        print(await store_body(encode_map(found), self.output, self.platform))

"""``almondgap map check``: check a CSV file of address blocks and places."""

from __future__ import annotations

import cappa
from attrs import define

from almondgap_cli.clientmaps import CsvFile, InventoryFile, describe_map, read_csv
from almondgap_cli.running import run_command


@cappa.command(name="check", help="Check a CSV file of address blocks and places.")
@define
class MapCheck:
    """Arguments of the command."""

    file: CsvFile
    inventory: InventoryFile = None

    def __call__(self) -> None:
        """Print every invalid row, or a summary of the map."""
        run_command(self._check)

    async def _check(self) -> None:
        found = read_csv(self.file, self.inventory)
        print(f"{self.file}: {describe_map(found)}")

"""``almondgap map lookup``: look up the places of addresses in a client map."""

from __future__ import annotations

import json
from typing import Annotated

import cappa
from attrs import define

from almondgap_cli.clientmaps import MapFile, read_map
from almondgap_cli.options import Output
from almondgap_cli.running import run_command
from almondgap_core.exceptions import UserError

UNKNOWN = "unknown block"


@cappa.command(name="lookup", help="Look up the places of addresses in a client map.")
@define
class MapLookup:
    """Arguments of the command."""

    file: MapFile
    addresses: Annotated[list[str], cappa.Arg(help="IP addresses.")]
    output: Output = "text"

    def __call__(self) -> None:
        """Print each address with its place."""
        run_command(self._show)

    async def _show(self) -> None:
        _, found = read_map(self.file)
        try:
            places = {text: found.find_site(text) for text in self.addresses}
        except ValueError as exc:
            raise UserError(str(exc)) from exc
        if self.output == "json":
            print(json.dumps(places))
            return
        for address, place in places.items():
            print(f"{address} {place or UNKNOWN}")

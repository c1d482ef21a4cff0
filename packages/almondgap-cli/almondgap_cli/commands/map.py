"""``almondgap map``: the commands for client maps."""

from __future__ import annotations

import cappa
from attrs import define

from almondgap_cli.commands.map_build import MapBuild
from almondgap_cli.commands.map_check import MapCheck
from almondgap_cli.commands.map_diff import MapDiff
from almondgap_cli.commands.map_lookup import MapLookup


@cappa.command(name="map", help="Build, check and compare client maps.")
@define
class Map:
    """The subcommands."""

    command: cappa.Subcommands[MapBuild | MapCheck | MapDiff | MapLookup]

"""``almondgap apply``: make an inventory file the current configuration."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated

import cappa
from attrs import asdict, define

from almondgap_cli.configuration import move_head
from almondgap_cli.files import read_inventory
from almondgap_cli.options import Output, Platform
from almondgap_cli.running import run_command
from almondgap_daemon.platform import open_place


@cappa.command(name="apply", help="Make an inventory the current configuration.")
@define
class Apply:
    """Arguments of the command."""

    file: Annotated[Path, cappa.Arg(help="Inventory file.")]
    platform: Platform
    expect: Annotated[
        int | None,
        cappa.Arg(long="--expect", help="Version that the change is based on."),
    ] = None
    note: Annotated[str | None, cappa.Arg(long="--note", help="Why.")] = None
    output: Output = "text"

    def __call__(self) -> None:
        """Apply the file; exit with 3 if another operator was first."""
        run_command(self._apply)

    async def _apply(self) -> None:
        checked = read_inventory(self.file)
        for warning in checked.warnings:
            print(f"{self.file}: warning: {warning}", file=sys.stderr)
        platform = open_place(self.platform)
        head = await move_head(
            platform, checked.text.encode(), self.expect, self.note or ""
        )
        if self.output == "json":
            print(json.dumps(asdict(head)))
        else:
            print(f"version {head.version} is current")

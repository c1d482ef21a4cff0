"""``almondgap check``: check an inventory file."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import cappa
from attrs import define

from almondgap_cli.files import read_inventory
from almondgap_core.exceptions import ConfigurationError


@cappa.command(name="check", help="Check an inventory file.")
@define
class Check:
    """Arguments of the command."""

    file: Annotated[Path, cappa.Arg(help="Inventory file.")]

    def __call__(self) -> None:
        """Print every fault and warning; exit with 1 on faults."""
        try:
            checked = read_inventory(self.file)
        except ConfigurationError as exc:
            print(exc, file=sys.stderr)
            raise cappa.Exit(code=1) from exc
        for warning in checked.warnings:
            print(f"{self.file}: warning: {warning}", file=sys.stderr)
        inventory = checked.inventory
        print(
            f"{self.file}: {len(inventory.regions)} regions, "
            f"{len(inventory.services)} services, {len(inventory.targets)} targets, "
            f"{len(inventory.accounts)} client accounts"
        )

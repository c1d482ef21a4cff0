"""``almondgap losses``: show what requests were lost to, or late by."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import cappa
from attrs import define

from almondgap_cli.commands.explain import read_files
from almondgap_cli.losses import LossTable
from almondgap_cli.stories import read_lines


@cappa.command(name="losses", help="Show why requests were late, refused or failed.")
@define
class Losses:
    """Arguments of the command."""

    logs: Annotated[list[Path], cappa.Arg(help="Log files of hosts.", num_args=-1)]

    def __call__(self) -> None:
        """Print outcomes and causes by time; exit with 1 if there are none."""
        table = LossTable.from_lines(read_lines(read_files(self.logs)))
        for line in table.describe():
            print(line)
        if not table.counts:
            raise cappa.Exit("no line about a request", code=1)

"""``almondgap history``: show the changes of the configuration."""

from __future__ import annotations

import json
from typing import Annotated

import cappa
from attrs import asdict, define

from almondgap_cli.configuration import open_platform, read_history
from almondgap_cli.options import Output, Platform
from almondgap_cli.running import run_command


@cappa.command(name="history", help="Show the changes of the configuration.")
@define
class History:
    """Arguments of the command."""

    platform: Platform
    limit: Annotated[
        int, cappa.Arg(long="--limit", help="Maximum number of changes to show.")
    ] = 20
    output: Output = "text"

    def __call__(self) -> None:
        """Print the latest changes, newest first."""
        run_command(self._show)

    async def _show(self) -> None:
        heads = await read_history(open_platform(self.platform))
        heads = heads[::-1][: self.limit]
        if self.output == "json":
            print(json.dumps([asdict(head) for head in heads]))
            return
        for head in heads:
            print(f"{head.version} {head.time} {head.author} {head.note or '-'}")

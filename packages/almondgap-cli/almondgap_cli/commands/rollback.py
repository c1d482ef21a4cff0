"""``almondgap rollback``: make an earlier configuration current, as a new version."""

from __future__ import annotations

import json
from typing import Annotated

import cappa
from attrs import asdict, define

from almondgap_cli.configuration import advance_head, open_platform, read_body
from almondgap_cli.options import Output, Platform
from almondgap_cli.running import run_command
from almondgap_core.settings.rollout import load_inventory


@cappa.command(
    name="rollback", help="Make an earlier configuration current, as a new version."
)
@define
class Rollback:
    """Arguments of the command."""

    version: Annotated[int, cappa.Arg(help="Version to restore.")]
    platform: Platform
    expect: Annotated[
        int | None,
        cappa.Arg(long="--expect", help="Version that the change is based on."),
    ] = None
    output: Output = "text"

    def __call__(self) -> None:
        """Apply the earlier body; exit with 3 if another operator changed it first."""
        run_command(self._roll_back)

    async def _roll_back(self) -> None:
        platform = open_platform(self.platform)
        body = await read_body(platform, self.version)
        load_inventory(body.decode(), f"version {self.version}")
        note = f"rollback to version {self.version}"
        head = await advance_head(platform, body, self.expect, note)
        if self.output == "json":
            print(json.dumps(asdict(head)))
        else:
            print(f"version {head.version} is current, with the body of {self.version}")

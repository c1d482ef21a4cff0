"""``almondgap status``: show a host's versions and activity."""

from __future__ import annotations

import json
from typing import Annotated

import cappa
from attrs import define

from almondgap_cli.options import Output
from almondgap_cli.running import run_command
from almondgap_cli.web import fetch_json, make_url


@cappa.command(name="status", help="Show the status of a host.")
@define
class Status:
    """Arguments of the command."""

    host: Annotated[str, cappa.Arg(help="Operators' address and port of the host.")]
    output: Output = "text"

    def __call__(self) -> None:
        """Print the host's status."""
        run_command(self._show)

    async def _show(self) -> None:
        status = await fetch_json(make_url(self.host, "/v1/status"))
        if self.output == "json":
            print(json.dumps(status))
            return
        for name, value in status.items():
            print(f"{name}: {value}")

"""``almondgap lookup``: show which entry hosts serve a service."""

from __future__ import annotations

import json
from typing import Annotated
from urllib.parse import quote

import cappa
from attrs import define

from almondgap_cli.options import Output
from almondgap_cli.running import run_command
from almondgap_cli.web import fetch_json, make_url


@cappa.command(name="lookup", help="Show which entry hosts serve a service.")
@define
class Lookup:
    """Arguments of the command."""

    host: Annotated[str, cappa.Arg(help="Callers' address and port of any host.")]
    service: Annotated[str, cappa.Arg(help="Name of the service.")]
    output: Output = "text"

    def __call__(self) -> None:
        """Print the entry hosts, best first."""
        run_command(self._show)

    async def _show(self) -> None:
        url = make_url(self.host, f"/v1/lookup?service={quote(self.service)}")
        answer = await fetch_json(url)
        if self.output == "json":
            print(json.dumps(answer))
            return
        for entry in answer["hosts"]:
            print(f"{entry['host']} {entry['address']}:{entry['port']}")

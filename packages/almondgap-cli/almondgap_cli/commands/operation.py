"""``almondgap operation``: show the state of an operation on a host."""

from __future__ import annotations

import json
from typing import Annotated
from urllib.parse import quote

import cappa
from attrs import define

from almondgap_cli.options import Output
from almondgap_cli.running import run_command
from almondgap_cli.web import fetch_json, make_url


@cappa.command(name="operation", help="Show the state of an operation.")
@define
class Operation:
    """Arguments of the command."""

    key: Annotated[str, cappa.Arg(help="The caller's Idempotency-Key.")]
    host: Annotated[str, cappa.Arg(help="Operators' address and port of a host.")]
    output: Output = "text"

    def __call__(self) -> None:
        """Print the operation's state, or which host to ask."""
        run_command(self._show)

    async def _show(self) -> None:
        path = f"/v1/operation?key={quote(self.key)}"
        known = await fetch_json(make_url(self.host, path))
        if self.output == "json":
            print(json.dumps(known))
            return
        for name, value in known.items():
            print(f"{name}: {value}")

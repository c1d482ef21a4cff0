"""``almondgap headroom``: show the spare capacity of each region."""

from __future__ import annotations

import json
from typing import Annotated, Any

import cappa
from attrs import define

from almondgap_cli.options import Output
from almondgap_cli.running import run_command
from almondgap_cli.web import fetch_json


@cappa.command(name="headroom", help="Show the spare capacity of each region.")
@define
class Headroom:
    """Arguments of the command."""

    host: Annotated[str, cappa.Arg(help="Operators' address and port of any host.")]
    output: Output = "text"

    def __call__(self) -> None:
        """Print a line for each region."""
        run_command(self._show)

    async def _show(self) -> None:
        answer = await fetch_json(f"http://{self.host}/v1/headroom")
        if self.output == "json":
            print(json.dumps(answer))
            return
        for entry in answer["regions"]:
            print(describe_region(entry))


def describe_region(entry: dict[str, Any]) -> str:
    """Return the line for one region."""
    if entry["age"] is None:
        return f"{entry['region']}: {entry['standing']}, no report"
    draining = ", draining" if entry["draining"] else ""
    return (
        f"{entry['region']}: {entry['standing']}{draining}, "
        f"{entry['admitted']:g} of {entry['capacity']:g} requests/s "
        f"(shifts stop at {entry['limit']:g}), "
        f"{entry['used']} of {entry['slots']} slots, {entry['age']} ms old"
    )

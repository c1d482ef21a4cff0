"""``almondgap account``: client accounts of the current configuration."""

from __future__ import annotations

import json
from typing import Annotated

import cappa
from attrs import asdict, define

from almondgap_cli.configuration import open_platform, read_head
from almondgap_cli.options import Hosts, Output, Platform
from almondgap_cli.running import run_command
from almondgap_cli.web import fetch_json, make_url
from almondgap_core.exceptions import UserError
from almondgap_core.settings.inventory import Account as ClientAccount
from almondgap_core.settings.inventory import Inventory
from almondgap_core.settings.rollout import load_inventory
from almondgap_core.units import MILLIS_PER_UNIT


@cappa.command(name="list", help="List the client accounts.")
@define
class AccountList:
    """Arguments of the command."""

    platform: Platform
    output: Output = "text"

    def __call__(self) -> None:
        """Print every client account with its rate and burst."""
        run_command(self._show)

    async def _show(self) -> None:
        inventory = await _read_inventory(self.platform)
        accounts = [_describe(a, inventory) for a in inventory.accounts.values()]
        if self.output == "json":
            print(json.dumps(accounts))
            return
        for account in accounts:
            print(
                f"{account['name']}: {account['rate_per_s']:g}/s, "
                f"burst {account['burst']}, {len(account['keys'])} keys"
            )


@cappa.command(name="use", help="Show the responses to a client account.")
@define
class AccountUse:
    """Arguments of the command."""

    name: Annotated[str, cappa.Arg(help="Name of the client account.")]
    hosts: Hosts
    output: Output = "text"

    def __call__(self) -> None:
        """Print response counts by status and verdict, summed over the hosts."""
        run_command(self._show)

    async def _show(self) -> None:
        counts: dict[tuple[int, str], int] = {}
        for host in self.hosts:
            answer = await fetch_json(make_url(host, "/v1/histograms"))
            for entry in answer["counts"]:
                if entry["account"] == self.name:
                    key = entry["status"], entry["verdict"]
                    counts[key] = counts.get(key, 0) + entry["count"]
        rows = [
            {"status": status, "verdict": verdict, "count": count}
            for (status, verdict), count in sorted(counts.items())
        ]
        if self.output == "json":
            print(json.dumps({"account": self.name, "answers": rows}))
            return
        for row in rows:
            print(f"{row['status']} {row['verdict']}: {row['count']}")


@cappa.command(name="account", help="Show client accounts.")
@define
class Account:
    """The subcommands."""

    command: cappa.Subcommands[AccountList | AccountUse]


async def _read_inventory(place: str) -> Inventory:
    platform = open_platform(place)
    current = await read_head(platform)
    if current.head is None:
        raise UserError("no configuration has been applied")
    body = await platform.get(current.head.body)
    return load_inventory(body.decode(), f"configuration {current.version}")


def _describe(account: ClientAccount, inventory: Inventory) -> dict:
    values = asdict(account)
    values["rate_per_s"] = values.pop("rate") / MILLIS_PER_UNIT
    keys = inventory.keys.values()
    values["keys"] = [key.key_id for key in keys if key.account == account.name]
    return values

"""Entry point of the ``almondgap`` command line."""

from __future__ import annotations

import cappa
from attrs import define

from almondgap_cli.commands.account import Account
from almondgap_cli.commands.apply import Apply
from almondgap_cli.commands.check import Check
from almondgap_cli.commands.diff import Diff
from almondgap_cli.commands.drain import Drain
from almondgap_cli.commands.explain import Explain
from almondgap_cli.commands.headroom import Headroom
from almondgap_cli.commands.histogram import Histogram
from almondgap_cli.commands.history import History
from almondgap_cli.commands.keys import Keys
from almondgap_cli.commands.lookup import Lookup
from almondgap_cli.commands.losses import Losses
from almondgap_cli.commands.map import Map
from almondgap_cli.commands.operation import Operation
from almondgap_cli.commands.replay import Replay
from almondgap_cli.commands.rollback import Rollback
from almondgap_cli.commands.status import Status


@cappa.command(name="almondgap", help="Operate a fleet of almondgap hosts.")
@define
class Almondgap:
    """The top-level command."""

    command: cappa.Subcommands[
        Account
        | Apply
        | Check
        | Diff
        | Drain
        | Explain
        | Headroom
        | Histogram
        | History
        | Keys
        | Lookup
        | Losses
        | Map
        | Operation
        | Replay
        | Rollback
        | Status
    ]


def main() -> None:
    """Run the command line."""
    cappa.invoke(Almondgap)


if __name__ == "__main__":
    main()

"""``almondgap apply``: make an inventory file the current configuration."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated

import cappa
from attrs import asdict, define

from almondgap_cli.configuration import advance_head, open_platform
from almondgap_cli.files import read_inventory
from almondgap_cli.options import Output, Platform
from almondgap_cli.running import EXIT_INCOMPLETE, run_command
from almondgap_cli.waiting import Rollout, wait_for_version

#: Default bound on the wait for all hosts, in seconds.
DEFAULT_TIMEOUT_S = 30.0


@cappa.command(name="apply", help="Make an inventory the current configuration.")
@define
class Apply:
    """Arguments of the command."""

    file: Annotated[Path, cappa.Arg(help="Inventory file.")]
    platform: Platform
    expect: Annotated[
        int | None,
        cappa.Arg(long="--expect", help="Version that the change is based on."),
    ] = None
    note: Annotated[str | None, cappa.Arg(long="--note", help="Why.")] = None
    wait: Annotated[
        bool, cappa.Arg(long="--wait", help="Wait until all hosts have it in force.")
    ] = False
    timeout: Annotated[
        float, cappa.Arg(long="--timeout", help="Bound on the wait in seconds.")
    ] = DEFAULT_TIMEOUT_S
    output: Output = "text"

    def __call__(self) -> None:
        """Apply the file; exit with 3 if another operator changed it first.

        With ``--wait``, exit with 4 if a host lacks it when the timeout has passed.
        """
        run_command(self._apply)

    async def _apply(self) -> int:
        checked = read_inventory(self.file)
        for warning in checked.warnings:
            print(f"{self.file}: warning: {warning}", file=sys.stderr)
        platform = open_platform(self.platform)
        head = await advance_head(
            platform, checked.text.encode(), self.expect, self.note or ""
        )
        rollout = None
        if self.wait:
            hosts = await platform.list_hosts()
            rollout = await wait_for_version(hosts, head.version, self.timeout)
        if self.output == "json":
            rolled = {} if rollout is None else asdict(rollout)
            print(json.dumps({**asdict(head), **rolled}))
        else:
            print(f"version {head.version} is current")
        return 0 if rollout is None else _report(rollout)


def _report(rollout: Rollout) -> int:
    for name, why in sorted(rollout.missing.items()):
        print(f"missing: {name}: {why}", file=sys.stderr)
    return EXIT_INCOMPLETE if rollout.missing else 0

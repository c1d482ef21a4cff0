"""``almondgap drain``: drain a host and stop it."""

from __future__ import annotations

import json
import sys
from typing import Annotated

import cappa
from attrs import define
from twisted.internet import reactor
from twisted.internet.task import deferLater

from almondgap_cli.options import Output
from almondgap_cli.running import run_command
from almondgap_cli.web import fetch_json, make_url
from almondgap_core.exceptions import UserError

POLL_INTERVAL_S = 0.5
DEFAULT_TIMEOUT_S = 60


@cappa.command(name="drain", help="Stop a host after its running requests have ended.")
@define
class Drain:
    """Arguments of the command."""

    host: Annotated[str, cappa.Arg(help="Operators' address and port of the host.")]
    wait: Annotated[
        bool, cappa.Arg(long="--wait", help="Wait until the host has stopped.")
    ] = False
    timeout: Annotated[
        int, cappa.Arg(long="--timeout", help="Bound on the wait in seconds.")
    ] = DEFAULT_TIMEOUT_S
    output: Output = "text"

    def __call__(self) -> None:
        """Drain the host; with ``--wait``, exit with 1 unless it stops in time."""
        run_command(self._drain)

    async def _drain(self) -> None:
        await fetch_json(make_url(self.host, "/v1/drain"), "POST")
        if self.wait:
            await self._wait()
        if self.output == "json":
            print(json.dumps({"host": self.host, "stopped": self.wait}))
        else:
            print(f"{self.host}: {'stopped' if self.wait else 'stopping'}")

    async def _wait(self) -> None:
        end = reactor.seconds() + self.timeout
        while reactor.seconds() < end:
            try:
                status = await fetch_json(make_url(self.host, "/v1/status"))
            except UserError:
                return
            print(f"{self.host}: {status['running']} running", file=sys.stderr)
            await deferLater(reactor, POLL_INTERVAL_S)
        raise UserError(f"{self.host}: not stopped within {self.timeout} s")

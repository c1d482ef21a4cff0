"""``almondgap histogram``: latency per client account, over one or more hosts."""

from __future__ import annotations

import json

import cappa
from attrs import define

from almondgap_cli.options import Hosts, Output
from almondgap_cli.running import run_command
from almondgap_cli.web import fetch_json, make_url
from almondgap_daemon.metrics import merge_histograms, summarize


@cappa.command(name="histogram", help="Show latency per client account.")
@define
class Histogram:
    """Arguments of the command."""

    hosts: Hosts
    output: Output = "text"

    def __call__(self) -> None:
        """Print percentiles in milliseconds, merged over the hosts."""
        run_command(self._show)

    async def _show(self) -> None:
        answers = []
        for host in self.hosts:
            answers.append(await fetch_json(make_url(host, "/v1/histograms")))
        merged = merge_histograms([answer["encoded"] for answer in answers])
        summary = {name: summarize(merged[name]) for name in sorted(merged)}
        if self.output == "json":
            print(json.dumps(summary))
            return
        for name, values in summary.items():
            cells = " ".join(f"{key}={value:g}" for key, value in values.items())
            print(f"{name}: {cells}")

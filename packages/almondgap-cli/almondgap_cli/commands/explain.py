"""``almondgap explain``: show the timeline of a request from the logs of hosts."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import cappa
from attrs import define

from almondgap_cli.stories import RequestTimeline


@cappa.command(name="explain", help="Show the timeline of a request from hosts' logs.")
@define
class Explain:
    """Arguments of the command."""

    request: Annotated[str, cappa.Arg(help="Id of the request, as its caller sent it.")]
    logs: Annotated[list[Path], cappa.Arg(help="Log files of hosts.", num_args=-1)]

    def __call__(self) -> None:
        """Print the request's log lines by time; exit with 1 if there are none."""
        timeline = RequestTimeline.from_lines(self.request, read_files(self.logs))
        for line in timeline.describe():
            print(line)
        if not timeline.lines:
            raise cappa.Exit(code=1)


def read_files(paths: list[Path]) -> Iterator[str]:
    """Yield the lines of log files; exit with 1 if one cannot be read."""
    for path in paths:
        try:
            with open(path, errors="replace") as log:
                yield from log
        except OSError as exc:
            raise cappa.Exit(f"{path}: {exc}", code=1) from exc

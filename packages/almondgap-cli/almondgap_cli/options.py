"""Options that several commands share."""

from __future__ import annotations

from typing import Annotated, Literal

import cappa

OutputFormat = Literal["text", "json"]

Platform = Annotated[
    str,
    cappa.Arg(
        long="--platform",
        default=cappa.Env("ALMONDGAP_PLATFORM"),
        help="Address and port of the platform, or the path of its folder.",
    ),
]

Output = Annotated[OutputFormat, cappa.Arg(long="--output", help="Output format.")]

Hosts = Annotated[
    list[str], cappa.Arg(help="Operators' addresses and ports.", num_args=-1)
]

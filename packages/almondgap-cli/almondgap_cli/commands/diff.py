"""``almondgap diff``: compare configurations field by field."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any

import cappa
from attrs import asdict, define, frozen

from almondgap_cli.configuration import open_platform, read_body, read_head
from almondgap_cli.files import read_inventory
from almondgap_cli.options import Output, Platform
from almondgap_cli.running import run_command
from almondgap_core.settings.parsing import parse_document

#: Sentinel for an absent field.
MISSING: Any = object()


@frozen
class Difference:
    """A field that differs between two documents.

    :ivar kind: ``added``, ``removed`` or ``changed``.
    :ivar path: dotted path from the root; list entries are identified by name or id.
    :ivar before: value before, None if added.
    :ivar after: value after, None if removed.
    """

    kind: str
    path: str
    before: Any
    after: Any

    @classmethod
    def from_values(cls, path: str, before: Any, after: Any) -> Difference:
        """Return the difference between two values, one of which may be MISSING."""
        if before is MISSING:
            return cls("added", path, None, after)
        if after is MISSING:
            return cls("removed", path, before, None)
        return cls("changed", path, before, after)

    def __str__(self) -> str:
        before, after = json.dumps(self.before), json.dumps(self.after)
        if self.kind == "added":
            return f"+ {self.path}: {after}"
        if self.kind == "removed":
            return f"- {self.path}: {before}"
        return f"~ {self.path}: {before} -> {after}"


@cappa.command(name="diff", help="Compare a file or a version with another version.")
@define
class Diff:
    """Arguments of the command."""

    platform: Platform
    file: Annotated[Path | None, cappa.Arg(help="Inventory file.")] = None
    before: Annotated[
        int | None,
        cappa.Arg(long="--from", help="Base version; default: the current one."),
    ] = None
    after: Annotated[
        int | None,
        cappa.Arg(long="--to", help="Version to compare, instead of a file."),
    ] = None
    output: Output = "text"

    def __call__(self) -> None:
        """Print each field that differs; exit with 2 if there is any."""
        run_command(self._compare)

    async def _compare(self) -> int:
        platform = open_platform(self.platform)
        current = (await read_head(platform)).version
        before = await _read_version(platform, self.before or current)
        if self.file is not None:
            text = read_inventory(self.file).text
            after = parse_document(text, str(self.file))
        else:
            after = await _read_version(platform, self.after or current)
        differences = list(compare(before, after))
        if self.output == "json":
            print(json.dumps([asdict(entry) for entry in differences]))
        else:
            for entry in differences:
                print(entry)
        return 2 if differences else 0


def compare(before: Any, after: Any, path: str = "") -> Iterator[Difference]:
    """Yield the differences between two documents."""
    if before == after:
        return
    found = list(_compare_parts(before, after, path))
    yield from found or [Difference.from_values(path, before, after)]


def _compare_parts(before: Any, after: Any, path: str) -> Iterator[Difference]:
    before_parts, after_parts = _split(before), _split(after)
    if before_parts is None or after_parts is None:
        return
    for name in dict.fromkeys([*before_parts, *after_parts]):
        inner = f"{path}.{name}" if path else name
        one, other = before_parts.get(name, MISSING), after_parts.get(name, MISSING)
        yield from compare(one, other, inner)


def _split(node: Any) -> dict[str, Any] | None:
    """Return the parts of an object, or of a list whose entries have names."""
    if isinstance(node, dict):
        return node
    if not isinstance(node, list):
        return None
    named = {}
    for entry in node:
        name = isinstance(entry, dict) and (entry.get("name") or entry.get("id"))
        if not isinstance(name, str) or name in named:
            return None
        named[name] = entry
    return named


async def _read_version(platform, version: int) -> Any:
    if version == 0:
        return {}
    body = await read_body(platform, version)
    return parse_document(body.decode(), f"version {version}")

"""``almondgap replay``: replay an event log through a host's reducer."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import attrs
import cappa
from attrs import define

from almondgap_core.eventlog import EventLog
from almondgap_core.exceptions import UserError
from almondgap_core.reducer import step
from almondgap_core.state import HostState

#: Length in characters to which printed values are cut.
MAX_VALUE_LENGTH = 120

#: State fields that change in every step and carry no information for the reader.
IGNORED_FIELDS = frozenset({"pending", "effects", "seed"})


@cappa.command(name="replay", help="Replay an event log through a host's reducer.")
@define
class Replay:
    """Arguments of the command."""

    log: Annotated[Path, cappa.Arg(help="Event log that a scenario wrote.")]
    quiet: Annotated[
        bool,
        cappa.Arg(
            long="--changes-only", help="Hide events without effects or state changes."
        ),
    ] = False

    def __call__(self) -> None:
        """Print every event with its effects and state changes."""
        try:
            lines = self.log.read_text().splitlines()
            log = EventLog.from_lines(lines, str(self.log))
        except (OSError, UserError) as exc:
            raise cappa.Exit(str(exc), code=1) from exc
        for line in describe_run(log, self.quiet):
            print(line)


def describe_run(log: EventLog, quiet: bool = False) -> Iterator[str]:
    """Yield lines that describe the effects and state changes of each event."""
    state = log.make_state()
    yield f"{log.host} in {log.failure_domain}, incarnation {log.incarnation}"
    before = _flatten(state)
    for number, event in enumerate(log.events, start=1):
        effects = step(state, event)
        after = _flatten(state)
        changes = list(_compare(before, after))
        before = after
        if quiet and not changes and not effects:
            continue
        yield f"{number} {event.now / 1e6:.6f} {type(event).__name__}"
        for effect in effects:
            yield f"    -> {str(effect)[:MAX_VALUE_LENGTH]}"
        yield from changes


def _flatten(state: HostState) -> dict[str, str]:
    flat: dict[str, str] = {}
    for field in attrs.fields(HostState):
        if field.name in IGNORED_FIELDS:
            continue
        value = getattr(state, field.name)
        if not attrs.has(type(value)):
            flat[field.name] = repr(value)
            continue
        for inner in attrs.fields(type(value)):
            flat[f"{field.name}.{inner.name}"] = repr(getattr(value, inner.name))
    return flat


def _compare(before: dict[str, str], after: dict[str, str]) -> Iterator[str]:
    for name, value in after.items():
        if before.get(name) != value:
            yield f"    {name}: {_describe_change(before.get(name, ''), value)}"


def _describe_change(old: str, new: str) -> str:
    """Return both values, cut to the part that differs when they are long."""
    if max(len(old), len(new)) <= MAX_VALUE_LENGTH:
        return f"{old} => {new}"
    start = next(
        (i for i, (a, b) in enumerate(zip(old, new, strict=False)) if a != b),
        min(len(old), len(new)),
    )
    start = max(start - 20, 0)
    return f"...{old[start : start + 60]}... => ...{new[start : start + 60]}..."

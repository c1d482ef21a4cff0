"""Event logs: the input of a host's reducer as lines of JSON, for replay.

The first line identifies the host and its run; every other line is one event. Replaying
the events of a log on a fresh state yields the same effects. Events and their values
are written by class and field name.
"""

from __future__ import annotations

import json
import typing
from collections.abc import Iterable, Iterator
from enum import Enum
from typing import Any

import attrs
from attrs import Factory, define

from almondgap_core import events
from almondgap_core.exceptions import UserError
from almondgap_core.messages import Message, decode, encode
from almondgap_core.state import HostState

_TYPE = "$type"
_BYTES = "$bytes"
_MESSAGE = "$message"


@define
class EventLog:
    """The events of one run of a host.

    :ivar seed: initial state of the pseudo-random number generator.
    """

    host: str
    failure_domain: str
    incarnation: int
    seed: int
    events: list[events.Event] = Factory(list)

    def make_state(self) -> HostState:
        """Return the initial state of the run."""
        return HostState(
            self.host, self.failure_domain, self.incarnation, seed=self.seed
        )

    def to_lines(self) -> Iterable[str]:
        """Yield the lines of the log."""
        head = {
            "host": self.host,
            "failure_domain": self.failure_domain,
            "incarnation": self.incarnation,
            "seed": self.seed,
        }
        yield json.dumps(head)
        for event in self.events:
            yield json.dumps(_dump(event))

    @classmethod
    def from_lines(cls, lines: Iterable[str], source: str) -> EventLog:
        """Parse a log.

        :param source: name of the file, for error messages.
        :raises UserError: a line cannot be parsed; the message gives its number.
        """
        log: EventLog | None = None
        classes = _collect_classes()
        for number, line in enumerate(lines, start=1):
            try:
                node = json.loads(line)
                if log is None:
                    log = cls(**node)
                else:
                    log.events.append(_load(node, classes))
            except (ValueError, TypeError, KeyError) as exc:
                raise UserError(f"{source}: line {number}: {exc!r}") from exc
        if log is None:
            raise UserError(f"{source}: the log is empty")
        return log


def _collect_classes() -> dict[str, type]:
    """Return the classes of all events and of their field values, by name."""
    classes: dict[str, type] = {}
    waiting: list[type] = [events.Event]
    while waiting:
        cls = waiting.pop()
        if classes.get(cls.__name__) is cls:
            continue
        classes[cls.__name__] = cls
        if issubclass(cls, events.Event):
            waiting.extend(cls.__subclasses__())
        if attrs.has(cls):
            hints = typing.get_type_hints(cls).values()
            waiting.extend(part for hint in hints for part in _list_parts(hint))
    return classes


def _list_parts(hint: Any) -> Iterator[type]:
    if isinstance(hint, type) and (attrs.has(hint) or issubclass(hint, Enum)):
        yield hint
    for inner in typing.get_args(hint):
        yield from _list_parts(inner)


def _dump(value: Any) -> Any:
    if isinstance(value, Message):
        return {_MESSAGE: encode(value).hex()}
    if isinstance(value, bytes):
        return {_BYTES: value.hex()}
    if isinstance(value, Enum):
        return {_TYPE: type(value).__name__, "value": value.value}
    if isinstance(value, tuple):
        return [_dump(item) for item in value]
    if attrs.has(type(value)):
        node = {_TYPE: type(value).__name__}
        for field in attrs.fields(type(value)):
            node[field.name] = _dump(getattr(value, field.name))
        return node
    return value


def _load(node: Any, classes: dict[str, type]) -> Any:
    if isinstance(node, list):
        return tuple(_load(item, classes) for item in node)
    if not isinstance(node, dict):
        return node
    if _MESSAGE in node:
        return decode(bytes.fromhex(node[_MESSAGE]))
    if _BYTES in node:
        return bytes.fromhex(node[_BYTES])
    cls = classes[node.pop(_TYPE)]
    if issubclass(cls, Enum):
        return cls(node["value"])
    return cls(**{name: _load(value, classes) for name, value in node.items()})

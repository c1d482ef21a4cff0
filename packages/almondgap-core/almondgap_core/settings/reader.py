"""Reading untyped documents into typed classes, with all faults collected at once."""

from __future__ import annotations

import difflib
import ipaddress
from collections.abc import Iterator
from typing import Any

from attrs import Factory, define, frozen

from almondgap_core.exceptions import ConfigurationError

#: Marks a field that has no default.
REQUIRED: Any = object()

MAX_PORT = 65_535


@frozen
class Fault:
    """One thing that is wrong in a document.

    :ivar path: where, as dotted names from the top of the document.
    :ivar found: what stands there.
    :ivar expected: what should stand there.
    """

    path: str
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: found {self.found}, expected {self.expected}"


@define
class Report:
    """Faults and warnings found in one document.

    :ivar source: name of the file or object.
    """

    source: str
    errors: list[Fault] = Factory(list)
    warnings: list[str] = Factory(list)

    def raise_errors(self) -> None:
        """Raise one error that lists every fault.

        :raises ConfigurationError: there is at least one fault.
        """
        if self.errors:
            lines = [f"{self.source}: {fault}" for fault in self.errors]
            raise ConfigurationError("\n".join(lines))


class Reader:
    """Reads the fields of one JSON object and reports what does not fit.

    A field that does not fit yields its default, so that reading goes on and finds the
    faults behind it.
    """

    def __init__(self, node: Any, path: str, report: Report) -> None:
        self.path = path
        self.report = report
        self._known: set[str] = set()
        if isinstance(node, dict):
            self._node = node
        else:
            self._node = {}
            self.fail(path or "document", node, "an object")

    def fail(self, path: str, found: Any, expected: str) -> None:
        """Report a fault."""
        self.report.errors.append(Fault(path, _describe(found), expected))

    def warn(self, name: str, text: str) -> None:
        """Report a warning about the field ``name``."""
        self.report.warnings.append(f"{self.join(name)}: {text}")

    def join(self, name: str) -> str:
        """Return the path of the field ``name``."""
        return f"{self.path}.{name}" if self.path else name

    def has(self, name: str) -> bool:
        """Return whether the field is given."""
        return name in self._node

    def text(self, name: str, default: Any = REQUIRED, choices: Any = None) -> str:
        """Return a string that is not empty."""
        value = self._take(name, default)
        if value is default:
            return "" if default is REQUIRED else default
        if not isinstance(value, str) or not value:
            return self._reject(name, value, "a string that is not empty", default, "")
        if choices is not None and value not in choices:
            expected = "one of " + ", ".join(choices)
            return self._reject(name, value, expected, default, "")
        return value

    def integer(
        self, name: str, default: Any = REQUIRED, low: int = 0, high: int | None = None
    ) -> int:
        """Return an integer between two bounds, both included."""
        value = self._take(name, default)
        if value is default:
            return low if default is REQUIRED else default
        valid = isinstance(value, int) and not isinstance(value, bool)
        if not valid or value < low or (high is not None and value > high):
            return self._reject(
                name, value, _range("an integer", low, high), default, low
            )
        return value

    def number(
        self,
        name: str,
        default: Any = REQUIRED,
        low: float = 0,
        high: float | None = None,
    ) -> float:
        """Return a number between two bounds, both included."""
        value = self._take(name, default)
        if value is default:
            return low if default is REQUIRED else default
        valid = isinstance(value, int | float) and not isinstance(value, bool)
        if not valid or value < low or (high is not None and value > high):
            return self._reject(
                name, value, _range("a number", low, high), default, low
            )
        return value

    def boolean(self, name: str, default: Any = REQUIRED) -> bool:
        """Return true or false."""
        value = self._take(name, default)
        if value is default:
            return False if default is REQUIRED else default
        if not isinstance(value, bool):
            return self._reject(name, value, "true or false", default, False)
        return value

    def address(self, name: str, default: Any = REQUIRED) -> str:
        """Return an IP number as text."""
        value = self.text(name, default)
        if value in ("", default):
            return value
        try:
            return str(ipaddress.ip_address(value))
        except ValueError:
            self.fail(self.join(name), value, "an IP number")
            return value

    def port(self, name: str, default: Any = REQUIRED) -> int:
        """Return a TCP or UDP port."""
        return self.integer(name, default, low=1, high=MAX_PORT)

    def texts(self, name: str, default: Any = REQUIRED) -> tuple[str, ...]:
        """Return a tuple of strings."""
        value = self._take(name, default)
        if value is default:
            return () if default is REQUIRED else default
        if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
            return self._reject(name, value, "a list of strings", default, ())
        return tuple(value)

    def section(self, name: str) -> Reader:
        """Return a reader of a nested object; a missing one reads as empty."""
        value = self._take(name, None)
        return Reader({} if value is None else value, self.join(name), self.report)

    def sections(
        self, name: str, required: bool = True
    ) -> Iterator[tuple[str, Reader]]:
        """Yield the name and a reader for each entry of an object of objects."""
        value = self._take(name, REQUIRED if required else None)
        if value is None or value is REQUIRED:
            return
        if not isinstance(value, dict):
            self.fail(self.join(name), value, "an object of objects")
            return
        for key, node in value.items():
            yield key, Reader(node, f"{self.join(name)}.{key}", self.report)

    def items(self, name: str, required: bool = False) -> Iterator[Reader]:
        """Yield a reader for each entry of a list of objects."""
        value = self._take(name, REQUIRED if required else None)
        if value is None or value is REQUIRED:
            return
        if not isinstance(value, list):
            self.fail(self.join(name), value, "a list of objects")
            return
        for index, node in enumerate(value):
            yield Reader(node, f"{self.join(name)}[{index}]", self.report)

    def finish(self) -> None:
        """Report every field that no call asked for, with the nearest known name."""
        for name in self._node:
            if name in self._known:
                continue
            nearest = difflib.get_close_matches(name, self._known, n=1)
            known = ", ".join(sorted(self._known))
            expected = f"{nearest[0]!r}" if nearest else f"one of {known}"
            self.fail(self.join(name), f"unknown field {name!r}", expected)

    def _take(self, name: str, default: Any) -> Any:
        self._known.add(name)
        if name in self._node:
            return self._node[name]
        if default is REQUIRED:
            self.report.errors.append(Fault(self.join(name), "nothing", "a value"))
        return default

    def _reject(
        self, name: str, value: Any, expected: str, default: Any, fallback: Any
    ) -> Any:
        self.fail(self.join(name), value, expected)
        return fallback if default is REQUIRED else default


def _describe(value: Any) -> str:
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "a list"
    text = value if isinstance(value, str) else repr(value)
    return repr(text[:60]) if isinstance(value, str) and " " not in text else text[:60]


def _range(what: str, low: float, high: float | None) -> str:
    if high is None:
        return f"{what} of at least {low}"
    return f"{what} from {low} to {high}"

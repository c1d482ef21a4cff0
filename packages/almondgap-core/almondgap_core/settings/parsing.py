"""Parser for JSON documents with comments (JSON5), with positions in errors."""

from __future__ import annotations

import re
from typing import Any

import pyjson5

from almondgap_core.exceptions import ConfigurationError


def parse_document(text: str, source: str) -> Any:
    """Parse a JSON document with comments.

    :param source: name of the file, for error messages.
    :raises ConfigurationError: the text is malformed; gives line and column if known.
    """
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5Exception as exc:
        position = _format_position(text, exc)
        raise ConfigurationError(f"{source}{position}: {_describe(exc)}") from exc


def _format_position(text: str, exc: Exception) -> str:
    offset = getattr(exc, "character", None)
    position = next((arg for arg in exc.args[1:2] if isinstance(arg, int)), offset)
    if not isinstance(position, int):
        match = re.search(r"near (\d+)", str(exc))
        if match is None:
            return ""
        position = int(match.group(1))
    before = text[: max(position - 1, 0)]
    line = before.count("\n") + 1
    column = len(before) - (before.rfind("\n") + 1) + 1
    return f": line {line}, column {column}"


def _describe(exc: Exception) -> str:
    """Return the parser's message without the value parsed so far."""
    return str(exc.args[0]) if exc.args else str(exc)

"""Edits of an inventory's text that preserve its comments and layout."""

from __future__ import annotations

import json
import re

from attrs import define

from almondgap_core.exceptions import ConfigurationError
from almondgap_core.settings.parsing import parse_document

_SPACE = re.compile(r"(?:\s|//[^\n]*|/\*.*?\*/)*", re.DOTALL)
_STRING = re.compile(r'"(?:[^"\\]|\\.)*"|' + r"'(?:[^'\\]|\\.)*'", re.DOTALL)
_WORD = re.compile(r"[^\s,:{}\[\]/]+")


def add_key(text: str, account: str, key_id: str, digest: str) -> str:
    """Return an inventory's text with a key added to a client account.

    :raises ConfigurationError: no such client account, or it has no list
        of keys.
    """
    scanner = _Scanner(text)
    keys = scanner.find_member(scanner.find_account(account), "keys")
    if keys is None:
        raise ConfigurationError(f"accounts.{account}: has no list of keys")
    items = scanner.find_items(keys)
    entry = json.dumps({"id": key_id, "digest": digest})
    if items:
        pos = items[-1].end
        edited = f"{text[:pos]},\n        {entry}{text[pos:]}"
    else:
        pos = keys.start + 1
        edited = f"{text[:pos]}{entry}{text[pos:]}"

    def change(document) -> None:
        document["accounts"][account]["keys"].append(json.loads(entry))

    return _verify(text, edited, change)


def remove_key(text: str, key_id: str) -> str:
    """Return an inventory's text with a key removed.

    :raises ConfigurationError: no such key.
    """
    document = parse_document(text, "inventory")
    for account, node in document.get("accounts", {}).items():
        for index, entry in enumerate(node["keys"]):
            if entry["id"] == key_id:
                return _remove_item(text, account, index)
    raise ConfigurationError(f"there is no key {key_id!r}")


def find_key_account(text: str, key_id: str) -> str:
    """Return the client account that a key belongs to.

    :raises ConfigurationError: no such key.
    """
    document = parse_document(text, "inventory")
    for account, node in document.get("accounts", {}).items():
        if any(entry["id"] == key_id for entry in node["keys"]):
            return account
    raise ConfigurationError(f"there is no key {key_id!r}")


def _remove_item(text: str, account: str, index: int) -> str:
    scanner = _Scanner(text)
    keys = scanner.find_member(scanner.find_account(account), "keys")
    items = scanner.find_items(keys)
    start, end = items[index].start, items[index].end
    if index + 1 < len(items):
        end = items[index + 1].start
    elif index:
        start = items[index - 1].end
    edited = text[:start] + text[end:]

    def change(document) -> None:
        del document["accounts"][account]["keys"][index]

    return _verify(text, edited, change)


def _verify(text: str, edited: str, change) -> str:
    """Return the edited text after checking that it parses to the intended document."""
    wanted = parse_document(text, "inventory")
    change(wanted)
    if parse_document(edited, "edited inventory") != wanted:
        raise ConfigurationError(
            "the inventory's text could not be edited automatically; edit the file"
        )
    return edited


@define
class _Span:
    """Start and end offset of a value in the text."""

    start: int
    end: int


@define
class _Scanner:
    """Locates values in JSON text with comments."""

    text: str

    def find_account(self, name: str) -> _Span:
        start = self._skip_space(0)
        accounts = self.find_member(_Span(start, len(self.text)), "accounts")
        account = accounts and self.find_member(accounts, name)
        if account is None:
            raise ConfigurationError(f"there is no client account {name!r}")
        return account

    def find_member(self, parent: _Span, name: str) -> _Span | None:
        """Return the span of an object member's value, or None if there is none."""
        pos = self._skip_space(parent.start + 1)
        while self.text[pos] != "}":
            key_end = self._find_scalar_end(pos)
            key = self.text[pos:key_end].strip("\"'")
            start = self._skip_space(self._skip_space(key_end) + 1)
            end = self._find_end(start)
            if key == name:
                return _Span(start, end)
            pos = self._skip_comma(end)
        return None

    def find_items(self, parent: _Span) -> list[_Span]:
        """Return the spans of an array's items."""
        items = []
        pos = self._skip_space(parent.start + 1)
        while self.text[pos] != "]":
            end = self._find_end(pos)
            items.append(_Span(pos, end))
            pos = self._skip_comma(end)
        return items

    def _skip_space(self, pos: int) -> int:
        return _SPACE.match(self.text, pos).end()

    def _skip_comma(self, pos: int) -> int:
        pos = self._skip_space(pos)
        return self._skip_space(pos + 1) if self.text[pos] == "," else pos

    def _find_end(self, pos: int) -> int:
        if self.text[pos] not in "{[":
            return self._find_scalar_end(pos)
        close = {"{": "}", "[": "]"}[self.text[pos]]
        pos = self._skip_space(pos + 1)
        while self.text[pos] != close:
            if self.text[pos] in ",:":
                pos = self._skip_space(pos + 1)
            else:
                pos = self._skip_space(self._find_end(pos))
        return pos + 1

    def _find_scalar_end(self, pos: int) -> int:
        match = _STRING.match(self.text, pos) or _WORD.match(self.text, pos)
        if match is None:
            raise ConfigurationError(
                f"unexpected character in the inventory's text at offset {pos}"
            )
        return match.end()

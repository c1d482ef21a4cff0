"""Edits of an inventory's text that leave its comments and layout alone."""

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
    """Return an inventory's text in which an account has one key more.

    :raises ConfigurationError: there is no such account, or no place for the key.
    """
    scanner = _Scanner(text)
    keys = scanner.find_member(scanner.find_account(account), "keys")
    if keys is None:
        raise ConfigurationError(f"accounts.{account}: has no list of keys")
    items = scanner.list_items(keys)
    entry = json.dumps({"id": key_id, "digest": digest})
    if items:
        place = items[-1].end
        edited = f"{text[:place]},\n        {entry}{text[place:]}"
    else:
        place = keys.start + 1
        edited = f"{text[:place]}{entry}{text[place:]}"

    def change(document) -> None:
        document["accounts"][account]["keys"].append(json.loads(entry))

    return _check(text, edited, change)


def remove_key(text: str, key_id: str) -> str:
    """Return an inventory's text without a key.

    :raises ConfigurationError: there is no such key.
    """
    document = parse_document(text, "inventory")
    for account, node in document.get("accounts", {}).items():
        for index, entry in enumerate(node["keys"]):
            if entry["id"] == key_id:
                return _remove_item(text, account, index)
    raise ConfigurationError(f"there is no key {key_id!r}")


def find_key_account(text: str, key_id: str) -> str:
    """Return the account that a key belongs to.

    :raises ConfigurationError: there is no such key.
    """
    document = parse_document(text, "inventory")
    for account, node in document.get("accounts", {}).items():
        if any(entry["id"] == key_id for entry in node["keys"]):
            return account
    raise ConfigurationError(f"there is no key {key_id!r}")


def _remove_item(text: str, account: str, index: int) -> str:
    scanner = _Scanner(text)
    keys = scanner.find_member(scanner.find_account(account), "keys")
    items = scanner.list_items(keys)
    start, end = items[index].start, items[index].end
    if index + 1 < len(items):
        end = items[index + 1].start
    elif index:
        start = items[index - 1].end
    edited = text[:start] + text[end:]

    def change(document) -> None:
        del document["accounts"][account]["keys"][index]

    return _check(text, edited, change)


def _check(text: str, edited: str, change) -> str:
    """Return the edited text once it is shown to mean what was asked for."""
    wanted = parse_document(text, "inventory")
    change(wanted)
    if parse_document(edited, "edited inventory") != wanted:
        raise ConfigurationError("the inventory's text could not be edited; do it")
    return edited


@define
class _Span:
    """A value's place in the text."""

    start: int
    end: int


@define
class _Scanner:
    """Finds values in a text of JSON with comments."""

    text: str

    def find_account(self, name: str) -> _Span:
        start = self._skip(0)
        accounts = self.find_member(_Span(start, len(self.text)), "accounts")
        account = accounts and self.find_member(accounts, name)
        if account is None:
            raise ConfigurationError(f"there is no client account {name!r}")
        return account

    def find_member(self, parent: _Span, name: str) -> _Span | None:
        """Return the value of a member of an object."""
        place = self._skip(parent.start + 1)
        while self.text[place] != "}":
            key_end = self._end_of_scalar(place)
            key = self.text[place:key_end].strip("\"'")
            start = self._skip(self._skip(key_end) + 1)
            end = self._end_of(start)
            if key == name:
                return _Span(start, end)
            place = self._next(end)
        return None

    def list_items(self, parent: _Span) -> list[_Span]:
        """Return the items of an array."""
        items = []
        place = self._skip(parent.start + 1)
        while self.text[place] != "]":
            end = self._end_of(place)
            items.append(_Span(place, end))
            place = self._next(end)
        return items

    def _skip(self, place: int) -> int:
        return _SPACE.match(self.text, place).end()

    def _next(self, place: int) -> int:
        place = self._skip(place)
        return self._skip(place + 1) if self.text[place] == "," else place

    def _end_of(self, place: int) -> int:
        if self.text[place] not in "{[":
            return self._end_of_scalar(place)
        close = {"{": "}", "[": "]"}[self.text[place]]
        place = self._skip(place + 1)
        while self.text[place] != close:
            if self.text[place] in ",:":
                place = self._skip(place + 1)
            else:
                place = self._skip(self._end_of(place))
        return place + 1

    def _end_of_scalar(self, place: int) -> int:
        match = _STRING.match(self.text, place) or _WORD.match(self.text, place)
        if match is None:
            raise ConfigurationError(f"the inventory's text is odd at {place}")
        return match.end()

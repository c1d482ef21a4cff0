"""The head row: which configuration version is current, and who made it so."""

from __future__ import annotations

import json

from attrs import asdict, frozen

from almondgap_core.exceptions import ConfigurationError
from almondgap_core.platform import Check, RowKey, Transaction, Write

CONFIG_TABLE = "config"
HEAD = RowKey(CONFIG_TABLE, "head")

#: Start of the keys of rows that keep accepted changes.
HISTORY_PREFIX = "history/"


@frozen
class Head:
    """One accepted change of the configuration.

    :ivar version: configuration version, one greater than the last.
    :ivar body: name of the body in the object store.
    :ivar author: who made the change.
    :ivar time: when, as ISO 8601 text in UTC.
    :ivar note: why, in the author's words.
    """

    version: int
    body: str
    author: str
    time: str
    note: str

    @classmethod
    def from_text(cls, text: str) -> Head:
        """Return the head that a row holds.

        :raises ConfigurationError: the text is no head.
        """
        try:
            return cls(**json.loads(text))
        except (TypeError, ValueError) as exc:
            raise ConfigurationError(f"head row: {exc}") from exc

    def to_text(self) -> str:
        """Return the text for the row."""
        return json.dumps(asdict(self), sort_keys=True)


def make_history_key(version: int) -> str:
    """Return the key of the row that keeps one accepted change."""
    return f"{HISTORY_PREFIX}{version:010d}"


def plan_head_change(head: Head, row_version: int) -> Transaction:
    """Return the transaction that moves the head, if nobody moved it before.

    :param row_version: version of the head row that the change is based on.
    """
    text = head.to_text()
    history = make_history_key(head.version)
    return Transaction(
        checks=(Check(HEAD.table, HEAD.key, row_version),),
        writes=(
            Write(HEAD.table, HEAD.key, text),
            Write(CONFIG_TABLE, history, text),
        ),
        reads=(HEAD,),
    )

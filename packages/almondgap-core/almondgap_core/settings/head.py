"""The head row: names the current configuration version, its body and its author.

The head is changed by a transaction that fails if another operator was faster. The same
transaction adds a row to the history of changes.
"""

from __future__ import annotations

import json

from attrs import asdict, frozen

from almondgap_core.exceptions import ConfigurationError
from almondgap_core.platform import Check, RowKey, Transaction, Write

CONFIG_TABLE = "config"
HEAD = RowKey(CONFIG_TABLE, "head")

#: Prefix of the keys of history rows.
HISTORY_PREFIX = "history/"


@frozen
class Head:
    """One committed change of the configuration.

    :ivar version: configuration version, one greater than the previous one.
    :ivar body: name of the body in the object store.
    :ivar author: person who made the change.
    :ivar time: time of the change in UTC, in ISO 8601 format.
    :ivar note: reason given by the author.
    """

    version: int
    body: str
    author: str
    time: str
    note: str

    @classmethod
    def from_text(cls, text: str) -> Head:
        """Parse the value of a head or history row.

        :raises ConfigurationError: the value is malformed.
        """
        try:
            return cls(**json.loads(text))
        except (TypeError, ValueError) as exc:
            raise ConfigurationError(f"head row: {exc}") from exc

    def to_text(self) -> str:
        """Return the value for the row."""
        return json.dumps(asdict(self), sort_keys=True)


def make_history_key(version: int) -> str:
    """Return the key of the history row of a version."""
    return f"{HISTORY_PREFIX}{version:010d}"


def plan_head_change(head: Head, row_version: int) -> Transaction:
    """Return the transaction that updates the head row and the history.

    :param row_version: row version of the head that the change is based on; the
        transaction fails if the row has changed since.
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

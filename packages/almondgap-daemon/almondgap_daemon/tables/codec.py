"""JSON forms of the platform's data types."""

from __future__ import annotations

import json
from typing import Any

from attrs import asdict

from almondgap_core.events import HostEntry
from almondgap_core.exceptions import PlatformError
from almondgap_core.platform import (
    Check,
    Row,
    RowKey,
    Transaction,
    TransactionOutcome,
    TransactionResult,
    Write,
)


def dump_transaction(transaction: Transaction) -> bytes:
    """Return the JSON body of a transaction."""
    return json.dumps(asdict(transaction)).encode()


def load_transaction(data: bytes) -> Transaction:
    """Return the transaction in a JSON body.

    :raises PlatformError: the body is malformed.
    """
    try:
        document = json.loads(data)
        return Transaction(
            checks=tuple(Check(**entry) for entry in document["checks"]),
            writes=tuple(Write(**entry) for entry in document["writes"]),
            reads=tuple(RowKey(**entry) for entry in document["reads"]),
        )
    except (ValueError, TypeError, KeyError) as exc:
        raise PlatformError(f"not a transaction: {exc}") from exc


def dump_result(result: TransactionResult) -> bytes:
    """Return the JSON body of a transaction's result."""
    rows = [asdict(row) for row in result.rows]
    return json.dumps({"outcome": result.outcome.value, "rows": rows}).encode()


def load_result(data: bytes) -> TransactionResult:
    """Return the transaction's result in a JSON body.

    :raises PlatformError: the body is malformed.
    """
    try:
        document = json.loads(data)
        outcome = TransactionOutcome(document["outcome"])
        return TransactionResult(outcome, load_rows(document["rows"]))
    except (ValueError, TypeError, KeyError) as exc:
        raise PlatformError(f"not a result: {exc}") from exc


def load_rows(items: list[dict[str, Any]]) -> tuple[Row, ...]:
    """Return rows from their JSON form."""
    return tuple(Row(**item) for item in items)


def load_hosts(data: bytes) -> tuple[HostEntry, ...]:
    """Return the list of hosts in a JSON body.

    :raises PlatformError: the body is malformed.
    """
    try:
        return tuple(HostEntry(**item) for item in json.loads(data))
    except (ValueError, TypeError) as exc:
        raise PlatformError(f"not a list of hosts: {exc}") from exc

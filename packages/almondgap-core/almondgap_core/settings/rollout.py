"""Rollout: a host reads the head, and puts only greater versions in force."""

from __future__ import annotations

from almondgap_core.effects import FetchBody, LogEntry, Transact
from almondgap_core.events import BodyFetched, Tick, TransactionEnded
from almondgap_core.exceptions import ConfigurationError
from almondgap_core.keys.trust import confirm
from almondgap_core.platform import (
    Transaction,
    TransactionOutcome,
    compute_object_name,
)
from almondgap_core.settings.head import HEAD, Head
from almondgap_core.settings.inventory import Inventory
from almondgap_core.settings.parsing import parse_document
from almondgap_core.settings.reader import Report
from almondgap_core.settings.state import HeadRead
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_SECOND

#: Time between two reads of the head row, before jitter.
HEAD_INTERVAL_US = 2 * MICROS_PER_SECOND

#: Most that jitter adds to the time between two reads.
HEAD_JITTER_US = MICROS_PER_SECOND // 2

#: Time after which a read that brought no answer is forgotten.
HEAD_READ_TIMEOUT_US = 5 * MICROS_PER_SECOND

TICKET = "rollout"

#: Stands in a text for bytes that were no text.
UNREADABLE = "\ufffd"


def handle_tick(state: HostState, event: Tick) -> None:
    """Read the head row when it is time."""
    settings = state.settings
    head_read = settings.head_read
    if event.now < settings.next_head_read:
        return
    if head_read is not None and event.now < head_read.sent_at + HEAD_READ_TIMEOUT_US:
        return
    jitter = state.draw(HEAD_JITTER_US)
    settings.next_head_read = event.now + HEAD_INTERVAL_US + jitter
    settings.head_reads += 1
    settings.head_read = HeadRead(settings.head_reads, event.now)
    ticket = f"{TICKET}:{settings.head_reads}"
    state.perform(Transact(ticket, Transaction(reads=(HEAD,))))


def handle_transaction_ended(state: HostState, event: TransactionEnded) -> None:
    """Fetch the body if the head names a greater version."""
    head_read = state.settings.head_read
    if head_read is None or event.ticket != f"{TICKET}:{head_read.number}":
        return
    state.settings.head_read = None
    if event.result.outcome is not TransactionOutcome.COMMITTED:
        return
    state.settings.last_contact = head_read.sent_at
    head = _parse_head(state, event.result.rows[0].value)
    if head is None:
        confirm(state, head_read.sent_at)
        return
    if head.version == state.settings.examined_version:
        confirm(state, head_read.sent_at)
    elif head.version > state.settings.examined_version:
        head_read.version = head.version
        head_read.name = head.body
        state.settings.head_read = head_read
        state.perform(FetchBody(head.version, head.body))


def handle_body_fetched(state: HostState, event: BodyFetched) -> None:
    """Put the body that the head names in force."""
    head_read = state.settings.head_read
    if head_read is None or not head_read.version or head_read.version != event.version:
        return
    state.settings.head_read = None
    if event.text is None:
        return
    if apply_body(state, event.version, head_read.name, event.text.encode()):
        confirm(state, head_read.sent_at)


def apply_body(state: HostState, version: int, name: str, body: bytes) -> bool:
    """Put a greater version in force; keep the old one if it cannot be used.

    :param name: name of the body, which has to be its digest.
    :return: whether the body was read whole and is the newest known now.
    """
    settings = state.settings
    if version <= settings.examined_version:
        return False
    text = body.decode(errors="replace")
    readable = UNREADABLE not in text
    if readable and compute_object_name(body) != name:
        _reject(state, version, f"the body is not the one named {name[:16]}")
        return False
    settings.examined_version = version
    settings.withdrawn_keys = frozenset()
    try:
        inventory = load_inventory(text, f"configuration {version}")
    except ConfigurationError as exc:
        settings.rejected = str(exc)
        settings.withdrawn_keys = _find_withdrawn_keys(settings.inventory, text)
        _reject(state, version, str(exc))
        return True
    settings.version = version
    settings.rejected = ""
    settings.inventory = inventory
    settings.body = body
    settings.body_name = name
    state.members.next_heartbeat = 0
    state.perform(LogEntry("configuration in force", (("version", version),)))
    return True


def load_inventory(text: str, source: str) -> Inventory:
    """Return the inventory in ``text``.

    :raises ConfigurationError: lists every fault.
    """
    report = Report(source)
    inventory = Inventory.from_document(parse_document(text, source), report)
    report.raise_errors()
    return inventory


def _parse_head(state: HostState, value: str | None) -> Head | None:
    if value is None:
        return None
    try:
        return Head.from_text(value)
    except ConfigurationError as exc:
        state.perform(LogEntry("head row rejected", (("error", str(exc)),)))
        return None


def _reject(state: HostState, version: int, error: str) -> None:
    fields = (("version", version), ("error", error))
    state.perform(LogEntry("configuration rejected", fields))


def _find_withdrawn_keys(inventory: Inventory | None, text: str) -> frozenset[str]:
    """Return the keys that a rejected body withdraws.

    Only an account that the body still has counts: a body without accounts is a
    broken one, and says nothing about keys.
    """
    if inventory is None:
        return frozenset()
    report = Report("rejected")
    try:
        newer = Inventory.from_document(parse_document(text, "rejected"), report)
    except ConfigurationError:
        return frozenset()
    return frozenset(
        key_id
        for key_id, entry in inventory.keys.items()
        if entry.account in newer.accounts and newer.keys.get(key_id) != entry
    )


EVENT_HANDLERS = {
    Tick: handle_tick,
    TransactionEnded: handle_transaction_ended,
    BodyFetched: handle_body_fetched,
}

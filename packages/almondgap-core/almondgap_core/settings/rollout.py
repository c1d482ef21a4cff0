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
from almondgap_core.settings.state import Reading
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_SECOND

#: Time between two reads of the head row, before jitter.
HEAD_INTERVAL_US = 2 * MICROS_PER_SECOND

#: Most that jitter adds to the time between two reads.
HEAD_JITTER_US = MICROS_PER_SECOND // 2

#: Time after which a read that brought no answer is forgotten.
READ_LIMIT_US = 5 * MICROS_PER_SECOND

TICKET = "rollout"

#: Stands in a text for bytes that were no text.
UNREADABLE = "\ufffd"


def handle_tick(state: HostState, event: Tick) -> None:
    """Read the head row when it is time."""
    settings = state.settings
    reading = settings.reading
    if event.now < settings.next_head_read:
        return
    if reading is not None and event.now < reading.sent + READ_LIMIT_US:
        return
    jitter = state.draw(HEAD_JITTER_US)
    settings.next_head_read = event.now + HEAD_INTERVAL_US + jitter
    settings.reads += 1
    settings.reading = Reading(settings.reads, event.now)
    ticket = f"{TICKET}:{settings.reads}"
    state.perform(Transact(ticket, Transaction(reads=(HEAD,))))


def handle_transaction_ended(state: HostState, event: TransactionEnded) -> None:
    """Fetch the body if the head names a greater version."""
    reading = state.settings.reading
    if reading is None or event.ticket != f"{TICKET}:{reading.number}":
        return
    state.settings.reading = None
    if event.result.outcome is not TransactionOutcome.COMMITTED:
        return
    state.settings.contact = reading.sent
    head = _parse_head(state, event.result.rows[0].value)
    if head is None:
        confirm(state, reading.sent)
        return
    if head.version == state.settings.examined:
        confirm(state, reading.sent)
    elif head.version > state.settings.examined:
        reading.version = head.version
        reading.name = head.body
        state.settings.reading = reading
        state.perform(FetchBody(head.version, head.body))


def handle_body_fetched(state: HostState, event: BodyFetched) -> None:
    """Put the body that the head names in force."""
    reading = state.settings.reading
    if reading is None or not reading.version or reading.version != event.version:
        return
    state.settings.reading = None
    if event.text is None:
        return
    if adopt_body(state, event.version, reading.name, event.text.encode()):
        confirm(state, reading.sent)


def adopt_body(state: HostState, version: int, name: str, body: bytes) -> bool:
    """Put a greater version in force; keep the old one if it cannot be used.

    :param name: name of the body, which has to be its digest.
    :return: whether the body was read whole and is the newest known now.
    """
    settings = state.settings
    if version <= settings.examined:
        return False
    text = body.decode(errors="replace")
    readable = UNREADABLE not in text
    if readable and compute_object_name(body) != name:
        _reject(state, version, f"the body is not the one named {name[:16]}")
        return False
    settings.examined = version
    settings.withdrawn = frozenset()
    try:
        inventory = load_inventory(text, f"configuration {version}")
    except ConfigurationError as exc:
        settings.rejected = str(exc)
        settings.withdrawn = _find_withdrawn(settings.inventory, text)
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


def _find_withdrawn(inventory: Inventory | None, text: str) -> frozenset[str]:
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

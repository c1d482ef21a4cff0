"""Rollout: a host reads the head, and puts only greater versions in force."""

from __future__ import annotations

from almondgap_core.effects import FetchBody, LogEntry, Transact
from almondgap_core.events import BodyFetched, Tick, TransactionEnded
from almondgap_core.exceptions import ConfigurationError
from almondgap_core.platform import Transaction, TransactionOutcome
from almondgap_core.settings.head import HEAD, Head
from almondgap_core.settings.inventory import Inventory
from almondgap_core.settings.parsing import parse_document
from almondgap_core.settings.reader import Report
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_SECOND

#: Time between two reads of the head row, before jitter.
HEAD_INTERVAL_US = 2 * MICROS_PER_SECOND

#: Most that jitter adds to the time between two reads.
HEAD_JITTER_US = MICROS_PER_SECOND // 2

TICKET = "rollout"


def handle_tick(state: HostState, event: Tick) -> None:
    """Read the head row when it is time."""
    if event.now < state.settings.next_head_read:
        return
    jitter = state.draw(HEAD_JITTER_US)
    state.settings.next_head_read = event.now + HEAD_INTERVAL_US + jitter
    state.perform(Transact(TICKET, Transaction(reads=(HEAD,))))


def handle_transaction_ended(state: HostState, event: TransactionEnded) -> None:
    """Fetch the body if the head names a greater version."""
    if event.ticket != TICKET:
        return
    if event.result.outcome is not TransactionOutcome.COMMITTED:
        return
    value = event.result.rows[0].value
    if value is None:
        return
    head = Head.from_text(value)
    if head.version > max(state.settings.version, state.settings.fetching):
        state.settings.fetching = head.version
        state.perform(FetchBody(head.version, head.body))


def handle_body_fetched(state: HostState, event: BodyFetched) -> None:
    """Put a body in force; keep the old one if the new one cannot be used."""
    if event.version == state.settings.fetching:
        state.settings.fetching = 0
    if event.text is None or event.version <= state.settings.version:
        return
    try:
        inventory = load_inventory(event.text, f"configuration {event.version}")
    except ConfigurationError as exc:
        fields = (("version", event.version), ("error", str(exc)))
        state.perform(LogEntry("configuration rejected", fields))
        return
    state.settings.version = event.version
    state.settings.inventory = inventory
    state.perform(LogEntry("configuration in force", (("version", event.version),)))


def load_inventory(text: str, source: str) -> Inventory:
    """Return the inventory in ``text``.

    :raises ConfigurationError: lists every fault.
    """
    report = Report(source)
    inventory = Inventory.from_document(parse_document(text, source), report)
    report.raise_errors()
    return inventory


EVENT_HANDLERS = {
    Tick: handle_tick,
    TransactionEnded: handle_transaction_ended,
    BodyFetched: handle_body_fetched,
}

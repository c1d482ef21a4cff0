"""Trust: for how long a host without the store may authorize by its list of keys.

A key may have been withdrawn since the last contact with the store. Up to a bound a
host trusts its list, and collects evidence from other hosts that it is still current.
In an outage of the store for the whole fleet a longer bound applies.

Messages carry ages, not times. A host counts an age from when it sent the request, so
clocks need not agree, and a late response only makes the evidence older.
"""

from __future__ import annotations

from almondgap_core.effects import SendMessage
from almondgap_core.events import Tick
from almondgap_core.keys.credential import Credential
from almondgap_core.keys.messages import EvidenceRequest, EvidenceResponse
from almondgap_core.keys.state import PendingRequest, StoreReport
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_SECOND
from almondgap_core.verdict import Reason, Refusal, Verdict

#: Age of the evidence from which a host requests new evidence from others.
REQUEST_AFTER_US = 6 * MICROS_PER_SECOND

#: Interval between two rounds of requests.
REQUEST_INTERVAL_US = 2 * MICROS_PER_SECOND

#: Hosts of each failure domain that get a request per round.
HOSTS_PER_DOMAIN = 2

#: Time without contact after which a host counts as cut off from the store.
STORE_CONTACT_TIMEOUT_US = 8 * MICROS_PER_SECOND

#: Time for which a store report counts, from its request.
STORE_REPORT_TTL_US = 8 * MICROS_PER_SECOND


def check_keys(
    state: HostState, credential: Credential | None, now: int
) -> Refusal | None:
    """Return the refusal of a request's key, or None if it may be authorized."""
    if credential is None:
        return None
    if credential.key_id in state.settings.withdrawn_keys:
        detail = "The key is unknown or withdrawn."
        return Refusal(401, Reason.KEY_UNKNOWN, Verdict.NOT_RUN, detail)
    if may_trust(state, now):
        return None
    detail = "This host cannot tell whether keys were withdrawn lately."
    return Refusal(503, Reason.KEYS_STALE, Verdict.NOT_RUN, detail, REQUEST_INTERVAL_US)


def may_trust(state: HostState, now: int) -> bool:
    """Return whether this host may authorize requests by its list of keys."""
    confirmed = state.keys.confirmed
    if confirmed is None:
        return False
    rules = state.inventory.key_trust
    age = now - confirmed
    if age <= rules.bound:
        return True
    return age <= rules.outage_bound and _is_fleet_wide_outage(state, now)


def confirm(state: HostState, at: int) -> None:
    """Record that the configuration in force was the current one at time ``at``."""
    known = state.keys.confirmed
    state.keys.confirmed = at if known is None else max(known, at)


def handle_tick(state: HostState, event: Tick) -> None:
    """Request evidence from other hosts when this host's own is old."""
    keys = state.keys
    if state.inventory is None or event.now < keys.next_request:
        return
    keys.next_request = event.now + REQUEST_INTERVAL_US
    if keys.confirmed is not None and event.now - keys.confirmed < REQUEST_AFTER_US:
        return
    keys.number += 1
    for host in _choose_hosts(state):
        keys.pending[host] = PendingRequest(keys.number, event.now)
        state.perform(SendMessage(host, EvidenceRequest(keys.number)))


def handle_evidence_request(
    state: HostState, host: str, message: EvidenceRequest, now: int
):
    """Answer how current this host's configuration is."""
    answer = EvidenceResponse(
        message.number,
        state.settings.examined_version,
        _measure_age(state.keys.confirmed, now),
        _measure_age(state.settings.last_contact, now),
    )
    state.perform(SendMessage(host, answer))


def handle_evidence_response(
    state: HostState, host: str, message: EvidenceResponse, now: int
) -> None:
    """Record another host's evidence, dated to when it was requested."""
    request = state.keys.pending.get(host)
    entry = state.members.listed.get(host)
    if request is None or request.number != message.number or entry is None:
        return
    del state.keys.pending[host]
    if message.version == state.settings.examined_version and message.age >= 0:
        confirm(state, request.sent - message.age)
    has_store = 0 <= message.contact_age <= STORE_CONTACT_TIMEOUT_US
    state.keys.store_reports[host] = StoreReport(
        request.sent, entry.failure_domain, has_store, message.version
    )


def _is_fleet_wide_outage(state: HostState, now: int) -> bool:
    """Return whether the store is unreachable for all failure domains.

    Each other failure domain has to report that it has no store, except for the number
    of silent ones that the inventory allows.
    """
    contact = state.settings.last_contact
    if contact is not None and now - contact <= STORE_CONTACT_TIMEOUT_US:
        return False
    fresh = [
        report
        for report in state.keys.store_reports.values()
        if now - report.requested <= STORE_REPORT_TTL_US
    ]
    if not fresh or any(report.has_store for report in fresh):
        return False
    if any(report.version > state.settings.examined_version for report in fresh):
        return False
    others = _list_other_domains(state)
    silent = others - {report.failure_domain for report in fresh}
    return len(silent) <= state.inventory.key_trust.silent_domains


def _list_other_domains(state: HostState) -> set[str]:
    listed = state.members.listed.values()
    return {entry.failure_domain for entry in listed} - {state.failure_domain}


def _choose_hosts(state: HostState) -> list[str]:
    """Return hosts of each failure domain to send requests to, rotating per round."""
    groups: dict[str, list[str]] = {}
    for entry in state.members.listed.values():
        if entry.name != state.host:
            groups.setdefault(entry.failure_domain, []).append(entry.name)
    chosen = []
    for names in groups.values():
        names.sort()
        start = state.keys.number * HOSTS_PER_DOMAIN
        picked = {
            names[(start + offset) % len(names)] for offset in range(HOSTS_PER_DOMAIN)
        }
        chosen.extend(sorted(picked))
    return chosen


def _measure_age(at: int | None, now: int) -> int:
    return -1 if at is None else max(now - at, 0)


EVENT_HANDLERS = {Tick: handle_tick}
MESSAGE_HANDLERS = {
    EvidenceRequest: handle_evidence_request,
    EvidenceResponse: handle_evidence_response,
}

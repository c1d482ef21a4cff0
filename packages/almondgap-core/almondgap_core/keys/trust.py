"""Trust: for how long a host that cannot reach the store goes by its list of keys.

Ages travel, times do not: a host counts an answer's age from when it asked, so that no
two clocks have to agree and a late answer only makes evidence older.
"""

from __future__ import annotations

from almondgap_core.effects import SendMessage
from almondgap_core.events import Tick
from almondgap_core.keys.credential import Credential
from almondgap_core.keys.messages import EvidenceAnswer, EvidenceAsk
from almondgap_core.keys.state import Question, Testimony
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_SECOND
from almondgap_core.verdict import Reason, Refusal, Verdict

#: Age of the evidence from which a host asks others.
ASK_AFTER_US = 6 * MICROS_PER_SECOND

#: Time between two rounds of questions.
ASK_INTERVAL_US = 2 * MICROS_PER_SECOND

#: Hosts of each failure domain that are asked in one round.
ASKED_PER_DOMAIN = 2

#: Time without contact after which a host says that it has no store.
NO_STORE_US = 8 * MICROS_PER_SECOND

#: Time for which a testimony counts.
TESTIMONY_US = 8 * MICROS_PER_SECOND


def check_keys(
    state: HostState, credential: Credential | None, now: int
) -> Refusal | None:
    """Return why a request's key does not count now, or None if it may be judged."""
    if credential is None:
        return None
    if credential.key_id in state.settings.withdrawn_keys:
        detail = "The key is unknown or withdrawn."
        return Refusal(401, Reason.KEY_UNKNOWN, Verdict.NOT_RUN, detail)
    if may_trust(state, now):
        return None
    detail = "This host cannot tell whether keys were withdrawn lately."
    return Refusal(503, Reason.KEYS_STALE, Verdict.NOT_RUN, detail, ASK_INTERVAL_US)


def may_trust(state: HostState, now: int) -> bool:
    """Return whether this host may go by its list of keys."""
    confirmed = state.keys.confirmed
    if confirmed is None:
        return False
    rules = state.inventory.key_trust
    age = now - confirmed
    if age <= rules.bound:
        return True
    return age <= rules.outage_bound and _is_down_for_all(state, now)


def confirm(state: HostState, at: int) -> None:
    """Note that the configuration in force was the current one at ``at``."""
    known = state.keys.confirmed
    state.keys.confirmed = at if known is None else max(known, at)


def handle_tick(state: HostState, event: Tick) -> None:
    """Ask others when this host's own evidence grows old."""
    keys = state.keys
    if state.inventory is None or event.now < keys.next_question:
        return
    keys.next_question = event.now + ASK_INTERVAL_US
    if keys.confirmed is not None and event.now - keys.confirmed < ASK_AFTER_US:
        return
    keys.number += 1
    for host in _choose_asked(state):
        keys.questions[host] = Question(keys.number, event.now)
        state.perform(SendMessage(host, EvidenceAsk(keys.number)))


def handle_evidence_ask(state: HostState, host: str, message: EvidenceAsk, now: int):
    """Say how current this host's configuration is."""
    answer = EvidenceAnswer(
        message.number,
        state.settings.examined_version,
        _measure_age(state.keys.confirmed, now),
        _measure_age(state.settings.last_contact, now),
    )
    state.perform(SendMessage(host, answer))


def handle_evidence_answer(
    state: HostState, host: str, message: EvidenceAnswer, now: int
) -> None:
    """Take over what another host knows, as of when it was asked."""
    question = state.keys.questions.get(host)
    entry = state.members.listed.get(host)
    if question is None or question.number != message.number or entry is None:
        return
    del state.keys.questions[host]
    if message.version == state.settings.examined_version and message.age >= 0:
        confirm(state, question.sent - message.age)
    has_store = 0 <= message.contact_age <= NO_STORE_US
    state.keys.testimonies[host] = Testimony(
        question.sent, entry.failure_domain, has_store, message.version
    )


def _is_down_for_all(state: HostState, now: int) -> bool:
    """Return whether hosts everywhere say that they have no store either."""
    contact = state.settings.last_contact
    if contact is not None and now - contact <= NO_STORE_US:
        return False
    fresh = [
        testimony
        for testimony in state.keys.testimonies.values()
        if now - testimony.asked <= TESTIMONY_US
    ]
    if not fresh or any(t.has_store for t in fresh):
        return False
    if any(t.version > state.settings.examined_version for t in fresh):
        return False
    others = _list_other_domains(state)
    silent = others - {testimony.failure_domain for testimony in fresh}
    return len(silent) <= state.inventory.key_trust.silent_domains


def _list_other_domains(state: HostState) -> set[str]:
    listed = state.members.listed.values()
    return {entry.failure_domain for entry in listed} - {state.failure_domain}


def _choose_asked(state: HostState) -> list[str]:
    """Return a few hosts of each failure domain, others in each round."""
    groups: dict[str, list[str]] = {}
    for entry in state.members.listed.values():
        if entry.name != state.host:
            groups.setdefault(entry.failure_domain, []).append(entry.name)
    chosen = []
    for names in groups.values():
        names.sort()
        start = state.keys.number * ASKED_PER_DOMAIN
        picked = {
            names[(start + offset) % len(names)] for offset in range(ASKED_PER_DOMAIN)
        }
        chosen.extend(sorted(picked))
    return chosen


def _measure_age(at: int | None, now: int) -> int:
    return -1 if at is None else max(now - at, 0)


EVENT_HANDLERS = {Tick: handle_tick}
MESSAGE_HANDLERS = {
    EvidenceAsk: handle_evidence_ask,
    EvidenceAnswer: handle_evidence_answer,
}

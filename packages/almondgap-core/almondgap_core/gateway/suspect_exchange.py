"""Exchange of suspects between hosts: every host knows the crashes that any one saw.

News is sent to all hosts at once and repeated with heartbeats, since messages can be
lost. Hosts pass on what they heard, so that two hosts that cannot reach each other
learn it from a third one. Requests in quarantine are also saved in the store, since
all hosts may restart at once; while a host does not hear others, it saves what it
observes and reads what they saved after each crash that it sees.
"""

from __future__ import annotations

from almondgap_core.gateway.effects import SaveSuspect, SendSuspects
from almondgap_core.gateway.events import GatewayEvent, SuspectsReceived, Ticked
from almondgap_core.gateway.reports import RequestSuspected
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.suspects import Suspect, Suspects
from almondgap_core.units import seconds

#: Time for which suspects are remembered after they last came, and requests that were
#: cleared.
SUSPECT_TTL_US = seconds(3_600)
CLEARED_TTL_US = seconds(60)

#: Time for which news is repeated to peers with heartbeats.
NEWS_TTL_US = seconds(10)

MAX_SUSPECTS = 1_000
MAX_REPORTS_PER_MESSAGE = 50


def handle_suspects_received(state: GatewayState, event: SuspectsReceived) -> None:
    """Take over what another host knows about requests."""
    for report in event.suspects.reports:
        suspect = state.suspects.setdefault(report.fingerprint, Suspect())
        if suspect.merge(report):
            source = event.suspects.host
            record_change(state, report.fingerprint, suspect, source, event.now)
    _drop_excess(state)


def handle_tick(state: GatewayState, event: Ticked) -> None:
    """Tell peers which requests were cleared, and forget what is old."""
    now = event.now
    if state.cleared_suspects:
        publish_suspects(state, state.cleared_suspects)
        state.cleared_suspects = set()
    for fingerprint, suspect in list(state.suspects.items()):
        ttl = SUSPECT_TTL_US if suspect.count else CLEARED_TTL_US
        if now - max(suspect.changed_at, suspect.requested_at) > ttl:
            del state.suspects[fingerprint]


def publish_suspects(state: GatewayState, fingerprints: set[str]) -> None:
    """Tell all hosts at once what this one learned about requests."""
    _drop_excess(state)
    addresses = tuple(
        peer.location.peer_address for peer in state.peers.values() if not peer.departed
    )
    _send(state, fingerprints, addresses)


def send_suspects(state: GatewayState, addresses: tuple[str, ...], now: int) -> None:
    """Repeat recent news to other hosts, since messages can be lost."""
    news = {
        fingerprint
        for fingerprint, suspect in state.suspects.items()
        if now - suspect.changed_at < NEWS_TTL_US
    }
    _send(state, news, addresses)


def send_all_suspects(state: GatewayState, addresses: tuple[str, ...]) -> None:
    """Tell hosts that have just started or were silent all that is known."""
    _send(state, set(state.suspects), addresses)


def record_change(
    state: GatewayState, fingerprint: str, suspect: Suspect, source: str, now: int
) -> None:
    """Note when a request became more or less suspect, and log it.

    :param source: host that told this one, empty if it is this host itself.
    """
    suspect.changed_at = now
    state.report(
        RequestSuspected(
            fingerprint,
            suspect.count,
            suspect.quarantined,
            suspect.trials,
            source or state.location.host,
        )
    )
    is_new = suspect.quarantined or state.has_silent_peers
    if not source and (is_new or suspect.saved):
        save_suspect(state, fingerprint, suspect)
    suspect.saved = suspect.saved or suspect.quarantined


def save_suspect(state: GatewayState, fingerprint: str, suspect: Suspect) -> None:
    """Let a host that starts later read from the store what is known."""
    suspect.saved = True
    state.perform(SaveSuspect(suspect.make_report(fingerprint)))


def _drop_excess(state: GatewayState) -> None:
    """Forget the requests that crashed the fewest targets, the oldest first."""
    excess = len(state.suspects) - MAX_SUSPECTS
    if excess <= 0:
        return
    suspects = sorted(
        state.suspects,
        key=lambda name: (state.suspects[name].count, state.suspects[name].changed_at),
    )
    for fingerprint in suspects[:excess]:
        del state.suspects[fingerprint]


def _send(
    state: GatewayState, fingerprints: set[str], addresses: tuple[str, ...]
) -> None:
    known = [name for name in state.suspects if name in fingerprints]
    if not known or not addresses:
        return
    for start in range(0, len(known), MAX_REPORTS_PER_MESSAGE):
        reports = tuple(
            state.suspects[name].make_report(name)
            for name in known[start : start + MAX_REPORTS_PER_MESSAGE]
        )
        message = Suspects(state.location.host, reports)
        state.perform(SendSuspects(message, addresses))


EVENT_HANDLERS: dict[type[GatewayEvent], object] = {
    SuspectsReceived: handle_suspects_received,
    Ticked: handle_tick,
}

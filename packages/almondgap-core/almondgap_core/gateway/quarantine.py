"""Quarantine of requests that crash the targets which run them.

Handles a request that crashes each target that begins to run it and that comes again at
any host. A crash implicates all requests that were in progress at the target, most of
which only happened to be there: a request whose repetition is answered is cleared, and
one that crashes three targets without an answer in between is refused by all hosts.
Hosts tell each other at once what they observe. A refused request is tried again a few
times, by one host each time, since it may have been suspected wrongly.

A host whose own network fails loses its connections as well and cannot establish new
ones. A crash counts only if this host has reached another target since.
"""

from __future__ import annotations

from almondgap_core.gateway.call import Call
from almondgap_core.gateway.effects import CheckConnection, ReadSuspects
from almondgap_core.gateway.events import (
    ConnectionChecked,
    GatewayEvent,
    StoreRestored,
    Ticked,
)
from almondgap_core.gateway.fleet import list_live_peers
from almondgap_core.gateway.ranking import sort_hosts
from almondgap_core.gateway.reports import TargetCrashed
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.suspect_exchange import (
    publish_suspects,
    record_change,
    save_suspect,
)
from almondgap_core.gateway.suspects import (
    QUARANTINE_CRASHES,
    Crash,
    LostTarget,
    Suspect,
)
from almondgap_core.gateway.target import Target
from almondgap_core.units import MICROS_PER_SECOND, seconds
from almondgap_core.verdict import Reason, Refusal, Verdict

#: Crashes after which a request is retried no more, and after which each host sends it
#: only once at a time.
PROBATION_CRASHES = 2

#: Time without a crash after which a request in quarantine is tried again, for each
#: trial, and the additional delay of each further host in charge of it.
TRIAL_DELAYS_US = (seconds(15), seconds(60))
TURN_US = seconds(10)

#: Retry delay of callers when no trial is left.
FINAL_RETRY_AFTER_US = seconds(60)

#: Time for which a broken connection awaits the proof that its target crashed.
PROOF_TIMEOUT_US = seconds(2)


def suspect_call(state: GatewayState, call: Call, target: Target, now: int) -> None:
    """Find out whether the target that broke off a request has crashed."""
    if not call.fingerprint:
        return
    lost = state.lost_targets.get(target.name)
    if lost is None:
        crash = Crash(target.name, target.announcement.incarnation)
        lost = state.lost_targets[target.name] = LostTarget(crash, now)
        _check_lost_target(state, lost)
    lost.fingerprints[call.fingerprint] = None


def handle_connection_checked(state: GatewayState, event: ConnectionChecked) -> None:
    """Forget a broken connection unless its target has crashed."""
    now = event.now
    if event.accepted:
        state.lost_targets.pop(event.target, None)
    lost = state.lost_targets.get(event.target)
    if lost is not None:
        lost.checking = False
        lost.refused = lost.refused or event.accepted is False
    confirm_crashes(state, now)
    if lost is not None and event.target in state.lost_targets:
        _check_other_target(state)


def handle_tick(state: GatewayState, event: Ticked) -> None:
    """Look for the proof that targets crashed, and give up when it takes long."""
    for name, lost in list(state.lost_targets.items()):
        if event.now - lost.lost_at > PROOF_TIMEOUT_US:
            del state.lost_targets[name]
        elif not lost.refused and not lost.checking:
            # The check before got no answer, so packets may have been lost.
            _check_lost_target(state, lost)
    if any(lost.refused for lost in state.lost_targets.values()):
        _check_other_target(state)


def confirm_crashes(state: GatewayState, now: int) -> None:
    """Count the crashes of targets while this host reaches others."""
    confirmed = [
        lost
        for lost in state.lost_targets.values()
        if lost.refused
        and (state.last_contact_at > lost.lost_at or len(state.targets) == 1)
    ]
    changed: set[str] = set()
    for lost in confirmed:
        del state.lost_targets[lost.crash.target]
        state.report(TargetCrashed(lost.crash.target, len(lost.fingerprints)))
        for fingerprint in lost.fingerprints:
            suspect = state.suspects.setdefault(fingerprint, Suspect())
            if suspect.add(lost.crash):
                record_change(state, fingerprint, suspect, "", now)
                changed.add(fingerprint)
    if not changed:
        return
    publish_suspects(state, changed)
    if state.has_silent_peers:
        state.perform(ReadSuspects())


def clear_call(state: GatewayState, call: Call, now: int) -> None:
    """Clear a request that a target answered."""
    for lost in state.lost_targets.values():
        lost.fingerprints.pop(call.fingerprint, None)
    suspect = state.suspects.get(call.fingerprint)
    if suspect is not None and suspect.clear(tuple(suspect.crashes)):
        record_change(state, call.fingerprint, suspect, "", now)
        state.cleared_suspects.add(call.fingerprint)


def count_crashes(state: GatewayState, fingerprint: str) -> int:
    """Return the number of crashes, including those not confirmed yet."""
    if not state.suspects and not state.lost_targets:
        return 0
    suspect = state.suspects.get(fingerprint)
    count = suspect.count if suspect is not None else 0
    return count + sum(
        fingerprint in lost.fingerprints
        and not (suspect is not None and lost.crash in suspect.crashes)
        for lost in state.lost_targets.values()
    )


def may_retry_suspect(state: GatewayState, call: Call) -> bool:
    """Return whether a request may be sent again in place of its caller."""
    return count_crashes(state, call.fingerprint) < PROBATION_CRASHES


def check_quarantine(state: GatewayState, call: Call, now: int) -> Refusal | None:
    """Return why a request must not be sent now, None if it may be."""
    count = count_crashes(state, call.fingerprint)
    if count < PROBATION_CRASHES:
        return None
    suspect = state.suspects.get(call.fingerprint)
    wait = FINAL_RETRY_AFTER_US
    if suspect is not None:
        suspect.requested_at = now
    if count < QUARANTINE_CRASHES:
        wait = MICROS_PER_SECOND
    elif suspect is not None and suspect.trials < len(TRIAL_DELAYS_US):
        wait = _find_trial_time(state, call.fingerprint, suspect, now) - now
    is_in_progress = any(
        other.attempt and other.fingerprint == call.fingerprint
        for other in state.calls.values()
    )
    is_due = count < QUARANTINE_CRASHES or wait <= 0
    if is_due and not is_in_progress:
        return None
    verdict = Verdict.MAY_HAVE_RUN if call.may_have_run else Verdict.NOT_RUN
    status = 502 if call.may_have_run else 503
    detail = f"{count} targets crashed while this request was in progress"
    wait = max(wait, MICROS_PER_SECOND)
    return Refusal(status, Reason.QUARANTINED, verdict, detail, wait)


def record_trial(state: GatewayState, call: Call, now: int) -> None:
    """Count a request that is sent while in quarantine, and tell all hosts."""
    suspect = state.suspects.get(call.fingerprint)
    if suspect is None or not suspect.quarantined:
        return
    suspect.trials += 1
    record_change(state, call.fingerprint, suspect, "", now)
    publish_suspects(state, {call.fingerprint})


def handle_store_restored(state: GatewayState, event: StoreRestored) -> None:
    """Save requests in quarantine again, of which the copy may have no row."""
    for fingerprint, suspect in state.suspects.items():
        if suspect.quarantined and _rank_host(state, fingerprint, event.now) == 0:
            save_suspect(state, fingerprint, suspect)


def list_suspected_targets(state: GatewayState, call: Call) -> set[str]:
    """Return the targets that a request must avoid, since others are suspected there.

    A target that crashes with two suspects would implicate the wrong one once more.
    """
    if not state.suspects or not count_crashes(state, call.fingerprint):
        return set()
    return {
        other.target
        for other in state.calls.values()
        if other.attempt
        and other.fingerprint != call.fingerprint
        and count_crashes(state, other.fingerprint)
    }


def _check_lost_target(state: GatewayState, lost: LostTarget) -> None:
    target = state.targets.get(lost.crash.target)
    if target is not None:
        lost.checking = True
        state.perform(CheckConnection(target.name, target.announcement.address))


def _check_other_target(state: GatewayState) -> None:
    """Find out whether this host can reach any target that broke off nothing."""
    others = [
        target
        for target in state.targets.values()
        if target.down_since is None and target.name not in state.lost_targets
    ]
    if others:
        target = others[state.draw_random(len(others))]
        state.perform(CheckConnection(target.name, target.announcement.address))


def _find_trial_time(
    state: GatewayState, fingerprint: str, suspect: Suspect, now: int
) -> int:
    """Return when this host may try a request in quarantine again."""
    turn = _rank_host(state, fingerprint, now) * TURN_US
    due = suspect.changed_at + TRIAL_DELAYS_US[suspect.trials] + turn
    # Hosts that cannot be heard may take the same turn.
    return max(due, now + TURN_US) if state.has_silent_peers else due


def _rank_host(state: GatewayState, fingerprint: str, now: int) -> int:
    """Return this host's position in the order of hosts in charge of a request."""
    locations = [
        peer.location
        for peer in list_live_peers(state, now)
        if peer.heartbeat.ready and peer.heartbeat.reaches_targets
    ]
    hosts = sort_hosts([*locations, state.location], fingerprint, "")
    return hosts.index(state.location)


EVENT_HANDLERS: dict[type[GatewayEvent], object] = {
    ConnectionChecked: handle_connection_checked,
    StoreRestored: handle_store_restored,
    Ticked: handle_tick,
}

"""Whether this host reaches any target at all.

Handles a host that loses the network to its targets while its callers, the store and
other hosts still reach it. Targets are then silent all at once, break off connections,
or refuse new ones while established ones live on; none of that says anything about
them. When a target cannot be reached or none has answered for a while, the host tries
to connect to others, in several failure domains. If it reaches none, it regards itself
as partitioned, tells its peers, and hands its requests to them. It goes on trying to
connect, and discards what it observed of its targets once some can be reached again.
"""

from __future__ import annotations

from almondgap_core.gateway.effects import CheckConnection
from almondgap_core.gateway.eligibility import is_candidate
from almondgap_core.gateway.events import (
    ConnectionChecked,
    GatewayEvent,
    ProbeEnded,
    TargetAnswered,
    Ticked,
)
from almondgap_core.gateway.reports import ReachabilityChanged
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.target import DecayingAverage, FailureShare, Target
from almondgap_core.units import MICROS_PER_MILLI, millis, seconds

#: Targets that cannot be reached, and failure domains that they are in, at which a host
#: regards itself as partitioned; fewer if there are not as many.
MIN_UNREACHED_TARGETS = 3
MIN_UNREACHED_DOMAINS = 2

#: Checks in a row that must fail if targets still answer on established connections.
MIN_FAILED_CHECKS = 6

#: Time for which a failed connection counts.
UNREACHED_TTL_US = seconds(3)

#: Time without any answer, while requests are in progress, after which a host tries to
#: connect to targets.
SILENCE_US = millis(750)

#: Number of targets to which a host tries to connect at a time.
MAX_CHECKS = 2

#: Targets that must accept a connection before a partition counts as ended.
MIN_REACHED_TARGETS = 2


def record_unreached(state: GatewayState, target: Target, now: int) -> None:
    """Note that no connection to a target could be established."""
    state.unreached[target.name] = now
    if state.partitioned_since is None and not state.checking:
        _check_others(state, MAX_CHECKS)


def handle_connection_checked(state: GatewayState, event: ConnectionChecked) -> None:
    """Take note of whether a target can be reached."""
    state.checking.discard(event.target)
    if not event.performed:
        return
    if event.accepted:
        _record_reached(state, event.target, event.now)
        return
    target = state.targets.get(event.target)
    if target is None:
        return
    state.unreached[target.name] = event.now
    state.targets_silent = event.accepted is None
    state.failed_checks += 1
    if state.partitioned_since is not None:
        state.reached.clear()
    elif not state.checking:
        # Several targets may fail at once, so all checks must have failed as well.
        if _is_partitioned(state, event.now):
            _begin_partition(state, event.now)
        else:
            _check_others(state, MAX_CHECKS)


def handle_target_answered(state: GatewayState, event: TargetAnswered) -> None:
    """Take note of the time of an answer, on a connection old or new."""
    state.last_contact_at = event.now


def handle_probe_ended(state: GatewayState, event: ProbeEnded) -> None:
    """Take note of a target that answered a health check on a new connection."""
    if event.healthy:
        _record_reached(state, event.target, event.now)


def handle_tick(state: GatewayState, event: Ticked) -> None:
    """Try to connect to targets when none answers, or to see a partition end."""
    if state.checking:
        return
    if state.partitioned_since is not None:
        _check_others(state, MIN_REACHED_TARGETS)
        return
    silent_since = event.now - SILENCE_US
    if state.last_contact_at > silent_since:
        return
    if any(
        call.attempt and call.sent_at <= silent_since for call in state.calls.values()
    ):
        _check_others(state, MAX_CHECKS)


def _record_reached(state: GatewayState, target: str, now: int) -> None:
    state.last_contact_at = now
    state.failed_checks = 0
    if state.partitioned_since is None:
        state.unreached.clear()
        return
    state.reached.add(target)
    if len(state.reached) >= min(MIN_REACHED_TARGETS, len(state.targets)):
        _end_partition(state, now)


def _is_partitioned(state: GatewayState, now: int) -> bool:
    """Return whether enough targets in enough failure domains cannot be reached."""
    for name, at in list(state.unreached.items()):
        if now - at > UNREACHED_TTL_US or name not in state.targets:
            del state.unreached[name]
    domains = {target.announcement.failure_domain for target in state.targets.values()}
    unreached = {
        state.targets[name].announcement.failure_domain for name in state.unreached
    }
    if len(state.unreached) < min(MIN_UNREACHED_TARGETS, len(state.targets)):
        return False
    if len(unreached) < min(MIN_UNREACHED_DOMAINS, len(domains)):
        return False
    is_silent = now - state.last_contact_at >= SILENCE_US
    return is_silent or state.failed_checks >= MIN_FAILED_CHECKS


def _begin_partition(state: GatewayState, now: int) -> None:
    state.partitioned_since = now
    state.reached.clear()
    state.announce_at_once(now)
    silent = (now - state.last_contact_at) // MICROS_PER_MILLI
    state.report(ReachabilityChanged(False, len(state.unreached), silent))


def _end_partition(state: GatewayState, now: int) -> None:
    """Resume sending to targets, as if nothing had been observed meanwhile."""
    since = state.partitioned_since - UNREACHED_TTL_US
    for target in state.targets.values():
        if target.down_since is not None and target.down_since >= since:
            target.down_since = None
        if target.slowdown.updated_at >= since:
            target.slowdown = DecayingAverage(1.0, 1.0)
        if target.failure_share.updated_at >= since:
            target.failure_share = FailureShare()
        target.consecutive_timeouts = 0
    for service, share in state.failure_shares.items():
        if share.updated_at >= since:
            state.failure_shares[service] = FailureShare()
    lasted = (now - state.partitioned_since) // MICROS_PER_MILLI
    state.partitioned_since = None
    state.unreached.clear()
    state.announce_at_once(now)
    state.report(ReachabilityChanged(True, 0, lasted))


def _check_others(state: GatewayState, count: int) -> None:
    """Try to connect to targets, first in failure domains where none was tried."""
    tried = {
        state.targets[name].announcement.failure_domain
        for name in (*state.unreached, *state.checking)
        if name in state.targets
    }
    known = [
        target
        for target in state.targets.values()
        if target.name not in state.checking and is_candidate(state, target)
    ]
    candidates = known
    if state.partitioned_since is None:
        # A target that is down already proves nothing, unless there are no others.
        candidates = [each for each in known if _seems_reachable(state, each)] or known
    start = state.draw_random(max(1, len(candidates)))
    candidates = candidates[start:] + candidates[:start]
    candidates.sort(key=lambda target: target.announcement.failure_domain in tried)
    for target in candidates[:count]:
        state.checking.add(target.name)
        state.perform(CheckConnection(target.name, target.announcement.address))


def _seems_reachable(state: GatewayState, target: Target) -> bool:
    return target.name not in state.unreached and target.down_since is None


EVENT_HANDLERS: dict[type[GatewayEvent], object] = {
    ConnectionChecked: handle_connection_checked,
    ProbeEnded: handle_probe_ended,
    TargetAnswered: handle_target_answered,
    Ticked: handle_tick,
}

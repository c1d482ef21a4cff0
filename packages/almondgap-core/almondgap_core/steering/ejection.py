"""Ejection: targets that fail take no work until a single request proves them well.

What counts is what this host sees of answers; what a target says of itself does not.
"""

from __future__ import annotations

from almondgap_core.effects import LogEntry
from almondgap_core.membership.summary import compute_key
from almondgap_core.membership.suspicion import is_alive
from almondgap_core.settings.inventory import Target
from almondgap_core.state import HostState
from almondgap_core.steering.ownership import is_blocked, list_owned_targets
from almondgap_core.steering.slot_result import SlotResult
from almondgap_core.steering.slot_state import TargetView
from almondgap_core.units import MICROS_PER_MILLI, MICROS_PER_SECOND

#: Failures in a row that eject a target; as many as it has slots if these are fewer,
#: since one that stalls gives no further answer before its slots are free again.
FAILURES_IN_ROW = 5
LEAST_IN_ROW = 2

#: Share of failures that ejects a target, if it is twice that of the others.
FAILURE_SHARE = 0.5

#: Results that a share of failures needs.
LEAST_RESULTS = 10

#: Least weight of the newest result in the moving averages.
NEWEST = 0.1

#: Time in which what was seen of a target loses half its weight, so that one that was
#: slow is tried again.
HALF_LIFE_US = 5 * MICROS_PER_SECOND

#: Most of a service's slots in a failure domain that ejections may take, as a divisor.
MAX_SHARE_DIVISOR = 2

EJECTION_US = 5 * MICROS_PER_SECOND
MAX_EJECTION_US = 60 * MICROS_PER_SECOND

#: Time from an owner's announcement of an ejection to the ejection: two heartbeats.
ANNOUNCE_US = 2_500 * MICROS_PER_MILLI

#: Most that is added at random before another announcement.
BACK_OFF_US = 3 * MICROS_PER_SECOND

#: Time without new work after the first shed answer; doubles with each further one.
SHED_US = 100 * MICROS_PER_MILLI
MAX_SHED_DOUBLINGS = 5

#: Time over which a cold target comes to take all its slots.
RAMP_US = 10 * MICROS_PER_SECOND


def find_view(state: HostState, target: str) -> TargetView:
    """Return what this host sees of a target."""
    return state.slots.views.setdefault(target, TargetView())


def measure_trust(view: TargetView, now: int) -> float:
    """Return the weight of what was seen of a target until now, 0 to 1."""
    return 0.5 ** ((now - view.heard) / HALF_LIFE_US)


def compute_room(state: HostState, target: Target, now: int) -> int:
    """Return how many slots of a target may be in use at once now."""
    view = find_view(state, target.name)
    if now < view.shed_until:
        return 0
    if view.ejected_until is not None:
        return 1 if now >= view.ejected_until else 0
    most = min(target.slots, target.connections)
    if view.warm_since is None:
        return most
    elapsed = now - view.warm_since
    if elapsed >= RAMP_US:
        view.warm_since = None
        return most
    return max(1, most * elapsed // RAMP_US)


def note_result(state, target: Target, result: SlotResult, held: int, now: int):
    """Learn from the end of an attempt; eject the target or take it back.

    :param held: time for which the slot was held, in microseconds.
    """
    if result in (SlotResult.UNUSED, SlotResult.UNSETTLED):
        return
    view = find_view(state, target.name)
    newest = 1 - (1 - NEWEST) * measure_trust(view, now)
    view.heard = now
    if result is SlotResult.SHED:
        view.shed_until = now + (SHED_US << min(view.sheds, MAX_SHED_DOUBLINGS))
        view.sheds += 1
        return
    failed = result.is_target_failure
    view.sheds = 0
    view.results += 1
    view.errors += newest * (failed - view.errors)
    if result is SlotResult.SERVED:
        view.latency += newest * (held - view.latency) if view.latency else held
    view.in_row = view.in_row + 1 if failed else 0
    if view.ejected_until is not None:
        _end_probe(state, target, view, failed, now)
    elif not _is_bad(state, target, view, now):
        view.intent = None
    elif failed:
        _consider(state, target, view, now)


def _consider(state: HostState, target: Target, view: TargetView, now: int) -> None:
    """Eject a bad target, once the other owners had time to say what they eject.

    Owners announce by reporting fewer slots. Of two that together would eject too much
    each sees the other's announcement, steps back and tries again at a random time.
    """
    if view.intent is None:
        if now < view.intent_after:
            return
        view.intent = now
    others = _list_other_loads(state, target.service, now)
    if others and now < view.intent + ANNOUNCE_US:
        return
    if _may_eject(state, target, sum(others), now):
        _eject(state, target, view, now)
    elif others:
        view.intent_after = now + MICROS_PER_SECOND + state.draw(BACK_OFF_US)
    view.intent = None


def _end_probe(state: HostState, target: Target, view, failed: bool, now: int) -> None:
    if now < view.ejected_until:
        return
    if failed:
        _eject(state, target, view, now)
        return
    views = state.slots.views
    views[target.name] = TargetView(latency=view.latency, warm_since=now)
    fields = (("target", target.name),)
    state.perform(LogEntry("target back", fields))


def _is_bad(state: HostState, target: Target, view: TargetView, now: int) -> bool:
    if view.in_row >= max(min(FAILURES_IN_ROW, target.slots), LEAST_IN_ROW):
        return True
    if view.results < LEAST_RESULTS or view.errors < FAILURE_SHARE:
        return False
    others = [
        find_view(state, other.name).errors
        for other in list_owned_targets(state, target.service, now)
        if other.name != target.name
    ]
    return not others or view.errors >= 2 * sum(others) / len(others)


def _may_eject(state: HostState, target: Target, others: int, now: int) -> bool:
    """Return whether enough slots are left in the failure domain without a target.

    Slots that other owners of the failure domain do not report count as gone.

    :param others: slots that the other owners report.
    """
    total = sum(
        other.slots
        for other in state.inventory.targets.values()
        if (other.service, other.failure_domain)
        == (target.service, target.failure_domain)
        and not other.draining
    )
    left = others
    left += sum(t.slots for t in list_open_targets(state, target.service, now))
    return left * MAX_SHARE_DIVISOR >= total


def _list_other_loads(state: HostState, service: str, now: int) -> list[int]:
    """Return the slots that each other owner of the failure domain reports."""
    key = compute_key(service)
    slots = []
    for name, peer in state.members.peers.items():
        entry = state.members.listed.get(name)
        near = entry is not None and entry.failure_domain == state.failure_domain
        if near and is_alive(state, name, now):
            slots.extend(load.slots for load in peer.loads if load.key == key)
    return slots


def list_open_targets(state: HostState, service: str, now: int) -> list[Target]:
    """Return the owned targets that take work and are to go on taking it."""
    return [
        target
        for target in list_owned_targets(state, service, now)
        if _is_open(find_view(state, target.name), now)
        and not is_blocked(state, target, now)
    ]


def _is_open(view: TargetView, now: int) -> bool:
    return view.ejected_until is None and view.intent is None and now >= view.shed_until


def _eject(state: HostState, target: Target, view: TargetView, now: int) -> None:
    duration = min(EJECTION_US << min(view.ejections, 8), MAX_EJECTION_US)
    view.ejections += 1
    view.ejected_until = now + duration
    fields = (("target", target.name), ("ejections", view.ejections))
    state.perform(LogEntry("target ejected", fields))

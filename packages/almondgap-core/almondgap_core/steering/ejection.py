"""Ejection: targets that fail take no work until a single request proves them well.

What counts is what this host sees of answers; what a target says of itself does not.
"""

from __future__ import annotations

from almondgap_core.effects import LogEntry
from almondgap_core.membership.failure_detection import is_alive
from almondgap_core.membership.summary import compute_key
from almondgap_core.settings.inventory import Target
from almondgap_core.state import HostState
from almondgap_core.steering.ownership import is_blocked, list_owned_targets
from almondgap_core.steering.slot_result import SlotResult
from almondgap_core.steering.slot_state import TargetHealth
from almondgap_core.units import MICROS_PER_MILLI, MICROS_PER_SECOND

#: Failures in a row that eject a target; as many as it has slots if these are fewer,
#: since one that stalls gives no further answer before its slots are free again.
MAX_CONSECUTIVE_FAILURES = 5
MIN_CONSECUTIVE_FAILURES = 2

#: Share of failures that ejects a target, if it is twice that of the others.
FAILURE_SHARE = 0.5

#: Results that a share of failures needs.
MIN_RESULTS = 10

#: Least weight of the newest result in the moving averages.
MIN_SAMPLE_WEIGHT = 0.1

#: Time in which what was seen of a target loses half its weight, so that one that was
#: slow is tried again.
HALF_LIFE_US = 5 * MICROS_PER_SECOND

#: Most of a service's slots in a failure domain that ejections may take, as a divisor.
MAX_EJECTED_DIVISOR = 2

EJECTION_US = 5 * MICROS_PER_SECOND
MAX_EJECTION_US = 60 * MICROS_PER_SECOND

#: Time from an owner's announcement of an ejection to the ejection: two heartbeats.
ANNOUNCEMENT_US = 2_500 * MICROS_PER_MILLI

#: Most that is added at random before another announcement.
MAX_BACK_OFF_US = 3 * MICROS_PER_SECOND

#: Time without new work after the first shed answer; doubles with each further one.
SHED_BACK_OFF_US = 100 * MICROS_PER_MILLI
MAX_SHED_DOUBLINGS = 5

#: Time over which a cold target comes to take all its slots.
WARM_UP_US = 10 * MICROS_PER_SECOND


def get_target_health(state: HostState, target: str) -> TargetHealth:
    """Return what this host sees of a target."""
    return state.slots.target_health.setdefault(target, TargetHealth())


def compute_confidence(health: TargetHealth, now: int) -> float:
    """Return the weight of what was seen of a target until now, 0 to 1."""
    return 0.5 ** ((now - health.last_result_at) / HALF_LIFE_US)


def compute_slot_limit(state: HostState, target: Target, now: int) -> int:
    """Return how many slots of a target may be in use at once now."""
    health = get_target_health(state, target.name)
    if now < health.shed_until:
        return 0
    if health.ejected_until is not None:
        return 1 if now >= health.ejected_until else 0
    most = min(target.slots, target.connections)
    if health.warm_up_since is None:
        return most
    elapsed = now - health.warm_up_since
    if elapsed >= WARM_UP_US:
        health.warm_up_since = None
        return most
    return max(1, most * elapsed // WARM_UP_US)


def record_result(state, target: Target, result: SlotResult, hold_time: int, now: int):
    """Learn from the end of an attempt; eject the target or take it back.

    :param hold_time: time for which the slot was held, in microseconds.
    """
    if result in (SlotResult.UNUSED, SlotResult.UNSETTLED):
        return
    health = get_target_health(state, target.name)
    sample_weight = 1 - (1 - MIN_SAMPLE_WEIGHT) * compute_confidence(health, now)
    health.last_result_at = now
    if result is SlotResult.SHED:
        health.shed_until = now + (
            SHED_BACK_OFF_US << min(health.consecutive_sheds, MAX_SHED_DOUBLINGS)
        )
        health.consecutive_sheds += 1
        return
    failed = result.is_target_failure
    health.consecutive_sheds = 0
    health.result_count += 1
    health.error_rate += sample_weight * (failed - health.error_rate)
    if result is SlotResult.SERVED:
        health.latency += (
            sample_weight * (hold_time - health.latency)
            if health.latency
            else hold_time
        )
    health.consecutive_failures = health.consecutive_failures + 1 if failed else 0
    if health.ejected_until is not None:
        _end_probe(state, target, health, failed, now)
    elif not _is_failing(state, target, health, now):
        health.intent_since = None
    elif failed:
        _announce_or_eject(state, target, health, now)


def _announce_or_eject(
    state: HostState, target: Target, health: TargetHealth, now: int
) -> None:
    """Eject a bad target, once the other owners had time to say what they eject.

    Owners announce by reporting fewer slots. Of two that together would eject too much
    each sees the other's announcement, steps back and tries again at a random time.
    """
    if health.intent_since is None:
        if now < health.next_intent_at:
            return
        health.intent_since = now
    others = _list_other_slots(state, target.service, now)
    if others and now < health.intent_since + ANNOUNCEMENT_US:
        return
    if _may_eject(state, target, sum(others), now):
        _eject(state, target, health, now)
    elif others:
        health.next_intent_at = now + MICROS_PER_SECOND + state.draw(MAX_BACK_OFF_US)
    health.intent_since = None


def _end_probe(
    state: HostState, target: Target, health, failed: bool, now: int
) -> None:
    if now < health.ejected_until:
        return
    if failed:
        _eject(state, target, health, now)
        return
    target_health = state.slots.target_health
    target_health[target.name] = TargetHealth(latency=health.latency, warm_up_since=now)
    fields = (("target", target.name),)
    state.perform(LogEntry("target back", fields))


def _is_failing(
    state: HostState, target: Target, health: TargetHealth, now: int
) -> bool:
    if health.consecutive_failures >= max(
        min(MAX_CONSECUTIVE_FAILURES, target.slots), MIN_CONSECUTIVE_FAILURES
    ):
        return True
    if health.result_count < MIN_RESULTS or health.error_rate < FAILURE_SHARE:
        return False
    others = [
        get_target_health(state, other.name).error_rate
        for other in list_owned_targets(state, target.service, now)
        if other.name != target.name
    ]
    return not others or health.error_rate >= 2 * sum(others) / len(others)


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
    left += sum(t.slots for t in list_available_targets(state, target.service, now))
    return left * MAX_EJECTED_DIVISOR >= total


def _list_other_slots(state: HostState, service: str, now: int) -> list[int]:
    """Return the slots that each other owner of the failure domain reports."""
    key = compute_key(service)
    slots = []
    for name, peer in state.members.peers.items():
        entry = state.members.listed.get(name)
        near = entry is not None and entry.failure_domain == state.failure_domain
        if near and is_alive(state, name, now):
            slots.extend(load.slots for load in peer.loads if load.key == key)
    return slots


def list_available_targets(state: HostState, service: str, now: int) -> list[Target]:
    """Return the owned targets that take work and are to go on taking it."""
    return [
        target
        for target in list_owned_targets(state, service, now)
        if _takes_work(get_target_health(state, target.name), now)
        and not is_blocked(state, target, now)
    ]


def _takes_work(health: TargetHealth, now: int) -> bool:
    return (
        health.ejected_until is None
        and health.intent_since is None
        and now >= health.shed_until
    )


def _eject(state: HostState, target: Target, health: TargetHealth, now: int) -> None:
    duration = min(EJECTION_US << min(health.ejection_count, 8), MAX_EJECTION_US)
    health.ejection_count += 1
    health.ejected_until = now + duration
    fields = (("target", target.name), ("ejections", health.ejection_count))
    state.perform(LogEntry("target ejected", fields))

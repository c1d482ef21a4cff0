"""Target discovery from the announcements in the store.

Keeps using known targets while the store is unavailable, and gives them time to
announce themselves again after it comes back.
"""

from __future__ import annotations

from almondgap_core.gateway.effects import CloseIdleConnections
from almondgap_core.gateway.events import (
    EvacuationsRead,
    GatewayEvent,
    StoreLost,
    StoreRegained,
    StoreRestored,
    TargetAnnounced,
    TargetsRead,
    TargetWithdrawn,
    Ticked,
)
from almondgap_core.gateway.reports import (
    EvacuationChanged,
    StoreChanged,
    TargetChanged,
)
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.store_views import record_outage_end
from almondgap_core.gateway.target import Announcement, Target
from almondgap_core.units import millis, seconds

#: Time for which removed targets are remembered: longer than the age of a copy from
#: which the store is restored.
DEPARTED_TTL_US = seconds(60)

#: Time by which an announced warm-up is extended, for the delay of the announcement.
WARMUP_MARGIN_US = millis(200)


def handle_targets_read(state: GatewayState, event: TargetsRead) -> None:
    """Apply a snapshot of all announcements and remove targets that have none."""
    listed = {announcement.target for announcement in event.announcements}
    for name in [name for name in state.targets if name not in listed]:
        withdraw_target(state, name, event.now)
    for announcement in event.announcements:
        apply_announcement(state, announcement, event.now)


def handle_target_announced(state: GatewayState, event: TargetAnnounced) -> None:
    """Apply one target's announcement."""
    apply_announcement(state, event.announcement, event.now)


def handle_target_withdrawn(state: GatewayState, event: TargetWithdrawn) -> None:
    """Remove a target that the store no longer lists."""
    withdraw_target(state, event.target, event.now)


def apply_announcement(
    state: GatewayState, announcement: Announcement, now: int
) -> None:
    """Update a target from its announcement, unless a newer one is known."""
    state.missing_targets.pop(announcement.target, None)
    target = state.targets.get(announcement.target)
    if target is None:
        outdated = state.outdated_announcements.get(announcement.target)
        if outdated is not None and announcement.age <= outdated:
            return
        target = Target(announcement, known_since=now)
        state.targets[announcement.target] = target
        _extend_warmup(target, announcement, now)
        _record_change(state, target, "new", "announced")
        return
    previous = target.announcement
    if announcement == previous:
        return
    if announcement.age < previous.age:
        _report(state, target, "ignored", "announcement is older than the known one")
        return
    target.announcement = announcement
    if announcement.incarnation != previous.incarnation:
        target.reset_observations(now)
    _extend_warmup(target, announcement, now)
    if announcement.draining and not previous.draining:
        state.perform(CloseIdleConnections(target.name))
        _record_change(state, target, "draining", "announced")
    elif announcement.incarnation != previous.incarnation:
        state.perform(CloseIdleConnections(target.name))
        _record_change(state, target, "new", "target restarted")
    else:
        _record_change(state, target, "ready", "announced")


def withdraw_target(state: GatewayState, name: str, now: int) -> None:
    """Remove a target, or keep it for a while during or just after a store outage.

    Announcements that expired during an outage are renewed shortly after it.
    """
    if name not in state.targets or name in state.missing_targets:
        return
    regained = state.store_regained
    if state.store_lost is not None:
        state.missing_targets[name] = now + state.bounds.reannounce_time
    elif regained is not None and now < regained + state.bounds.reannounce_time:
        state.missing_targets[name] = regained + state.bounds.reannounce_time
    else:
        _remove(state, name, "withdrawn", now)


def handle_tick(state: GatewayState, event: Ticked) -> None:
    """End what waited for the store's rows to be written again."""
    if state.evacuations_held_until and event.now >= state.evacuations_held_until:
        state.evacuations_held_until = 0
        _evacuate(state, state.listed_evacuations, event.now)
    if not state.missing_targets or state.store_lost is not None:
        return
    for name in [
        name
        for name, deadline in state.missing_targets.items()
        if event.now >= deadline
    ]:
        cause = "announcement not renewed after the store outage"
        _remove(state, name, cause, event.now)


def handle_evacuations(state: GatewayState, event: EvacuationsRead) -> None:
    """Use no target of an evacuated failure domain.

    An evacuation that a restored store lacks lasts until operators had time to write it
    again.
    """
    state.listed_evacuations = event.failure_domains
    if event.now < state.evacuations_held_until:
        _evacuate(state, event.failure_domains | state.evacuated, event.now)
    else:
        _evacuate(state, event.failure_domains, event.now)


def _evacuate(state: GatewayState, failure_domains: frozenset[str], now: int) -> None:
    """Set the evacuated failure domains.

    Targets of a domain that is taken back into service go through a warm-up.
    """
    if failure_domains == state.evacuated:
        return
    restored = state.evacuated - failure_domains
    state.evacuated = failure_domains
    state.targets_epoch += 1
    services = state.configuration.services if state.configuration else {}
    for target in state.targets.values():
        service = services.get(target.announcement.service)
        if target.announcement.failure_domain in restored and service is not None:
            warmup_until = now + service.warmup_time + WARMUP_MARGIN_US
            target.warmup_until = max(target.warmup_until, warmup_until)
    state.report(EvacuationChanged(tuple(sorted(failure_domains))))


def handle_store_lost(state: GatewayState, event: StoreLost) -> None:
    """Record that the store is unavailable; the last known state stays in use."""
    if state.store_lost is None:
        state.store_lost = event.now
        state.report(StoreChanged("lost", event.reason))


def handle_store_regained(state: GatewayState, event: StoreRegained) -> None:
    """Trust the store again, after giving targets time to renew announcements."""
    if state.store_lost is None:
        return
    outage = event.now - state.store_lost
    state.store_lost = None
    state.store_regained = event.now
    for name in state.missing_targets:
        state.missing_targets[name] = event.now + state.bounds.reannounce_time
    record_outage_end(state, event.now)
    state.report(StoreChanged("regained", f"was unavailable for {outage // 1000} ms"))


def handle_store_restored(state: GatewayState, event: StoreRestored) -> None:
    """Give operators and targets time to write again what the copy lacks.

    The copy may also list targets that have left since.
    """
    state.store_regained = event.now
    state.evacuations_held_until = event.now + state.bounds.reannounce_time
    state.outdated_announcements = {
        name: announcement.age
        for name, (announcement, removed_at) in state.departed_targets.items()
        if event.now - removed_at < DEPARTED_TTL_US
    }


def _extend_warmup(target: Target, announcement: Announcement, now: int) -> None:
    if announcement.warmup_left > 0:
        warmup_until = now + announcement.warmup_left + WARMUP_MARGIN_US
        target.warmup_until = max(target.warmup_until, warmup_until)


def _remember_departed(state: GatewayState, target: Target, now: int) -> None:
    departed = state.departed_targets
    departed.pop(target.name, None)
    departed[target.name] = (target.announcement, now)
    while now - next(iter(departed.values()))[1] >= DEPARTED_TTL_US:
        del departed[next(iter(departed))]


def _remove(state: GatewayState, name: str, cause: str, now: int) -> None:
    state.missing_targets.pop(name, None)
    target = state.targets.pop(name)
    _remember_departed(state, target, now)
    state.perform(CloseIdleConnections(name))
    _record_change(state, target, "gone", cause)


def _record_change(
    state: GatewayState, target: Target, new_state: str, cause: str
) -> None:
    state.targets_epoch += 1
    _report(state, target, new_state, cause)


def _report(state: GatewayState, target: Target, new_state: str, cause: str) -> None:
    service = target.announcement.service
    state.report(TargetChanged(target.name, service, new_state, cause))


EVENT_HANDLERS: dict[type[GatewayEvent], object] = {
    TargetsRead: handle_targets_read,
    TargetAnnounced: handle_target_announced,
    TargetWithdrawn: handle_target_withdrawn,
    EvacuationsRead: handle_evacuations,
    StoreLost: handle_store_lost,
    StoreRegained: handle_store_regained,
    StoreRestored: handle_store_restored,
    Ticked: handle_tick,
}

"""What this host believes of targets, from their announcements in the store."""

from __future__ import annotations

from almondgap_core.gateway.effects import CloseIdleConnections
from almondgap_core.gateway.events import (
    EvacuationsRead,
    GatewayEvent,
    StoreLost,
    StoreRegained,
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
from almondgap_core.gateway.target import Announcement, Target
from almondgap_core.units import millis

#: Time beyond what a target announces during which it is still taken to be cold: its
#: announcement was under way.
WARMUP_MARGIN_US = millis(200)


def handle_targets_read(state: GatewayState, event: TargetsRead) -> None:
    """Take over all announcements; targets that have none are gone."""
    listed = {announcement.target for announcement in event.announcements}
    for name in [name for name in state.targets if name not in listed]:
        withdraw_target(state, name, event.now)
    for announcement in event.announcements:
        apply_announcement(state, announcement, event.now)


def handle_target_announced(state: GatewayState, event: TargetAnnounced) -> None:
    """Take over what one target announced."""
    apply_announcement(state, event.announcement, event.now)


def handle_target_withdrawn(state: GatewayState, event: TargetWithdrawn) -> None:
    """Stop using a target that the store no longer holds."""
    withdraw_target(state, event.target, event.now)


def apply_announcement(
    state: GatewayState, announcement: Announcement, now: int
) -> None:
    """Believe an announcement unless a newer one is known."""
    state.missing_targets.pop(announcement.target, None)
    target = state.targets.get(announcement.target)
    if target is None:
        target = Target(announcement, known_since=now)
        state.targets[announcement.target] = target
        _extend_warmup(target, announcement, now)
        _record_change(state, target, "new", "announced")
        return
    before = target.announcement
    if announcement == before:
        return
    age = (announcement.incarnation, announcement.sequence)
    if age < (before.incarnation, before.sequence):
        _report(state, target, "ignored", "an older announcement came back")
        return
    target.announcement = announcement
    if announcement.incarnation != before.incarnation:
        target.reset_observations(now)
    _extend_warmup(target, announcement, now)
    if announcement.draining and not before.draining:
        state.perform(CloseIdleConnections(target.name))
        _record_change(state, target, "draining", "announced")
    elif announcement.incarnation != before.incarnation:
        state.perform(CloseIdleConnections(target.name))
        _record_change(state, target, "new", "started again")
    else:
        _record_change(state, target, "ready", "announced")


def withdraw_target(state: GatewayState, name: str, now: int) -> None:
    """Stop using a target, or wait a moment if the store was away a moment ago.

    Announcements that ran out while the store was away come back shortly after it.
    """
    if name not in state.targets or name in state.missing_targets:
        return
    regained = state.store_regained
    if state.store_lost is not None:
        state.missing_targets[name] = now + state.bounds.reannounce_time
    elif regained is not None and now < regained + state.bounds.reannounce_time:
        state.missing_targets[name] = regained + state.bounds.reannounce_time
    else:
        _remove(state, name, "withdrawn")


def handle_tick(state: GatewayState, event: Ticked) -> None:
    """Give up targets whose announcements did not come back."""
    if not state.missing_targets or state.store_lost is not None:
        return
    for name in [
        name for name, due in state.missing_targets.items() if event.now >= due
    ]:
        _remove(state, name, "not announced again after the store was away")


def handle_evacuations(state: GatewayState, event: EvacuationsRead) -> None:
    """Use no target of an evacuated failure domain; those taken back are cold."""
    if event.failure_domains == state.evacuated:
        return
    back = state.evacuated - event.failure_domains
    state.evacuated = event.failure_domains
    state.targets_epoch += 1
    services = state.configuration.services if state.configuration else {}
    for target in state.targets.values():
        service = services.get(target.announcement.service)
        if target.announcement.failure_domain in back and service is not None:
            cold = event.now + service.warmup_time + WARMUP_MARGIN_US
            target.warmup_until = max(target.warmup_until, cold)
    state.report(EvacuationChanged(tuple(sorted(event.failure_domains))))


def handle_store_lost(state: GatewayState, event: StoreLost) -> None:
    """Go on with what is known."""
    if state.store_lost is None:
        state.store_lost = event.now
        state.report(StoreChanged("lost", event.reason))


def handle_store_regained(state: GatewayState, event: StoreRegained) -> None:
    """Believe the store again, but give targets a moment to announce themselves."""
    if state.store_lost is None:
        return
    away = event.now - state.store_lost
    state.store_lost = None
    state.store_regained = event.now
    for name in state.missing_targets:
        state.missing_targets[name] = event.now + state.bounds.reannounce_time
    state.report(StoreChanged("regained", f"was away for {away // 1000} ms"))


def _extend_warmup(target: Target, announcement: Announcement, now: int) -> None:
    if announcement.warmup_left > 0:
        cold = now + announcement.warmup_left + WARMUP_MARGIN_US
        target.warmup_until = max(target.warmup_until, cold)


def _remove(state: GatewayState, name: str, cause: str) -> None:
    state.missing_targets.pop(name, None)
    target = state.targets.pop(name)
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
    Ticked: handle_tick,
}

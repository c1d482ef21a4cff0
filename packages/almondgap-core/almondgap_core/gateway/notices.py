"""What targets say of themselves in their answers: that they leave, or want a pause.

Handles targets that leave before the store lists it, or while it is silent, and
overloaded targets that turn requests away for some time. Both hold at once for this
host, whatever the store lists, until the time is over or the target starts anew.
"""

from __future__ import annotations

from almondgap_core.gateway.effects import CloseIdleConnections
from almondgap_core.gateway.events import (
    GatewayEvent,
    ProbeEnded,
    RelayAnswered,
    TargetAnswered,
    Ticked,
)
from almondgap_core.gateway.reports import TargetChanged, TargetPaused
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.target import Target, TargetNotice
from almondgap_core.units import MICROS_PER_MILLI, seconds

#: Extension of a pause by up to this fraction of it and this time, so that hosts do not
#: return together.
MAX_JITTER_FRACTION = 0.1
MAX_JITTER_US = seconds(1)

#: Time for which a notice is remembered after the store listed its target last: the
#: store may lack the target's row during an outage.
NOTICE_TTL_US = seconds(600)


def handle_target_answered(state: GatewayState, event: TargetAnswered) -> None:
    """Take note of what a target said in an answer, whatever its status."""
    call = state.calls.get(event.call)
    if call is None or call.attempt != event.attempt or event.misdirected:
        return
    _record_notice(state, call.target, event.leaving, event.retry_after, event.now)


def handle_probe_ended(state: GatewayState, event: ProbeEnded) -> None:
    """Take note of what a target said when its health was checked."""
    _record_notice(state, event.target, event.leaving, event.retry_after, event.now)


def handle_relay_answered(state: GatewayState, event: RelayAnswered) -> None:
    """Take note of a leaving target whose answer came through another host."""
    if event.leaving_target:
        _record_notice(state, event.leaving_target, True, None, event.now)


def handle_tick(state: GatewayState, event: Ticked) -> None:
    """Forget notices that have no effect any more."""
    for name, notice in list(state.notices.items()):
        target = state.targets.get(name)
        if target is None:
            if event.now - max(notice.seen_at, notice.paused_until) > NOTICE_TTL_US:
                del state.notices[name]
            continue
        notice.seen_at = event.now
        is_over = not notice.leaving and event.now > notice.paused_until + seconds(10)
        if is_over or not notice.applies_to(target):
            del state.notices[name]


def find_next_return(state: GatewayState, targets: list[Target], now: int) -> int:
    """Return when the first of some targets takes requests again, 0 if none is paused.

    :param targets: targets that could serve a request but for their pauses.
    """
    ends = [
        notice.paused_until
        for target in targets
        if (notice := state.notices.get(target.name)) is not None
        and notice.applies_to(target)
        and notice.paused_until > now
    ]
    return min(ends, default=0)


def _record_notice(
    state: GatewayState, name: str, leaving: bool, retry_after: int | None, now: int
) -> None:
    target = state.targets.get(name)
    if target is None or not (leaving or retry_after):
        return
    notice = state.notices.get(name)
    if notice is None or not notice.applies_to(target):
        notice = TargetNotice(target.announcement.incarnation, now)
        state.notices[name] = notice
    if leaving and not notice.leaving:
        notice.leaving = True
        state.targets_epoch += 1
        state.perform(CloseIdleConnections(name))
        service = target.announcement.service
        state.report(TargetChanged(name, service, "leaving", "said so in an answer"))
    if retry_after:
        most = min(round(retry_after * MAX_JITTER_FRACTION), MAX_JITTER_US)
        end = now + retry_after + state.draw_random(most + 1)
        if end > notice.paused_until:
            notice.paused_until = end
            length = retry_after // MICROS_PER_MILLI
            state.report(TargetPaused(name, target.announcement.service, length))


EVENT_HANDLERS: dict[type[GatewayEvent], object] = {
    TargetAnswered: handle_target_answered,
    RelayAnswered: handle_relay_answered,
    ProbeEnded: handle_probe_ended,
    Ticked: handle_tick,
}

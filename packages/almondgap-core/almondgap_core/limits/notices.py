"""Notices: holders announce their partitions to other hosts.

Other failure domains learn from them where to send requests. Hosts of the same failure
domain get one when a holder changes, and read the lease rows soon after.
"""

from __future__ import annotations

from almondgap_core.effects import SendMessage
from almondgap_core.events import Tick
from almondgap_core.limits.events import LeaseLost, LeaseTaken
from almondgap_core.limits.leases import find_held
from almondgap_core.limits.messages import HoldingsNotice
from almondgap_core.limits.partitions import Partition
from almondgap_core.limits.state import AnnouncedHolder
from almondgap_core.state import HostState
from almondgap_core.units import seconds

#: Interval of notices without a change, and maximum jitter added to it.
NOTICE_INTERVAL_US = seconds(14)
NOTICE_JITTER_US = seconds(2)

#: Time over which hosts of the same failure domain spread their reads after a notice.
READ_SPREAD_US = seconds(0.5)


def handle_tick(state: HostState, event: Tick) -> None:
    """Send a notice at the interval, or at once when a holding changed."""
    leases = state.limits.leases
    if event.now < leases.next_notice:
        return
    jitter = state.draw(NOTICE_JITTER_US)
    leases.next_notice = event.now + NOTICE_INTERVAL_US + jitter
    notice = _make_notice(state, event.now)
    for entry in state.members.listed.values():
        outside = entry.failure_domain != state.failure_domain
        if entry.name != state.host and (
            leases.changed or (outside and notice.indexes)
        ):
            state.perform(SendMessage(entry.name, notice))
    leases.changed = False


def handle_holding_change(state: HostState, event: LeaseTaken | LeaseLost) -> None:
    """Send the next notice at once, also within the failure domain.

    Its hosts read the rows then, and may find a partition that is free.
    """
    state.limits.leases.next_notice = event.now
    state.limits.leases.changed = True


def handle_notice(
    state: HostState, host: str, message: HoldingsNotice, now: int
) -> None:
    """Record the holders; read the rows soon on a notice of this failure domain."""
    leases = state.limits.leases
    if message.failure_domain == state.failure_domain:
        leases.next_renewal = min(leases.next_renewal, now + state.draw(READ_SPREAD_US))
    holders = leases.announced_holders
    for index, epoch in zip(message.indexes, message.epochs, strict=False):
        partition = Partition(message.failure_domain, index)
        known = holders.get(partition)
        if known is None or (epoch, message.version) >= (known.epoch, known.version):
            holders[partition] = AnnouncedHolder(epoch, host, message.version)


def _make_notice(state: HostState, now: int) -> HoldingsNotice:
    leases = state.limits.leases
    held = [p for p in sorted(leases.own) if find_held(state, p, now) is not None]
    return HoldingsNotice(
        state.failure_domain,
        tuple(partition.index for partition in held),
        tuple(leases.own[partition].epoch for partition in held),
        state.limits.versions.in_effect,
    )


EVENT_HANDLERS = {
    Tick: handle_tick,
    LeaseTaken: handle_holding_change,
    LeaseLost: handle_holding_change,
}
MESSAGE_HANDLERS = {HoldingsNotice: handle_notice}

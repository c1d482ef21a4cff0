"""Heartbeats within a failure domain, and reports to the other ones.

Once per second a host sends its state, held partitions and load to every host of its
failure domain, and the sums over the failure domain to a few hosts of each other one.
"""

from __future__ import annotations

from almondgap_core.effects import SendMessage
from almondgap_core.events import HostsListed, Tick
from almondgap_core.limits.partitions import Partition
from almondgap_core.membership.directory import (
    check_digest,
    compute_digest,
    evict_expired_entries,
    list_held,
    record_holding,
)
from almondgap_core.membership.failure_detection import is_alive
from almondgap_core.membership.links import LINKS_PER_DOMAIN, list_links
from almondgap_core.membership.messages import DomainReport, Heartbeat
from almondgap_core.membership.state import Peer
from almondgap_core.membership.summary import (
    LoadSummary,
    ServiceLoad,
    merge_loads,
    pack_loads,
    unpack_loads,
)
from almondgap_core.state import HostState
from almondgap_core.steering.service_loads import measure_loads
from almondgap_core.units import MICROS_PER_MILLI, MICROS_PER_SECOND

HEARTBEAT_INTERVAL_US = MICROS_PER_SECOND


def handle_tick(state: HostState, event: Tick) -> None:
    """Send heartbeats and reports at the heartbeat interval."""
    members = state.members
    if event.now < members.next_heartbeat:
        return
    members.next_heartbeat = event.now + HEARTBEAT_INTERVAL_US
    loads = measure_loads(state, event.now)
    _send_heartbeats(state, loads, event.now)
    _send_reports(state, loads, event.now)
    evict_expired_entries(state, event.now)
    members.heartbeats_sent += 1


def handle_heartbeat(state: HostState, host: str, message: Heartbeat, now: int) -> None:
    """Record the sender's state; ignore a message of an earlier incarnation."""
    if not _record_peer(state, host, message, now):
        return
    state.members.peers[host].loads = unpack_loads(message.loads)
    for index, epoch in zip(message.held[::2], message.held[1::2], strict=False):
        partition = Partition(state.failure_domain, index)
        record_holding(state, partition, host, epoch, now)


def handle_report(state: HostState, host: str, message: DomainReport, now: int) -> None:
    """Record the load of another failure domain and check its directory digest."""
    entry = state.members.listed.get(host)
    if not _record_peer(state, host, message, now) or entry is None:
        return
    domain = entry.failure_domain
    services = merge_loads(unpack_loads(message.loads))
    age = max(message.age, 0) * MICROS_PER_MILLI
    state.members.summaries[domain] = LoadSummary(services, now, age)
    check_digest(state, host, domain, message.digest, now)


def handle_hosts_listed(state: HostState, event: HostsListed) -> None:
    """Record the platform's list of hosts."""
    state.members.listed = {entry.name: entry for entry in event.hosts}


def _record_peer(state: HostState, host: str, message, now: int) -> bool:
    known = state.members.peers.get(host)
    if known is not None and known.incarnation > message.incarnation:
        return False
    loads = known.loads if known and known.incarnation == message.incarnation else ()
    state.members.peers[host] = Peer(
        message.incarnation, now, message.version, message.stopping, loads
    )
    return True


def _send_heartbeats(state: HostState, loads: list[ServiceLoad], now: int) -> None:
    held = list_held(state, now)
    for partition, epoch in held:
        record_holding(state, partition, state.host, epoch, now)
    message = Heartbeat(
        state.incarnation,
        state.settings.version,
        state.stopping,
        tuple(value for part, epoch in held for value in (part.index, epoch)),
        pack_loads(loads),
    )
    for entry in state.members.listed.values():
        if entry.failure_domain == state.failure_domain and entry.name != state.host:
            state.perform(SendMessage(entry.name, message))


def _send_reports(state: HostState, loads: list[ServiceLoad], now: int) -> None:
    members = state.members
    summary = _summarize_domain(state, loads, now)
    members.summaries[state.failure_domain] = summary
    report = DomainReport(
        state.incarnation,
        state.settings.version,
        state.stopping,
        summary.age // MICROS_PER_MILLI,
        compute_digest(state, state.failure_domain),
        pack_loads(summary.services.values()),
    )
    turn = members.heartbeats_sent % LINKS_PER_DOMAIN
    links = list_links(state.host, state.failure_domain, members.listed, turn)
    for host in links:
        state.perform(SendMessage(host, report))


def _summarize_domain(
    state: HostState, loads: list[ServiceLoad], now: int
) -> LoadSummary:
    all_loads = list(loads)
    age = 0
    for name, peer in state.members.peers.items():
        entry = state.members.listed.get(name)
        if entry is None or entry.failure_domain != state.failure_domain:
            continue
        if is_alive(state, name, now):
            all_loads.extend(peer.loads)
            age = max(age, now - peer.heard)
    return LoadSummary(merge_loads(all_loads), now, age)


EVENT_HANDLERS = {Tick: handle_tick, HostsListed: handle_hosts_listed}
MESSAGE_HANDLERS = {Heartbeat: handle_heartbeat, DomainReport: handle_report}

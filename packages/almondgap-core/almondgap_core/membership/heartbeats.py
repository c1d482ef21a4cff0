"""Heartbeats: hosts tell each other that they are alive and what they have in force."""

from __future__ import annotations

from almondgap_core.effects import SendMessage
from almondgap_core.events import HostsListed, Tick
from almondgap_core.membership.messages import Heartbeat
from almondgap_core.membership.state import Peer
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_SECOND

HEARTBEAT_INTERVAL_US = MICROS_PER_SECOND


def handle_tick(state: HostState, event: Tick) -> None:
    """Send a heartbeat to every other host when it is time."""
    members = state.members
    if event.now < members.next_heartbeat:
        return
    members.next_heartbeat = event.now + HEARTBEAT_INTERVAL_US
    message = Heartbeat(state.incarnation, state.settings.version, state.stopping)
    for host in members.listed:
        if host != state.host:
            state.perform(SendMessage(host, message))


def handle_heartbeat(state: HostState, host: str, message: Heartbeat, now: int) -> None:
    """Note that the sender is alive; a past run of it is ignored."""
    known = state.members.peers.get(host)
    if known is not None and known.incarnation > message.incarnation:
        return
    state.members.peers[host] = Peer(
        message.incarnation, now, message.version, message.stopping
    )


def handle_hosts_listed(state: HostState, event: HostsListed) -> None:
    """Take over the platform's list of hosts."""
    state.members.listed = {entry.name: entry for entry in event.hosts}


EVENT_HANDLERS = {Tick: handle_tick, HostsListed: handle_hosts_listed}
MESSAGE_HANDLERS = {Heartbeat: handle_heartbeat}

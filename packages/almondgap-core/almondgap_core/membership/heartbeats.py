"""Heartbeats: hosts tell each other that they are alive and what they have in force."""

from __future__ import annotations

from almondgap_core.effects import SendMessage
from almondgap_core.events import HostsListed, PeerMessage, Tick
from almondgap_core.messages import Heartbeat
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_SECOND

HEARTBEAT_INTERVAL_US = MICROS_PER_SECOND


def handle_tick(state: HostState, event: Tick) -> None:
    """Send a heartbeat to every other host when it is time."""
    if event.now < state.next_heartbeat:
        return
    state.next_heartbeat = event.now + HEARTBEAT_INTERVAL_US
    phase = "stopping" if state.stopping else "serving"
    message = Heartbeat(state.incarnation, state.version, phase)
    for host in state.hosts:
        if host != state.host:
            state.perform(SendMessage(host, message))


def handle_peer_message(state: HostState, event: PeerMessage) -> None:
    """Note the sender's heartbeat."""
    if isinstance(event.message, Heartbeat):
        state.heartbeats[event.host] = event.now
        state.peer_versions[event.host] = event.message.version


def handle_hosts_listed(state: HostState, event: HostsListed) -> None:
    """Take over the platform's list of hosts."""
    state.hosts = {entry.name: entry for entry in event.hosts}

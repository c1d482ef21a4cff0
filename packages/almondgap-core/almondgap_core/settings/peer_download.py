"""Neighbours as the second source of the configuration."""

from __future__ import annotations

from almondgap_core.effects import LearnHosts, SendMessage
from almondgap_core.events import HostEntry, HostsListed, Tick
from almondgap_core.settings.messages import BodyPart, BodyRequest, HostsList
from almondgap_core.settings.rollout import apply_body
from almondgap_core.settings.state import Download
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_MILLI, MICROS_PER_SECOND

#: Most that a host waits to read the head once it heard of a greater version.
MAX_HEAD_READ_DELAY_US = 300 * MICROS_PER_MILLI

#: Time without contact after which the store counts as not reachable.
STORE_CONTACT_TIMEOUT_US = 5 * MICROS_PER_SECOND

#: Time that a new host listens for the greatest version among its neighbours.
PEER_DISCOVERY_US = 2 * MICROS_PER_SECOND

#: Silence after which a neighbour is not asked.
PEER_TIMEOUT_US = 10 * MICROS_PER_SECOND

MAX_PART_BYTES = 131_072
RETRY_US = 500 * MICROS_PER_MILLI
MAX_TRIES = 6

#: Longest body that is taken from a neighbour.
MAX_BODY_BYTES = 16_777_216


def handle_tick(state: HostState, event: Tick) -> None:
    """Read the head soon if a neighbour is ahead; without a store ask the neighbour."""
    settings = state.settings
    if settings.discovery_started_at is None:
        settings.discovery_started_at = event.now
    newest = _find_newest_peer(state, event.now)
    if newest is None:
        return
    if _is_store_reachable(state, event.now):
        soon = event.now + state.draw(MAX_HEAD_READ_DELAY_US)
        settings.next_head_read = min(settings.next_head_read, soon)
        return
    _continue_download(state, newest, event.now)


def handle_body_request(
    state: HostState, host: str, message: BodyRequest, now: int
) -> None:
    """Send a part of the body in force."""
    settings = state.settings
    if message.wants_hosts and state.members.listed:
        state.perform(SendMessage(host, _build_hosts_list(state)))
    if message.version != settings.version or not settings.body:
        return
    data = settings.body[max(message.start, 0) :][:MAX_PART_BYTES]
    part = BodyPart(
        settings.version, settings.body_name, message.start, len(settings.body), data
    )
    state.perform(SendMessage(host, part))


def handle_body_part(state: HostState, host: str, message: BodyPart, now: int) -> None:
    """Take in a part; put the body in force once it is whole."""
    download = state.settings.download
    if download is None or (download.host, download.version) != (host, message.version):
        return
    if message.start != len(download.data) or message.total > MAX_BODY_BYTES:
        return
    if download.name not in ("", message.name):
        state.settings.download = None
        return
    download.name = message.name
    download.data += message.data
    if len(download.data) < message.total:
        download.tries = 0
        _request_part(state, download, now)
        return
    state.settings.download = None
    apply_body(state, download.version, download.name, bytes(download.data))


def handle_hosts_list(state: HostState, host: str, message: HostsList, now: int):
    """Take over a neighbour's list of hosts if this host has none."""
    if state.members.listed:
        return
    entries = tuple(
        HostEntry(*columns)
        for columns in zip(
            message.names,
            message.failure_domains,
            message.addresses,
            message.caller_ports,
            message.peer_ports,
            strict=False,
        )
    )
    state.emit(HostsListed(now, entries))
    state.perform(LearnHosts(entries))


def _find_newest_peer(state: HostState, now: int) -> str | None:
    """Return the neighbour with the greatest version that is greater than ours."""
    best = None
    for name, peer in state.members.peers.items():
        if (
            peer.version <= state.settings.examined_version
            or now - peer.heard > PEER_TIMEOUT_US
        ):
            continue
        if best is None or peer.version > state.members.peers[best].version:
            best = name
    return best


def _is_store_reachable(state: HostState, now: int) -> bool:
    contact = state.settings.last_contact
    return contact is not None and now - contact <= STORE_CONTACT_TIMEOUT_US


def _continue_download(state: HostState, host: str, now: int) -> None:
    settings = state.settings
    if (
        settings.inventory is None
        and now < settings.discovery_started_at + PEER_DISCOVERY_US
    ):
        return
    version = state.members.peers[host].version
    download = settings.download
    if download is None or download.version < version:
        download = settings.download = Download(host, version, now)
    if now < download.next_try:
        return
    if download.tries >= MAX_TRIES:
        settings.download = None
        return
    _request_part(state, download, now)


def _request_part(state: HostState, download: Download, now: int) -> None:
    download.tries += 1
    download.next_try = now + RETRY_US
    wants_hosts = not state.members.listed
    request = BodyRequest(download.version, len(download.data), wants_hosts)
    state.perform(SendMessage(download.host, request))


def _build_hosts_list(state: HostState) -> HostsList:
    entries = list(state.members.listed.values())
    return HostsList(
        tuple(entry.name for entry in entries),
        tuple(entry.failure_domain for entry in entries),
        tuple(entry.address for entry in entries),
        tuple(entry.caller_port for entry in entries),
        tuple(entry.peer_port for entry in entries),
    )


EVENT_HANDLERS = {Tick: handle_tick}
MESSAGE_HANDLERS = {
    BodyRequest: handle_body_request,
    BodyPart: handle_body_part,
    HostsList: handle_hosts_list,
}

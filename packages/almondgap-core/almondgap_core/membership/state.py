"""What a host knows of the others."""

from __future__ import annotations

from attrs import Factory, define

from almondgap_core.events import HostEntry


@define
class Peer:
    """What another host last said.

    :ivar heard: time of its last heartbeat, in microseconds.
    :ivar version: configuration version in force there.
    """

    incarnation: int
    heard: int
    version: int
    stopping: bool


@define
class MembershipState:
    """Hosts of the fleet as one host sees them.

    :ivar listed: the platform's lagging list by name, this host included.
    :ivar peers: hosts that were heard, by name.
    """

    listed: dict[str, HostEntry] = Factory(dict)
    peers: dict[str, Peer] = Factory(dict)
    next_heartbeat: int = 0

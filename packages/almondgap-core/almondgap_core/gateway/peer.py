"""Another host of the fleet, as this one knows it."""

from __future__ import annotations

from attrs import define

from almondgap_core.gateway.heartbeats import Heartbeat, HostLocation


@define
class Peer:
    """Another host as seen from this one; times in microseconds.

    :ivar last_heard_at: when its last heartbeat arrived, None if none did yet.
    :ivar last_sent_at: when the last heartbeat was sent to it, None to send one at
        once.
    :ivar unresponsive: whether its heartbeats stopped arriving.
    :ivar stop_announced: whether it announced a planned stop, so that silence means
        that it has ended.
    :ivar departed: whether it no longer counts as a member: it has ended, or has been
        silent for a long time.
    :ivar discovered_at: when this host first learned of it.
    :ivar relayed: requests of this host that it has now.
    :ivar relay_backoff_until: when it may be handed requests again after it could not
        be reached.
    """

    location: HostLocation
    incarnation: int = 0
    heartbeat: Heartbeat | None = None
    last_heard_at: int | None = None
    last_sent_at: int | None = None
    unresponsive: bool = False
    stop_announced: bool = False
    departed: bool = False
    discovered_at: int = 0
    relayed: int = 0
    relay_backoff_until: int = 0

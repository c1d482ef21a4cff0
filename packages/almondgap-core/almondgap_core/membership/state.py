"""What a host knows of the others."""

from __future__ import annotations

from attrs import Factory, define

from almondgap_core.events import HostEntry
from almondgap_core.limits.partitions import Partition
from almondgap_core.membership.summary import LoadSummary, ServiceLoad


@define
class Peer:
    """What another host last said.

    :ivar heard: time of its last heartbeat, in microseconds.
    :ivar version: configuration version in force there.
    :ivar loads: what it sees of its own targets, empty if it never said.
    """

    incarnation: int
    heard: int
    version: int
    stopping: bool
    loads: tuple[ServiceLoad, ...] = ()


@define
class Holding:
    """One entry of the directory: who holds a partition.

    :ivar heard: when this was last confirmed, in microseconds.
    """

    host: str
    epoch: int
    heard: int


@define
class MembershipState:
    """Hosts of the fleet as one host sees them.

    :ivar listed: the platform's lagging list by name, this host included.
    :ivar peers: hosts that were heard, by name.
    :ivar heartbeats_sent: heartbeats sent so far.
    :ivar directory: holder of each partition as far as is known.
    :ivar summaries: latest load of each failure domain, this one included.
    """

    listed: dict[str, HostEntry] = Factory(dict)
    peers: dict[str, Peer] = Factory(dict)
    next_heartbeat: int = 0
    heartbeats_sent: int = 0
    directory: dict[Partition, Holding] = Factory(dict)
    summaries: dict[str, LoadSummary] = Factory(dict)

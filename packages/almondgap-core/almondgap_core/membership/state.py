"""State of membership: other hosts, holders of partitions and load summaries."""

from __future__ import annotations

from attrs import Factory, define

from almondgap_core.events import HostEntry
from almondgap_core.limits.partitions import Partition
from almondgap_core.membership.summary import LoadSummary, ServiceLoad


@define
class Peer:
    """Latest state that another host sent.

    :ivar incarnation: number of its run.
    :ivar heard: local time of its last heartbeat or report, in microseconds.
    :ivar version: configuration version in force there.
    :ivar stopping: whether its planned stop has begun.
    :ivar loads: loads of its own targets, empty if it sent no heartbeat.
    """

    incarnation: int
    heard: int
    version: int
    stopping: bool
    loads: tuple[ServiceLoad, ...] = ()


@define
class Holding:
    """Directory entry: the holder of a partition.

    :ivar epoch: fencing number of its lease.
    :ivar heard: local time of the last confirmation, in microseconds.
    """

    host: str
    epoch: int
    heard: int


@define
class MembershipState:
    """This host's view of the fleet.

    :ivar listed: the platform's list of hosts by name, including this host; it may lag.
    :ivar peers: hosts that sent heartbeats or reports, by name.
    :ivar next_heartbeat: time of the next heartbeat, in microseconds.
    :ivar heartbeats_sent: rounds of heartbeats sent so far.
    :ivar directory: known holders by partition.
    :ivar summaries: latest load of each failure domain, including this one.
    """

    listed: dict[str, HostEntry] = Factory(dict)
    peers: dict[str, Peer] = Factory(dict)
    next_heartbeat: int = 0
    heartbeats_sent: int = 0
    directory: dict[Partition, Holding] = Factory(dict)
    summaries: dict[str, LoadSummary] = Factory(dict)

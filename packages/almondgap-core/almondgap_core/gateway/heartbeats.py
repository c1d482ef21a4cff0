"""What hosts tell each other of themselves."""

from __future__ import annotations

from attrs import define, frozen


@frozen
class HostLocation:
    """Where a host is.

    :ivar callers: address at which callers reach it, with the port.
    :ivar peers: address at which other hosts reach it, with the port.
    """

    host: str
    failure_domain: str
    region: str
    caller_address: str
    peer_address: str


@frozen
class Heartbeat:
    """What a host tells of itself.

    :ivar incarnation: number of this run of the host, greater than earlier ones.
    :ivar sequence: number of the beat within the run.
    :ivar ready: whether callers may be sent to it.
    :ivar version: version of its configuration, 0 without one.
    """

    location: HostLocation
    incarnation: int
    sequence: int
    ready: bool
    version: int = 0


@define
class DecayingRate:
    """A rate as a moving average over some seconds, decaying while nothing comes.

    :ivar span: time that the average looks back, in microseconds.
    """

    time_constant: int
    rate: float = 0.0
    updated_at: int = 0

    def count(self, now: int) -> None:
        """Count one event."""
        self.rate = self.read(now) + 1_000_000 / self.time_constant
        self.updated_at = now

    def read(self, now: int) -> float:
        """Return events per second."""
        return self.rate * 2.0 ** (
            -(max(0, now - self.updated_at)) * 1.4427 / self.time_constant
        )

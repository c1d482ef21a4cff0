"""What hosts tell each other about themselves, and a decaying event rate."""

from __future__ import annotations

from attrs import define, frozen


@frozen
class HostLocation:
    """The name, position and addresses of a host.

    :ivar caller_address: address and port for callers.
    :ivar peer_address: address and port for other hosts.
    """

    host: str
    failure_domain: str
    region: str
    caller_address: str
    peer_address: str


@frozen
class Heartbeat:
    """A host's periodic message about its own state.

    :ivar incarnation: number of this run of the host, greater than that of earlier
        runs.
    :ivar sequence: number of the heartbeat within the run.
    :ivar ready: whether callers may be directed to it.
    :ivar version: version of its configuration, 0 if it has none.
    :ivar reaches_targets: whether it reaches any target.
    """

    location: HostLocation
    incarnation: int
    sequence: int
    ready: bool
    version: int = 0
    reaches_targets: bool = True


@frozen
class StoreView:
    """What a host has read of the store.

    :ivar versions: newest row version read of each table, in the order of
        ``StoreTable``.
    :ivar outages: number of outages of the store that the host has seen end.
    :ivar era: era of the store to which the versions belong.
    """

    host: str
    incarnation: int
    versions: tuple[int, ...]
    outages: int
    era: int = 0


@frozen
class AdvertisedLimit:
    """A rate limit that a target advertised in an answer to a host.

    :ivar incarnation: number of the target's run.
    :ivar rate: requests per second from all hosts together, infinity for no limit.
    :ivar age: time since the answer, in microseconds.
    """

    target: str
    incarnation: int
    rate: float
    age: int


@frozen
class AdvertisedLimits:
    """Rate limits of targets that a host sends to its peers."""

    host: str
    limits: tuple[AdvertisedLimit, ...]


@define
class DecayingRate:
    """An event rate as an exponentially decaying average.

    :ivar time_constant: time after which an event's weight has fallen to 1/e, in
        microseconds.
    :ivar rate: events per second at ``updated_at``.
    :ivar updated_at: time of the last event, in microseconds.
    """

    time_constant: int
    rate: float = 0.0
    updated_at: int = 0

    def count(self, now: int) -> None:
        """Count one event."""
        self.rate = self.read(now) + 1_000_000 / self.time_constant
        self.updated_at = now

    def read(self, now: int) -> float:
        """Return the current rate in events per second."""
        return self.rate * 2.0 ** (
            -(max(0, now - self.updated_at)) * 1.4427 / self.time_constant
        )

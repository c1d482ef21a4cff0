"""Load summaries: what failure domains say of the services whose targets they own."""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable, Mapping

from attrs import frozen

#: Integers that one service takes in a message.
FIELDS_PER_LOAD = 6


@frozen
class ServiceLoad:
    """Load of one service at one host, or added up over a failure domain.

    :ivar key: short digest of the service's name, see :func:`compute_key`.
    :ivar slots: slots of targets that take work; none of ejected ones.
    :ivar used: slots of these targets that are taken.
    :ivar waiting: requests that wait for a slot.
    :ivar admitted: slots granted per second.
    :ivar errors: attempts per second that failed at the targets.
    """

    key: int
    slots: int
    used: int
    waiting: int
    admitted: int
    errors: int

    def merge(self, other: ServiceLoad) -> ServiceLoad:
        """Return the sum of two loads of the same service."""
        return ServiceLoad(
            self.key,
            self.slots + other.slots,
            self.used + other.used,
            self.waiting + other.waiting,
            self.admitted + other.admitted,
            self.errors + other.errors,
        )

    def pack(self) -> tuple[int, ...]:
        """Return the load as integers, in the order of the fields."""
        counts = (self.slots, self.used, self.waiting, self.admitted, self.errors)
        return (self.key, *counts)


@frozen
class LoadSummary:
    """Load of a failure domain as it is known here.

    :ivar services: load by service key.
    :ivar heard: local time at which it was heard, in microseconds.
    :ivar age: how old it was by then, in microseconds.
    """

    services: Mapping[int, ServiceLoad]
    heard: int
    age: int

    def measure_age(self, now: int) -> int:
        """Return how old the summary is, in microseconds."""
        return now - self.heard + self.age

    def find_load(self, service: str) -> ServiceLoad | None:
        """Return the load of a service, or None if the domain owns no target of it."""
        return self.services.get(compute_key(service))


@functools.lru_cache(maxsize=4096)
def compute_key(service: str) -> int:
    """Return the 32-bit digest that stands for a service in messages.

    Digests mean the same under every configuration version, other than positions.
    """
    digest = hashlib.blake2b(service.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")


def pack_loads(loads: Iterable[ServiceLoad]) -> tuple[int, ...]:
    """Return loads as one row of integers for a message."""
    return tuple(value for load in loads for value in load.pack())


def unpack_loads(values: tuple[int, ...]) -> tuple[ServiceLoad, ...]:
    """Return the loads in a row of integers; a part at the end is dropped."""
    whole = len(values) - len(values) % FIELDS_PER_LOAD
    starts = range(0, whole, FIELDS_PER_LOAD)
    return tuple(ServiceLoad(*values[at : at + FIELDS_PER_LOAD]) for at in starts)


def merge_loads(loads: Iterable[ServiceLoad]) -> dict[int, ServiceLoad]:
    """Return the sum of loads by service key."""
    merged: dict[int, ServiceLoad] = {}
    for load in loads:
        known = merged.get(load.key)
        merged[load.key] = load if known is None else known.merge(load)
    return merged

"""Load summaries of services, per host and per failure domain.

Hosts send the load of the services whose targets they own. It is packed into integers
and summed per failure domain, so that messages stay small.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable, Mapping

from attrs import frozen

#: Integers per service in a message.
FIELDS_PER_LOAD = 6


@frozen
class ServiceLoad:
    """Load of one service on one host, or summed over a failure domain.

    :ivar key: digest of the service's name, see :func:`compute_key`.
    :ivar slots: slots of the targets that accept requests, without ejected ones.
    :ivar used: occupied slots of these targets.
    :ivar waiting: requests that wait for a slot.
    :ivar admitted: slots granted per second.
    :ivar errors: failed attempts per second.
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
    """Latest known load of a failure domain.

    :ivar services: load by service key.
    :ivar heard: local time of receipt, in microseconds.
    :ivar age: age at receipt, in microseconds.
    """

    services: Mapping[int, ServiceLoad]
    heard: int
    age: int

    def measure_age(self, now: int) -> int:
        """Return the age of the summary, in microseconds."""
        return now - self.heard + self.age

    def find_load(self, service: str) -> ServiceLoad | None:
        """Return the load of a service, None if the domain owns none of its targets."""
        return self.services.get(compute_key(service))


@functools.lru_cache(maxsize=4096)
def compute_key(service: str) -> int:
    """Return the 32-bit digest that identifies a service in messages.

    Unlike a position in the inventory, it is the same in every configuration version.
    """
    digest = hashlib.blake2b(service.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")


def pack_loads(loads: Iterable[ServiceLoad]) -> tuple[int, ...]:
    """Return loads as a flat tuple of integers for a message."""
    return tuple(value for load in loads for value in load.pack())


def unpack_loads(values: tuple[int, ...]) -> tuple[ServiceLoad, ...]:
    """Return the loads in a flat tuple of integers; an incomplete one is dropped."""
    whole = len(values) - len(values) % FIELDS_PER_LOAD
    starts = range(0, whole, FIELDS_PER_LOAD)
    return tuple(ServiceLoad(*values[at : at + FIELDS_PER_LOAD]) for at in starts)


def merge_loads(loads: Iterable[ServiceLoad]) -> dict[int, ServiceLoad]:
    """Return the sums of loads by service key."""
    merged: dict[int, ServiceLoad] = {}
    for load in loads:
        known = merged.get(load.key)
        merged[load.key] = load if known is None else known.merge(load)
    return merged

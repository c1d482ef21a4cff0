"""What a host keeps of the configuration."""

from __future__ import annotations

from attrs import Factory, define

from almondgap_core.settings.inventory import Inventory


@define
class HeadRead:
    """A read of the head row, or of the body that it names.

    :ivar sent_at: when the head row was read, in microseconds.
    :ivar version: version whose body is being read, 0 while the head is.
    :ivar name: name of that body.
    """

    number: int
    sent_at: int
    version: int = 0
    name: str = ""


@define
class Download:
    """A body that comes in parts from a neighbour."""

    host: str
    version: int
    next_try: int
    tries: int = 0
    name: str = ""
    data: bytearray = Factory(bytearray)


@define
class SettingsState:
    """The configuration in force and the one that is being read.

    :ivar version: configuration version in force, 0 before the first.
    :ivar examined_version: greatest version that was read whole, in force or rejected.
    :ivar rejected: what is wrong with ``examined_version``, empty if it is in force.
    :ivar withdrawn_keys: identifiers of keys that a rejected version no longer lists.
    :ivar body: the body in force, for neighbours.
    :ivar body_name: its name in the object store.
    :ivar last_contact: when the store was last read with success; None if never.
    :ivar head_read: the read under way, None if there is none.
    :ivar discovery_started_at: when this host began to look for a first configuration.
    """

    inventory: Inventory | None = None
    version: int = 0
    examined_version: int = 0
    rejected: str = ""
    withdrawn_keys: frozenset[str] = frozenset()
    body: bytes = b""
    body_name: str = ""
    last_contact: int | None = None
    head_read: HeadRead | None = None
    head_reads: int = 0
    next_head_read: int = 0
    download: Download | None = None
    discovery_started_at: int | None = None

"""State of the configuration on one host."""

from __future__ import annotations

from attrs import Factory, define

from almondgap_core.settings.inventory import Inventory


@define
class HeadRead:
    """A read of the head row and, if it names a newer version, of its body.

    :ivar number: number of the read, part of its ticket.
    :ivar sent_at: time at which the read of the head row was sent, in microseconds.
    :ivar version: version whose body is being read, 0 while reading the head row.
    :ivar name: name of that body in the object store.
    """

    number: int
    sent_at: int
    version: int = 0
    name: str = ""


@define
class Download:
    """Progress of downloading a configuration body from a peer.

    :ivar next_try: time at which the next part is requested again, in microseconds.
    :ivar tries: requests since the last part arrived.
    :ivar name: name of the body in the object store, empty before the first part.
    :ivar data: parts received so far.
    """

    host: str
    version: int
    next_try: int
    tries: int = 0
    name: str = ""
    data: bytearray = Factory(bytearray)


@define
class SettingsState:
    """The configuration in force, and reads of newer versions.

    :ivar version: configuration version in force, 0 before the first.
    :ivar examined_version: greatest version that was read completely, whether it is in
        force or was rejected.
    :ivar rejected: errors in ``examined_version``, empty if it is in force.
    :ivar withdrawn_keys: identifiers of keys that a rejected version no longer lists;
        they are refused although the older version in force has them.
    :ivar body: the body in force, kept to be sent to peers.
    :ivar body_name: name of that body in the object store.
    :ivar last_contact: time of the last successful read from the table service, in
        microseconds; None if there was none.
    :ivar head_read: the read in progress, None if there is none.
    :ivar head_reads: number of reads so far.
    :ivar next_head_read: time of the next read, in microseconds.
    :ivar discovery_started_at: time at which this host started to look for its first
        configuration, in microseconds.
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

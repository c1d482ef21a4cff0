"""Messages by which a host gets a configuration from a neighbour."""

from __future__ import annotations

from typing import ClassVar

from attrs import field, frozen
from attrs.validators import instance_of

from almondgap_core.messages import Message, integer, integers, register, text, texts


@register
@frozen
class BodyRequest(Message):
    """Send a part of the configuration body that you have in force.

    :ivar start: number of the first byte that is wanted.
    :ivar wants_hosts: whether the sender has no list of hosts.
    """

    kind: ClassVar[str] = "body-ask"

    version: int = integer()
    start: int = integer()
    wants_hosts: bool = field(validator=instance_of(bool))


@register
@frozen
class BodyPart(Message):
    """A part of a configuration body.

    :ivar name: name of the body in the object store, which is its digest.
    :ivar total: length of the whole body, in bytes.
    """

    kind: ClassVar[str] = "body-part"

    version: int = integer()
    name: str = text()
    start: int = integer()
    total: int = integer()
    data: bytes = field(validator=instance_of(bytes))


@register
@frozen
class HostsList(Message):
    """The list of hosts that the sender has, in columns."""

    kind: ClassVar[str] = "hosts-notice"

    names: tuple[str, ...] = texts()
    failure_domains: tuple[str, ...] = texts()
    addresses: tuple[str, ...] = texts()
    caller_ports: tuple[int, ...] = integers()
    peer_ports: tuple[int, ...] = integers()

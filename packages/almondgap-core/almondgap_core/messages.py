"""Messages between hosts: typed classes, encoded as msgpack arrays.

An encoded message holds its kind and then the values of its fields in order. The order
of fields is part of the protocol; their names are not encoded.
"""

from __future__ import annotations

from typing import ClassVar, TypeVar

import attrs
import msgpack
from attrs import field, frozen
from attrs.validators import deep_iterable, instance_of

from almondgap_core.exceptions import MessageError

#: Size limit of a message, in bytes; larger ones are rejected.
MAX_MESSAGE_BYTES = 262_144

M = TypeVar("M", bound="Message")


@frozen
class Message:
    """Base class of all messages.

    :cvar kind: name of the message type; first element of the encoded array.
    """

    kind: ClassVar[str] = ""


_KINDS: dict[str, type[Message]] = {}


def register(cls: type[M]) -> type[M]:
    """Register a message class with :func:`decode`; for use as a decorator.

    :raises ValueError: the kind is already registered.
    """
    if cls.kind in _KINDS:
        raise ValueError(f"message kind {cls.kind!r} is taken")
    _KINDS[cls.kind] = cls
    return cls


def text():
    """Return a field that holds a string."""
    return field(validator=instance_of(str))


def integer():
    """Return a field that holds an integer."""
    return field(validator=instance_of(int))


def texts():
    """Return a field that holds a tuple of strings."""
    return field(
        converter=_as_tuple,
        validator=deep_iterable(instance_of(str), instance_of(tuple)),
    )


def integers():
    """Return a field that holds a tuple of integers."""
    return field(
        converter=_as_tuple,
        validator=deep_iterable(instance_of(int), instance_of(tuple)),
    )


def _as_tuple(value):
    return tuple(value) if isinstance(value, list) else value


@register
@frozen
class Hello(Message):
    """First message on a connection; identifies and authenticates the sender.

    :ivar cluster: name of the fleet that the sender belongs to.
    :ivar incarnation: number of the sender's run; increases with every start.
    :ivar proof: keyed digest that proves knowledge of the fleet's secret.
    :ivar port: TCP port on which the sender accepts other hosts.
    """

    kind: ClassVar[str] = "hello"

    cluster: str = text()
    host: str = text()
    incarnation: int = integer()
    proof: bytes = field(validator=instance_of(bytes))
    port: int = integer()


def encode(message: Message) -> bytes:
    """Encode a message.

    :raises MessageError: a value cannot be encoded, such as an integer over 64 bits.
    """
    values = attrs.astuple(message, recurse=False)
    try:
        return msgpack.packb([message.kind, *values], use_bin_type=True)
    except (OverflowError, TypeError, ValueError) as exc:
        raise MessageError(f"{message!r}: {exc}") from exc


def decode(data: bytes) -> Message:
    """Decode a message.

    :raises MessageError: the data is malformed or of a kind that is not registered.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageError(f"{len(data)} bytes, at most {MAX_MESSAGE_BYTES} expected")
    try:
        parts = msgpack.unpackb(data, strict_map_key=True)
    except (ValueError, msgpack.UnpackException, RecursionError) as exc:
        raise MessageError(f"not msgpack: {exc}") from exc
    if not isinstance(parts, list) or not parts or not isinstance(parts[0], str):
        raise MessageError("expected an array that starts with the kind of message")
    cls = _KINDS.get(parts[0])
    if cls is None:
        raise MessageError(f"unknown kind of message {parts[0][:40]!r}")
    try:
        return cls(*parts[1:])
    except (TypeError, ValueError) as exc:
        raise MessageError(f"{cls.kind}: {exc}") from exc

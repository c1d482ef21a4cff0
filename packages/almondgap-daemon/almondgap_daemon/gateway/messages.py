"""Messages between hosts, in msgpack over datagrams.

A lost message does no harm: the next beat says more, and tokens that are lost are not
used. So messages need no stream, and a host that is silent holds nobody up.
"""

from __future__ import annotations

from collections.abc import Callable

import msgpack
from attrs import define, frozen
from twisted.internet.protocol import DatagramProtocol

from almondgap_core.exceptions import MessageError
from almondgap_core.gateway.beats import Beat, HostPlace

#: Number of the messages' layout. A host ignores layouts that it does not know.
FORMAT_VERSION = 1

#: Longest datagram that is read, in bytes.
MAX_DATAGRAM_BYTES = 60_000


@frozen
class TokenRequest:
    """A host asks for tokens of a client account.

    :ivar reply_to: where it hears the answer.
    """

    reply_to: str
    account: str
    request: int
    tokens: float


@frozen
class TokenResponse:
    """A host gives tokens of a client account, 0 if it has none to give."""

    account: str
    request: int
    tokens: float


#: Kinds of messages; the position of a kind is its number.
MESSAGE_TYPES = (Beat, TokenRequest, TokenResponse)


Message = Beat | TokenRequest | TokenResponse


def encode_message(message: Message) -> bytes:
    """Return the datagram of a message."""
    if isinstance(message, Beat):
        place = message.place
        fields = (
            (
                place.host,
                place.failure_domain,
                place.region,
                place.callers,
                place.peers,
            ),
            message.incarnation,
            message.sequence,
            message.ready,
            message.version,
        )
    elif isinstance(message, TokenRequest):
        fields = (message.reply_to, message.account, message.request, message.tokens)
    else:
        fields = (message.account, message.request, message.tokens)
    kind = MESSAGE_TYPES.index(type(message))
    return msgpack.packb((FORMAT_VERSION, kind, *fields), use_single_float=True)


def decode_message(data: bytes) -> Message:
    """Return the message in a datagram.

    :raises MessageError: it holds none.
    """
    try:
        format_version, kind, *fields = msgpack.unpackb(data, strict_map_key=True)
        if format_version != FORMAT_VERSION:
            raise ValueError(f"layout {format_version!r}")
        return _DECODERS[MESSAGE_TYPES[kind]](*fields)
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as exc:
        raise MessageError(f"no message: {exc!r}") from exc


def _decode_beat(place, incarnation, sequence, ready, version) -> Beat:
    return Beat(
        HostPlace(*(str(part) for part in place)),
        int(incarnation),
        int(sequence),
        bool(ready),
        int(version),
    )


_DECODERS = {
    Beat: _decode_beat,
    TokenRequest: lambda reply_to, account, request, tokens: TokenRequest(
        str(reply_to), str(account), int(request), float(tokens)
    ),
    TokenResponse: lambda account, request, tokens: TokenResponse(
        str(account), int(request), float(tokens)
    ),
}


@define(eq=False)
class MessageSocket(DatagramProtocol):
    """Sends and hears messages of hosts."""

    on_message: Callable[[Message], None]
    on_error: Callable[[str], None]

    def send(self, message: Message, *addresses: str) -> None:
        """Send a message to other hosts."""
        data = encode_message(message)
        for address in addresses:
            host, _, port = address.rpartition(":")
            try:
                self.transport.write(data, (host, int(port)))
            except (OSError, ValueError) as exc:
                self.on_error(f"message to {address}: {exc}")

    def datagramReceived(self, datagram: bytes, addr) -> None:  # noqa: N802
        """Hear a message."""
        if len(datagram) > MAX_DATAGRAM_BYTES:
            return
        try:
            message = decode_message(datagram)
        except MessageError as exc:
            self.on_error(f"datagram from {addr[0]}: {exc}")
            return
        self.on_message(message)

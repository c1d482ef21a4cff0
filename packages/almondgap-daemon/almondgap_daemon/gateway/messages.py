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
from almondgap_core.gateway.heartbeats import Heartbeat, HostLocation

#: Number of the messages' layout. A host ignores layouts that it does not know.
LAYOUT = 1

#: Longest datagram that is read, in bytes.
MOST_BYTES = 60_000


@frozen
class TokensQuestion:
    """A host asks for tokens of a client account.

    :ivar address: where it hears the answer.
    """

    address: str
    account: str
    question: int
    tokens: float


@frozen
class TokensAnswer:
    """A host gives tokens of a client account, 0 if it has none to give."""

    account: str
    question: int
    tokens: float


#: Kinds of messages; the position of a kind is its number.
KINDS = (Heartbeat, TokensQuestion, TokensAnswer)


Message = Heartbeat | TokensQuestion | TokensAnswer


def encode_message(message: Message) -> bytes:
    """Return the datagram of a message."""
    if isinstance(message, Heartbeat):
        place = message.location
        fields = (
            (
                place.host,
                place.failure_domain,
                place.region,
                place.caller_address,
                place.peer_address,
            ),
            message.incarnation,
            message.sequence,
            message.ready,
            message.version,
        )
    elif isinstance(message, TokensQuestion):
        fields = (message.address, message.account, message.question, message.tokens)
    else:
        fields = (message.account, message.question, message.tokens)
    kind = KINDS.index(type(message))
    return msgpack.packb((LAYOUT, kind, *fields), use_single_float=True)


def decode_message(data: bytes) -> Message:
    """Return the message in a datagram.

    :raises MessageError: it holds none.
    """
    try:
        layout, kind, *fields = msgpack.unpackb(data, strict_map_key=True)
        if layout != LAYOUT:
            raise ValueError(f"layout {layout!r}")
        return _DECODERS[KINDS[kind]](*fields)
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as exc:
        raise MessageError(f"no message: {exc!r}") from exc


def _decode_beat(place, incarnation, sequence, ready, version) -> Heartbeat:
    return Heartbeat(
        HostLocation(*(str(part) for part in place)),
        int(incarnation),
        int(sequence),
        bool(ready),
        int(version),
    )


_DECODERS = {
    Heartbeat: _decode_beat,
    TokensQuestion: lambda address, account, question, tokens: TokensQuestion(
        str(address), str(account), int(question), float(tokens)
    ),
    TokensAnswer: lambda account, question, tokens: TokensAnswer(
        str(account), int(question), float(tokens)
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
        if len(datagram) > MOST_BYTES:
            return
        try:
            message = decode_message(datagram)
        except MessageError as exc:
            self.on_error(f"datagram from {addr[0]}: {exc}")
            return
        self.on_message(message)

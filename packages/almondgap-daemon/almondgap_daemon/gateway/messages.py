"""Messages between hosts: msgpack over UDP datagrams.

Datagrams suffice because losing one is harmless: the next heartbeat carries newer
state, and tokens that are lost in transit are never spent. An unresponsive host does
not block its peers.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

import msgpack
from attrs import astuple, define, frozen
from twisted.internet.protocol import DatagramProtocol

from almondgap_core.exceptions import MessageError
from almondgap_core.gateway.heartbeats import (
    AdvertisedLimit,
    AdvertisedLimits,
    Heartbeat,
    HostLocation,
    StoreView,
)
from almondgap_core.gateway.suspects import Crash, SuspectReport, Suspects
from almondgap_daemon.fields import (
    check_address,
    check_count,
    check_flag,
    check_name,
    check_number,
    check_text,
)

#: Version of the message format. A host ignores messages of other versions.
FORMAT_VERSION = 1

#: Larger datagrams are ignored, in bytes.
MAX_DATAGRAM_BYTES = 60_000


@frozen
class TokenRequest:
    """Asks another host for tokens of a client account.

    :ivar reply_to: address to which the response is sent.
    :ivar correlation_id: number that the response repeats.
    """

    reply_to: str
    account: str
    correlation_id: int
    tokens: float


@frozen
class TokenResponse:
    """Transfers tokens of a client account; 0 tokens when none can be spared."""

    account: str
    correlation_id: int
    tokens: float


#: Message types by their number on the wire, which is the position in this tuple.
MESSAGE_TYPES = (
    Heartbeat,
    TokenRequest,
    TokenResponse,
    StoreView,
    AdvertisedLimits,
    Suspects,
)


Message = (
    Heartbeat | TokenRequest | TokenResponse | StoreView | AdvertisedLimits | Suspects
)


def encode_message(message: Message) -> bytes:
    """Return the datagram that carries a message."""
    if isinstance(message, Heartbeat):
        location = message.location
        fields = (
            (
                location.host,
                location.failure_domain,
                location.region,
                location.caller_address,
                location.peer_address,
            ),
            message.incarnation,
            message.sequence,
            message.ready,
            message.version,
        )
        if not message.reaches_targets:
            # Hosts of earlier releases ignore a heartbeat with this field.
            fields += (False,)
    elif isinstance(message, TokenRequest):
        fields = (
            message.reply_to,
            message.account,
            message.correlation_id,
            message.tokens,
        )
    elif isinstance(message, Suspects):
        fields = (message.host, [_encode_suspect(each) for each in message.reports])
    elif isinstance(message, StoreView):
        fields = astuple(message)
    elif isinstance(message, AdvertisedLimits):
        limits = [astuple(limit) for limit in message.limits]
        fields = (message.host, limits)
    else:
        fields = (message.account, message.correlation_id, message.tokens)
    kind = MESSAGE_TYPES.index(type(message))
    return msgpack.packb((FORMAT_VERSION, kind, *fields), use_single_float=True)


def decode_message(data: bytes) -> Message:
    """Return the message in a datagram.

    :raises MessageError: the datagram is malformed or of another version.
    """
    try:
        format_version, kind, *fields = msgpack.unpackb(data, strict_map_key=True)
        if format_version != FORMAT_VERSION:
            raise ValueError(f"unsupported format version {format_version!r}")
        return _DECODERS[MESSAGE_TYPES[kind]](*fields)
    except (
        ArithmeticError,
        IndexError,
        RecursionError,
        TypeError,
        ValueError,
        msgpack.UnpackException,
    ) as exc:
        raise MessageError(f"malformed message: {exc!r}") from exc


def _decode_heartbeat(
    location, incarnation, sequence, ready, version, reaches_targets=True
) -> Heartbeat:
    host, failure_domain, region, caller_address, peer_address = location
    return Heartbeat(
        HostLocation(
            check_name(host),
            check_text(failure_domain),
            check_text(region),
            check_address(caller_address),
            check_address(peer_address),
        ),
        check_count(incarnation),
        check_count(sequence),
        check_flag(ready),
        check_count(version),
        check_flag(reaches_targets),
    )


def _decode_advertised_limits(host, limits) -> AdvertisedLimits:
    return AdvertisedLimits(
        check_name(host), tuple(_decode_advertised_limit(*each) for each in limits)
    )


def _decode_advertised_limit(target, incarnation, rate, age) -> AdvertisedLimit:
    # Infinity says that the target has no limit any more.
    return AdvertisedLimit(
        check_name(target),
        check_count(incarnation),
        rate if rate == inf else check_number(rate),
        check_count(age),
    )


def _encode_suspect(report: SuspectReport) -> tuple:
    crashes = [
        (crash.target, crash.incarnation, crash in report.cleared)
        for crash in report.crashes
    ]
    return report.fingerprint, report.trials, crashes


def _decode_suspects(host, reports) -> Suspects:
    return Suspects(check_name(host), tuple(_decode_suspect(*each) for each in reports))


def _decode_suspect(fingerprint, trials, crashes) -> SuspectReport:
    known = [
        (Crash(check_name(target), check_count(incarnation)), check_flag(cleared))
        for target, incarnation, cleared in crashes
    ]
    return SuspectReport(
        check_text(fingerprint),
        tuple(crash for crash, _ in known),
        tuple(crash for crash, cleared in known if cleared),
        check_count(trials),
    )


_DECODERS = {
    AdvertisedLimits: _decode_advertised_limits,
    Heartbeat: _decode_heartbeat,
    Suspects: _decode_suspects,
    TokenRequest: lambda reply_to, account, correlation_id, tokens: TokenRequest(
        check_address(reply_to),
        check_text(account),
        check_count(correlation_id),
        check_number(tokens),
    ),
    StoreView: lambda host, incarnation, versions, outages, era=0: StoreView(
        check_name(host),
        check_count(incarnation),
        tuple(check_count(version) for version in versions),
        check_count(outages),
        check_count(era),
    ),
    TokenResponse: lambda account, correlation_id, tokens: TokenResponse(
        check_text(account), check_count(correlation_id), check_number(tokens)
    ),
}


@define(eq=False)
class MessageSocket(DatagramProtocol):
    """Sends and receives messages of hosts.

    :ivar on_message: called with each message.
    :ivar on_error: called with a description of a datagram that failed.
    """

    on_message: Callable[[Message], None]
    on_error: Callable[[str], None]

    def send(self, message: Message, *addresses: str) -> None:
        """Send a message to the given addresses."""
        data = encode_message(message)
        for address in addresses:
            host, _, port = address.rpartition(":")
            try:
                self.transport.write(data, (host, int(port)))
            except (ArithmeticError, OSError, ValueError) as exc:
                self.on_error(f"cannot send message to {address}: {exc}")

    def datagramReceived(self, datagram: bytes, addr) -> None:  # noqa: N802
        """Decode a datagram and pass its message on."""
        if len(datagram) > MAX_DATAGRAM_BYTES:
            return
        try:
            message = decode_message(datagram)
        except MessageError as exc:
            self.on_error(f"datagram from {addr[0]} ignored: {exc}")
            return
        self.on_message(message)

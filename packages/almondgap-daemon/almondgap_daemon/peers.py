"""Streams between hosts: length-prefixed msgpack messages over TCP or TLS.

A connection carries messages in one direction, from the host that opened it. A host
connects when it first has a message to send, and drops messages that it cannot send.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable

import structlog
from attrs import Factory, define
from twisted.internet import protocol
from twisted.internet.endpoints import (
    TCP4ClientEndpoint,
    connectProtocol,
    wrapClientTLS,
)
from twisted.protocols.basic import Int32StringReceiver
from twisted.protocols.policies import TimeoutMixin

from almondgap_core.exceptions import MessageError
from almondgap_core.messages import MAX_MESSAGE_BYTES, Hello, Message, decode, encode
from almondgap_daemon.tls import list_dns_names

log = structlog.get_logger(__name__)

CONNECT_TIMEOUT_S = 2

#: Time-out for the first message of a connection, in seconds.
HELLO_TIMEOUT_S = 5

#: Limit of messages queued while connecting; the oldest are dropped first.
MAX_QUEUED_MESSAGES = 256


def compute_proof(secret: str, cluster: str, host: str, incarnation: int) -> bytes:
    """Return the HMAC that proves a host's membership of the fleet in its hello."""
    text = f"{cluster}\0{host}\0{incarnation}"
    return hmac.new(secret.encode(), text.encode(), hashlib.sha256).digest()


class PeerReceiver(Int32StringReceiver, TimeoutMixin):
    """The accepting side of a stream.

    :ivar on_message: called with the peer's name and each message.
    :ivar on_peer: called with the peer's name, address and port after its hello.
    :ivar peer: name of the peer, None before its hello.
    """

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(
        self,
        cfg,
        on_message: Callable[[str, Message], None],
        on_peer: Callable[[str, str, int], None],
    ) -> None:
        self.cfg = cfg
        self.on_message = on_message
        self.on_peer = on_peer
        self.peer: str | None = None

    def connectionMade(self) -> None:
        """Start the time-out for the hello."""
        self.setTimeout(HELLO_TIMEOUT_S)

    def connectionLost(self, reason) -> None:
        """Cancel the time-out."""
        self.setTimeout(None)

    def timeoutConnection(self) -> None:
        """Disconnect a peer that sent no hello."""
        log.warning("peer refused", peer=self.peer, error="no hello")
        self.transport.abortConnection()

    def stringReceived(self, data: bytes) -> None:
        """Handle the hello or a message; disconnect on an invalid one."""
        try:
            message = decode(data)
            if self.peer is None:
                self._accept(message)
            else:
                self.on_message(self.peer, message)
        except MessageError as exc:
            log.warning("peer refused", peer=self.peer, error=str(exc))
            self.transport.abortConnection()

    def lengthLimitExceeded(self, length: int) -> None:
        """Disconnect a peer whose length prefix exceeds the limit."""
        log.warning("peer refused", peer=self.peer, error=f"message of {length} bytes")
        self.transport.abortConnection()

    def _accept(self, message: Message) -> None:
        if not isinstance(message, Hello):
            raise MessageError("first message is not a hello")
        expected = compute_proof(
            self.cfg.peer_secret, self.cfg.cluster, message.host, message.incarnation
        )
        if message.cluster != self.cfg.cluster:
            raise MessageError(f"host of another fleet {message.cluster[:40]!r}")
        if not hmac.compare_digest(expected, message.proof):
            raise MessageError("wrong proof")
        if self.cfg.peers.files is not None:
            self._check_certificate(message.host)
        self.peer = message.host
        self.setTimeout(None)
        self.on_peer(message.host, self.transport.getPeer().host, message.port)

    def _check_certificate(self, host: str) -> None:
        names = list_dns_names(self.transport.getPeerCertificate())
        if host not in names:
            raise MessageError(f"certificate for {names}, not for {host!r}")


class PeerReceiverFactory(protocol.ServerFactory):
    """Creates the accepting side of streams."""

    noisy = False

    def __init__(
        self,
        cfg,
        on_message: Callable[[str, Message], None],
        on_peer: Callable[[str, str, int], None],
    ) -> None:
        self.cfg = cfg
        self.on_message = on_message
        self.on_peer = on_peer

    def buildProtocol(self, addr) -> PeerReceiver:
        """Return the protocol of a new connection."""
        return PeerReceiver(self.cfg, self.on_message, self.on_peer)


class PeerSender(Int32StringReceiver):
    """The opening side of a stream."""

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self, link: Link) -> None:
        self.link = link
        self.paused = False

    def connectionMade(self) -> None:
        """Register for notifications of a full send buffer."""
        self.transport.registerProducer(self, True)

    def pauseProducing(self) -> None:
        """Drop messages while the send buffer is full."""
        self.paused = True

    def resumeProducing(self) -> None:
        """Resume sending messages."""
        self.paused = False

    def stopProducing(self) -> None:
        """Do nothing: the connection is closed."""

    def connectionLost(self, reason) -> None:
        """Let the link reconnect when the next message is sent."""
        self.link.sender = None

    def stringReceived(self, data: bytes) -> None:
        """Abort the connection: streams are one-way."""
        self.transport.abortConnection()


@define
class Link:
    """The stream to one other host.

    :ivar sender: the connection, None while disconnected.
    :ivar queue: encoded messages that wait for the connection.
    """

    address: str
    port: int
    sender: PeerSender | None = None
    connecting: bool = False
    queue: list[bytes] = Factory(list)


@define
class PeerLinks:
    """The streams to all other hosts.

    :ivar sent_bytes: bytes of messages sent, to check the budget of control traffic.
    """

    reactor: object
    cfg: object
    incarnation: int
    links: dict[str, Link] = Factory(dict)
    sent_bytes: int = 0
    sent_messages: int = 0

    def set_address(self, host: str, address: str, port: int) -> None:
        """Set the address of another host; a change closes the old stream."""
        link = self.links.get(host)
        if link is not None and (link.address, link.port) == (address, port):
            return
        self.drop(host)
        self.links[host] = Link(address, port)

    def add_peer(self, host: str, address: str, port: int) -> None:
        """Add a host that opened a stream to this one, unless it is known."""
        if host not in self.links:
            self.links[host] = Link(address, port)

    def drop(self, host: str) -> None:
        """Remove a host and close the stream to it."""
        link = self.links.pop(host, None)
        if link is not None and link.sender is not None:
            link.sender.transport.unregisterProducer()
            link.sender.transport.loseConnection()

    def send(self, host: str, message: Message) -> None:
        """Send a message, or drop it if the host's address is unknown."""
        link = self.links.get(host)
        if link is None:
            return
        data = encode(message)
        if link.sender is not None:
            self._write(link, data)
            return
        link.queue.append(data)
        del link.queue[:-MAX_QUEUED_MESSAGES]
        if not link.connecting:
            self._connect(host, link)

    def close(self) -> None:
        """Close all streams."""
        for host in list(self.links):
            self.drop(host)

    def _connect(self, host: str, link: Link) -> None:
        link.connecting = True
        pending = connectProtocol(self._make_endpoint(host, link), PeerSender(link))
        pending.addCallbacks(
            lambda sender: self._on_connected(link, sender),
            lambda _: self._on_connect_failed(link),
        )

    def _make_endpoint(self, host: str, link: Link):
        endpoint = TCP4ClientEndpoint(
            self.reactor,
            link.address,
            link.port,
            timeout=CONNECT_TIMEOUT_S,
            bindAddress=(self.cfg.peers.address, 0),
        )
        files = self.cfg.peers.files
        if files is None:
            return endpoint
        return wrapClientTLS(files.read().make_client_options(host), endpoint)

    def _on_connected(self, link: Link, sender: PeerSender) -> None:
        link.connecting = False
        link.sender = sender
        proof = compute_proof(
            self.cfg.peer_secret, self.cfg.cluster, self.cfg.host, self.incarnation
        )
        hello = Hello(
            self.cfg.cluster,
            self.cfg.host,
            self.incarnation,
            proof,
            self.cfg.peers.port,
        )
        queue, link.queue = link.queue, []
        for data in [encode(hello), *queue]:
            self._write(link, data)

    def _on_connect_failed(self, link: Link) -> None:
        link.connecting = False
        link.queue.clear()

    def _write(self, link: Link, data: bytes) -> None:
        if link.sender.paused:
            return
        self.sent_bytes += len(data)
        self.sent_messages += 1
        link.sender.sendString(data)

"""A proxy on loopback that delays, resets, cuts and silences connections."""

from __future__ import annotations

import time

from attrs import Factory, define, evolve, field, frozen
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory

#: Time in which a server that crashed starts again, in seconds.
RESTART_S = 2.0

#: Connections that wait to be accepted.
BACKLOG = 256


@frozen
class LinkFaults:
    """What goes wrong on a link.

    :ivar delay_s: added to whatever passes, each way.
    :ivar drops_requests: bytes to the server vanish.
    :ivar drops_answers: bytes to the client vanish.
    :ivar refuses: new connections are reset.
    """

    delay_s: float = 0.0
    drops_requests: bool = False
    drops_answers: bool = False
    refuses: bool = False


@define(eq=False)
class Link:
    """A port on loopback that leads to another one.

    :ivar faults: what goes wrong now; it holds for open connections too.
    :ivar deadly: bytes of requests that crash the server, which then accepts no
        connections for some time.
    :ivar crashes: when that happened, each with the request's head.
    """

    reactor: IReactorTCP
    listens: tuple[str, int]
    server: tuple[str, int]
    faults: LinkFaults = Factory(LinkFaults)
    pairs: set[Pair] = Factory(set)
    port: object = None
    deadly: bytes = b""
    crashes: list[tuple[float, bytes]] = Factory(list)

    def open(self) -> None:
        """Begin to listen."""
        factory = ServerFactory.forProtocol(lambda: Pair(self).near)
        factory.noisy = False
        host, port = self.listens
        self.port = self.reactor.listenTCP(port, factory, BACKLOG, host)

    def close(self) -> None:
        """End all connections, and listen no more."""
        self.reset()
        if self.port is not None:
            self.port.stopListening()

    def crash(self, head: bytes) -> None:
        """Act as if the server had ended, until it has started again."""
        self.crashes.append((time.monotonic(), head))
        port, self.port = self.port, None
        if port is not None:
            # The port must be closed when the hosts try to connect once more.
            port.stopListening().addBoth(lambda _: self.reset())
            self.reactor.callLater(RESTART_S, self.open)

    def change(self, **changes) -> None:
        """Change what goes wrong."""
        self.faults = evolve(self.faults, **changes)

    def heal(self) -> None:
        """Let everything pass; what was dropped stays lost, so its connections end."""
        dropped = self.faults.drops_requests or self.faults.drops_answers
        self.faults = LinkFaults()
        if dropped:
            self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for pair in list(self.pairs):
            pair.abort()


@define(eq=False)
class Pair:
    """A connection of a client, and the one to the server that carries it on."""

    link: Link
    near: End = field(init=False)
    far: End = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.near = End(self, "drops_requests")
        self.far = End(self, "drops_answers")
        self.near.other, self.far.other = self.far, self.near

    def begin(self) -> None:
        """Connect to the server for a client that has come."""
        if self.link.faults.refuses:
            self.near.transport.abortConnection()
            return
        self.link.pairs.add(self)
        factory = ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda _: self.far
        factory.clientConnectionFailed = lambda *_: self.abort()
        self.link.reactor.connectTCP(*self.link.server, factory)

    def abort(self) -> None:
        """Reset both connections."""
        self.link.pairs.discard(self)
        for end in (self.near, self.far):
            if end.transport is not None:
                end.transport.abortConnection()


class End(Protocol):
    """One of the two connections of a pair."""

    other: End

    def __init__(self, pair: Pair, drops: str) -> None:
        self.pair = pair
        self.drops = drops
        self.waiting: list[bytes] = []
        self.due = 0.0
        self.open = False

    def connectionMade(self) -> None:
        """Take over what came before the connection stood."""
        self.open = True
        if self is self.pair.near:
            self.pair.begin()
        waiting, self.waiting = self.waiting, []
        for data in waiting:
            self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:
        """Pass bytes on, late or never if that is what goes wrong."""
        link = self.pair.link
        if link.deadly and self is self.pair.near and link.deadly in data:
            link.crash(data)
            return
        if getattr(link.faults, self.drops):
            return
        now = link.reactor.seconds()
        # Bytes stay in order when a delay ends.
        self.due = max(self.due, now + link.faults.delay_s)
        if self.due > now:
            link.reactor.callLater(self.due - now, self.other.write, data)
        else:
            self.other.write(data)

    def write(self, data: bytes) -> None:
        """Send bytes as soon as the connection stands."""
        if self.open:
            self.transport.write(data)
        else:
            self.waiting.append(data)

    def connectionLost(self, reason) -> None:
        """End the other connection once all bytes have passed."""
        self.pair.link.pairs.discard(self.pair)
        reactor = self.pair.link.reactor
        wait = max(0.0, self.due - reactor.seconds())
        reactor.callLater(wait, self.other.end)

    def end(self) -> None:
        """Close the connection after what is written."""
        if self.transport is not None:
            self.transport.loseConnection()

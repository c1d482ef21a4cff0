"""Open connections of a server, within a limit.

Handles callers that keep many connections idle while others connect: each connection
takes a descriptor, and a host without any can neither accept callers nor connect to
targets. Beyond the limit, the connection that was idle for longest makes room.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import Protocol

from attrs import Factory, define

#: Fraction of the limit from which connections close after their current response.
CROWDED_FRACTION = 0.9

#: Number of connections among which an idle one is looked for.
MAX_EXAMINED = 64


class Connection(Protocol):
    """A connection of a server."""

    busy: bool

    def close_idle(self) -> None:
        """Close the connection unless it is busy."""


@define
class ConnectionTable:
    """Open connections, the least recently active first.

    :ivar limit: maximum number of connections, None for no limit.
    """

    limit: int | None = None
    _connections: dict[Connection, None] = Factory(dict)

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(self) -> Iterator[Connection]:
        return iter(list(self._connections))

    @property
    def is_crowded(self) -> bool:
        """Whether connections should close after their current response."""
        return self.limit is not None and len(self) >= self.limit * CROWDED_FRACTION

    def add(self, conn: Connection) -> bool:
        """Add a new connection, and return whether there is room for it."""
        while self.limit is not None and len(self) >= self.limit:
            examined = islice(self._connections, MAX_EXAMINED)
            idle = next((each for each in examined if not each.busy), None)
            if idle is None:
                return False
            idle.close_idle()
            self.discard(idle)
        self._connections[conn] = None
        return True

    def touch(self, conn: Connection) -> None:
        """Record that a connection was active."""
        if conn in self._connections:
            del self._connections[conn]
            self._connections[conn] = None

    def discard(self, conn: Connection) -> None:
        """Remove a connection."""
        self._connections.pop(conn, None)

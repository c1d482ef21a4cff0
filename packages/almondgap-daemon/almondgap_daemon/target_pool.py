"""Pool of persistent connections to targets.

The size is bounded so that all hosts together stay within a target's connections. A
faulty target may write an answer twice; if the second copy is taken for the answer to
the next request, another caller gets it. Connections are therefore used again only for
targets whose answers name their request.
"""

from __future__ import annotations

from twisted.web.client import Agent, HTTPConnectionPool

from almondgap_core.state import HostState
from almondgap_core.steering.connections import compute_max_idle_connections

CONNECT_TIMEOUT_S = 1.0

#: Upper bound of idle connections to one target; a host has no use for more.
MAX_IDLE_PER_TARGET = 32


class TargetPool:
    """Sizes a connection pool by the configuration and the number of hosts.

    :ivar http: the pool of connections that are used again.
    """

    def __init__(self, reactor) -> None:
        self.http = HTTPConnectionPool(reactor, persistent=False)
        self.http.retryAutomatically = False
        self._pooled = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self.http)
        self._unpooled = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S)
        self._naming: set[tuple[str, int]] = set()
        self._inventory: object | None = None
        self._hosts = 0

    def choose_agent(self, address: str, port: int) -> Agent:
        """Return the agent for the next request to a target."""
        return self._pooled if (address, port) in self._naming else self._unpooled

    def record_answer(self, address: str, port: int, named: bool) -> None:
        """Note whether a target's latest answer named the request that it got."""
        if named:
            self._naming.add((address, port))
        else:
            self._naming.discard((address, port))

    def update(self, state: HostState) -> None:
        """Apply the current bound; a lower bound closes all idle connections.

        Twisted's pool compares its size with the bound for equality, so that it must
        never hold more connections than the bound.
        """
        hosts = len(state.members.listed)
        if state.inventory is self._inventory and hosts == self._hosts:
            return
        self._inventory = state.inventory
        self._hosts = hosts
        bound = 0
        if state.inventory is not None:
            bound = min(
                compute_max_idle_connections(state.inventory, hosts),
                MAX_IDLE_PER_TARGET,
            )
        if self.http.persistent and bound < self.http.maxPersistentPerHost:
            self.http.closeCachedConnections()
        self.http.persistent = bound > 0
        self.http.maxPersistentPerHost = max(bound, 1)

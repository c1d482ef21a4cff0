"""Pool of persistent connections to targets.

The size is bounded so that all hosts together stay within a target's connections.
"""

from __future__ import annotations

from twisted.web.client import HTTPConnectionPool

from almondgap_core.state import HostState
from almondgap_core.steering.connections import compute_idle_bound

#: Upper bound of idle connections to one target; a host has no use for more.
MAX_IDLE_PER_TARGET = 32


class TargetPool:
    """Sizes a connection pool by the configuration and the number of hosts.

    :ivar http: the pool that the HTTP agent uses.
    """

    def __init__(self, reactor) -> None:
        self.http = HTTPConnectionPool(reactor, persistent=False)
        self.http.retryAutomatically = False
        self._inventory: object | None = None
        self._hosts = 0

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
            bound = min(compute_idle_bound(state.inventory, hosts), MAX_IDLE_PER_TARGET)
        if self.http.persistent and bound < self.http.maxPersistentPerHost:
            self.http.closeCachedConnections()
        self.http.persistent = bound > 0
        self.http.maxPersistentPerHost = max(bound, 1)

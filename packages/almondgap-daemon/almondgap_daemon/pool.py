"""The pool of connections to targets, bounded so that all hosts together fit."""

from __future__ import annotations

from twisted.web.client import HTTPConnectionPool

from almondgap_core.state import HostState
from almondgap_core.steering.connections import compute_max_idle_connections

#: Idle connections to one target that are of use to one host.
MOST_IDLE = 32


class TargetPool:
    """Adjusts a pool to the configuration and the number of hosts.

    :ivar http: the pool for an agent.
    """

    def __init__(self, reactor) -> None:
        self.http = HTTPConnectionPool(reactor, persistent=False)
        self.http.retryAutomatically = False
        self._inventory: object | None = None
        self._hosts = 0

    def adjust(self, state: HostState) -> None:
        """Take over the bound that holds now; a lower one closes what is idle.

        The pool compares for equality, so that it must never hold more than its bound.
        """
        hosts = len(state.members.listed)
        if state.inventory is self._inventory and hosts == self._hosts:
            return
        self._inventory = state.inventory
        self._hosts = hosts
        bound = 0
        if state.inventory is not None:
            bound = min(compute_max_idle_connections(state.inventory, hosts), MOST_IDLE)
        if self.http.persistent and bound < self.http.maxPersistentPerHost:
            self.http.closeCachedConnections()
        self.http.persistent = bound > 0
        self.http.maxPersistentPerHost = max(bound, 1)

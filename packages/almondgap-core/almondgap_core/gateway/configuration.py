"""The configuration in force: routes, services and client accounts."""

from __future__ import annotations

from attrs import Factory, define, frozen


@frozen
class Backend:
    """A service among those that share a route's requests.

    :ivar weight: share of the requests, in relation to the other weights.
    """

    service: str
    weight: float = 1.0


@frozen
class Route:
    """Where requests for a host name and path prefix go.

    :ivar idempotent: whether a request may run more than once.
    :ivar timeout: longest time that a caller is kept waiting, in microseconds.
    :ivar goal: response time that callers hope for, in microseconds.
    :ivar priority: rank, 0 is the most urgent.
    :ivar max_attempts: most targets to which one request is sent.
    :ivar public: whether no key is needed.
    :ivar sticky: whether targets serve an object faster that they served lately.
    :ivar regions: regions in which requests may be served, empty for all.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout: int
    goal: int
    priority: int
    backends: tuple[Backend, ...]
    max_attempts: int = 1
    public: bool = False
    sticky: bool = False
    regions: frozenset[str] = frozenset()


@frozen
class Service:
    """What all targets of a service have in common.

    :ivar health_path: path that answers whether a target is healthy.
    :ivar connections: most connections to one target, from all hosts together.
    :ivar cold_time: how long a target is cold after its start, in microseconds.
    :ivar cold_rate: requests per second that a cold target bears, from all hosts.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 100
    warmup_time: int = 0
    warmup_rate: float = 0.0


@frozen
class Account:
    """A client account.

    :ivar priority: rank that goes before the route's, None to keep that.
    :ivar rate: requests per second over all hosts, 0 without a limit.
    :ivar burst: requests beyond the rate that may come at once.
    :ivar regions: regions in which its requests may be served, empty for all.
    """

    name: str
    keys: frozenset[str] = frozenset()
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    regions: frozenset[str] = frozenset()


@frozen
class CallerLimits:
    """What callers may send, and how long they may take; times in microseconds."""

    header_bytes: int = 16_384
    body_bytes: int = 8_388_608
    header_timeout: int = 3_000_000
    idle_timeout: int = 15_000_000


@define
class Configuration:
    """One accepted version of what the operators want.

    :ivar version: number that grows with every accepted change.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = Factory(dict)
    accounts: dict[str, Account] = Factory(dict)
    limits: CallerLimits = Factory(CallerLimits)
    _routes_by_host: dict[str, list[Route]] = Factory(dict)
    _accounts_by_key: dict[str, Account] = Factory(dict)

    def __attrs_post_init__(self) -> None:
        for route in sorted(self.routes, key=lambda route: -len(route.prefix)):
            self._routes_by_host.setdefault(route.host.lower(), []).append(route)
        for account in self.accounts.values():
            for key in account.keys:
                self._accounts_by_key[key] = account

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_account(self, key: str) -> Account | None:
        """Return the client account that holds a key."""
        return self._accounts_by_key.get(key)

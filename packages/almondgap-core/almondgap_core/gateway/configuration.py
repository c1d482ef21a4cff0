"""The configuration: routes, services and client accounts."""

from __future__ import annotations

from attrs import Factory, define, frozen


@frozen
class Backend:
    """One of the services that share a route's requests.

    :ivar weight: share of the requests, relative to the other weights.
    """

    service: str
    weight: float = 1.0


@frozen
class Route:
    """Where requests for a host name and path prefix go.

    :ivar idempotent: whether a request may run more than once.
    :ivar timeout: maximum time until a caller gets an answer, in microseconds.
    :ivar goal: latency goal for answers, in microseconds.
    :ivar priority: priority of the requests, 0 is the most urgent.
    :ivar max_attempts: maximum number of targets to which one request is sent.
    :ivar public: whether requests need no API key.
    :ivar sticky: whether targets serve objects faster that they have in their caches.
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
    """Settings that all targets of a service have in common.

    :ivar health_path: path of the health check.
    :ivar max_connections: maximum connections to one target, from all hosts together.
    :ivar warmup_time: warm-up time of a target after its start, in microseconds.
    :ivar warmup_rate: requests per second that a target can take during its warm-up,
        from all hosts together.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 100
    warmup_time: int = 0
    warmup_rate: float = 0.0


@frozen
class Account:
    """A client account.

    :ivar priority: overrides the route's priority unless None.
    :ivar rate: requests per second over all hosts, 0 for no limit.
    :ivar burst: requests beyond the rate that may arrive at once.
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
    """Size and time limits for callers' requests; times in microseconds."""

    header_bytes: int = 16_384
    body_bytes: int = 8_388_608
    header_timeout: int = 3_000_000
    idle_timeout: int = 15_000_000


@define
class Configuration:
    """One accepted version of the operators' configuration.

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
        """Return the route with the longest matching prefix, None if there is none."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_account(self, key: str) -> Account | None:
        """Return the client account that owns a key, None if there is none."""
        return self._accounts_by_key.get(key)

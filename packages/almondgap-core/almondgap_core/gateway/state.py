"""The state of a gateway, as its reducer sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

from almondgap_core.gateway.configuration import Account, Configuration, Route
from almondgap_core.gateway.effects import GatewayEffect, Log
from almondgap_core.gateway.heartbeats import Heartbeat, HostLocation
from almondgap_core.gateway.reports import Report
from almondgap_core.gateway.retry_budget import RetryBudget
from almondgap_core.gateway.target import DecayingAverage, Target
from almondgap_core.gateway.token_bucket import TokenBucket, Tolerance
from almondgap_core.units import seconds

if TYPE_CHECKING:
    from almondgap_core.gateway.token_requests import PendingTokenRequest


@frozen
class Bounds:
    """What the platform's operators allow all hosts together; times in microseconds.

    :ivar retry_ratio: repeated sends for each request of a service.
    :ivar retry_burst: repeated sends beyond that.
    :ivar return_time: how long entries of living targets may be missing after the
        store was away.
    """

    retry_ratio: float = 0.2
    retry_burst: float = 20.0
    reannounce_time: int = seconds(2)
    tolerance: Tolerance = Factory(Tolerance)


@define
class Call:
    """A caller's request that this host works on.

    :ivar expires: when it gets an answer in any case.
    :ivar deadline: when its caller stops waiting.
    :ivar sends: targets to which it was sent, in order.
    :ivar connects: targets to which no connection came about.
    :ivar attempt: number of the attempt that runs now, 0 if none does.
    :ivar may_have_run: whether an attempt may have run at a target.
    :ivar sent_at: when the attempt that runs now was sent.
    :ivar expected_warm: time in which its answer was expected if the target keeps the
        object warm, in microseconds.
    :ivar known_warm: whether this host sent the object to that target lately.
    """

    number: int
    request_id: str
    arrived_at: int
    expires_at: int
    caller_deadline: int
    route: Route
    account: Account | None
    service: str
    affinity_key: str
    sent_to: list[str] = Factory(list)
    failed_connects: int = 0
    attempt: int = 0
    may_have_run: bool = False
    sent_at: int = 0
    expected_if_cached: int = 0
    sent_recently: bool = False

    @property
    def account_name(self) -> str:
        """Name of the client account, empty without one."""
        return self.account.name if self.account else ""

    @property
    def target(self) -> str:
        """Target of the newest attempt, empty before the first."""
        return self.sent_to[-1] if self.sent_to else ""


@define
class Peer:
    """Another host as this one knows it.

    :ivar heard: when it last told something, None if never.
    :ivar told: when this host last told it something, None if it is to hear at once.
    :ivar lost: whether it fell silent.
    :ivar stopped: whether it said that it stops, so that it ends when it is silent.
    :ivar gone: whether it counts no more: it has ended, or was silent for long.
    :ivar met: when this host first learned of it.
    """

    location: HostLocation
    incarnation: int = 0
    heartbeat: Heartbeat | None = None
    last_heard_at: int | None = None
    last_sent_at: int | None = None
    unresponsive: bool = False
    stop_announced: bool = False
    departed: bool = False
    discovered_at: int = 0


@define
class GatewayState:
    """Everything that a gateway knows and decides from.

    :ivar regions: region of each failure domain.
    :ivar token_waits: requests that wait for tokens, by client account.
    :ivar question: number of the last question for tokens.
    :ivar work: time that a target takes for a request of a route, without waiting.
    :ivar hosts_listed: whether the store listed the hosts.
    :ivar serving_since: when the host had its first configuration.
    :ivar members_epoch: number that changes whenever the hosts that count do.
    :ivar holders: hosts that hold an account's limit, as long as that epoch lasts.
    :ivar epoch: number that changes whenever the set of usable targets does.
    :ivar ranks: targets in order for an object, as long as the epoch lasts.
    :ivar late: targets that the store no longer holds, and when they count as gone.
    """

    location: HostLocation
    incarnation: int
    regions: dict[str, str]
    bounds: Bounds = Factory(Bounds)
    seed: int = 1
    stopping: bool = False
    configuration: Configuration | None = None
    serving_since: int = 0
    evacuated: frozenset[str] = frozenset()
    targets: dict[str, Target] = Factory(dict)
    targets_epoch: int = 0
    rank_cache: dict[tuple, tuple[int, list[Target]]] = Factory(dict)
    missing_targets: dict[str, int] = Factory(dict)
    store_lost: int | None = None
    store_regained: int | None = None
    peers: dict[str, Peer] = Factory(dict)
    hosts_listed: bool = False
    membership_epoch: int = 0
    holders_cache: dict[tuple[str, int], tuple] = Factory(dict)
    heartbeat_sequence: int = 0
    next_heartbeat_at: int = 0
    calls: dict[int, Call] = Factory(dict)
    token_buckets: dict[str, TokenBucket] = Factory(dict)
    token_requests: dict[str, PendingTokenRequest] = Factory(dict)
    last_correlation_id: int = 0
    retry_budgets: dict[str, RetryBudget] = Factory(dict)
    service_times: dict[str, DecayingAverage] = Factory(dict)
    backend_credit: dict[str, dict[str, float]] = Factory(dict)
    effects: list[GatewayEffect] = Factory(list)

    @property
    def ready(self) -> bool:
        """Whether callers may be sent to this host."""
        return self.configuration is not None and not self.stopping

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 without one."""
        return self.configuration.version if self.configuration else 0

    def perform(self, effect: GatewayEffect) -> None:
        """Add an effect to those that the step returns."""
        self.effects.append(effect)

    def report(self, report: Report) -> None:
        """Add a line to the log."""
        self.effects.append(Log(report))

    def draw_random(self, bound: int) -> int:
        """Return the next pseudo-random integer from 0 to ``bound`` - 1."""
        self.seed = (self.seed * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.seed >> 33) % bound

    def find_region(self, failure_domain: str) -> str:
        """Return the region of a failure domain; an unknown one is its own region."""
        return self.regions.get(failure_domain, failure_domain)

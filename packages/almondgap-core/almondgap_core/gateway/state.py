"""The state of a gateway, which the reducer reads and updates.

Holds the configuration in force, the known targets and peers, the requests in flight
and the token buckets. A host that restarts learns it again from the store and from
heartbeats.
"""

from __future__ import annotations

from attrs import Factory, define, frozen

from almondgap_core.gateway.call import Call, PendingTokenRequest
from almondgap_core.gateway.configuration import Configuration
from almondgap_core.gateway.effects import GatewayEffect, Log
from almondgap_core.gateway.events import CallArrived
from almondgap_core.gateway.heartbeats import HostLocation
from almondgap_core.gateway.peer import Peer
from almondgap_core.gateway.reports import Report
from almondgap_core.gateway.retry_budget import RetryBudget
from almondgap_core.gateway.store_knowledge import StoreKnowledge
from almondgap_core.gateway.suspects import LostTarget, Suspect
from almondgap_core.gateway.target import (
    Announcement,
    DecayingAverage,
    FailureShare,
    Target,
    TargetNotice,
)
from almondgap_core.gateway.token_bucket import TokenBucket, Tolerance
from almondgap_core.units import seconds


@frozen
class Bounds:
    """Limits that the platform's operators set for all hosts together.

    :ivar retry_ratio: retries allowed per request of a service.
    :ivar retry_burst: retries allowed beyond that ratio.
    :ivar reannounce_time: how long announcements of living targets may be missing after
        an outage of the store, in microseconds.
    :ivar tolerance: how far the rate limit of a client account may be exceeded.
    """

    retry_ratio: float = 0.2
    retry_burst: float = 20.0
    reannounce_time: int = seconds(2)
    tolerance: Tolerance = Factory(Tolerance)


@define
class GatewayState:
    """Everything that the decisions of a gateway are based on.

    :ivar regions: region of each failure domain.
    :ivar seed: state of the pseudo-random generator.
    :ivar stops_at: when the process ends at the latest in a planned stop.
    :ivar stop_accepts_until: until when requests are accepted that may not be answered
        before the process ends.
    :ivar started_at: when the host started, in microseconds.
    :ivar early_arrivals: requests that arrived before the store was read, by number.
    :ivar behind_since: since when peers have had a newer configuration, None if not.
    :ivar outdated: whether the configuration must not be used for that reason.
    :ivar serving_since: when the first configuration came into force, in microseconds.
    :ivar evacuated: failure domains that must receive no requests.
    :ivar listed_evacuations: failure domains that the store lists as evacuated.
    :ivar evacuations_held_until: when an evacuation ends that a restored store does not
        list.
    :ivar targets_epoch: changes whenever the set of usable targets does.
    :ivar rank_cache: targets in order of preference for an object, with the epoch for
        which the order holds.
    :ivar region_weights_cache: weight of a slot in each region by service and allowed
        regions, with the epoch for which it holds.
    :ivar notices: what targets said of themselves in answers, by name.
    :ivar missing_targets: targets that the store no longer lists, with the time at
        which they are dropped.
    :ivar departed_targets: last announcements of targets that were removed a short time
        ago, with the time of the removal.
    :ivar outdated_announcements: incarnation and sequence of the last announcements of
        targets that had left when the store was restored from a copy.
    :ivar store_lost: when the store stopped answering, None while it answers.
    :ivar store_regained: when the store last came back, None if it was never lost.
    :ivar store_knowledge: what this host and its peers have read of the store.
    :ivar hosts_listed: whether the list of hosts was read from the store.
    :ivar membership_epoch: changes whenever the set of member hosts does.
    :ivar holders_cache: hosts that hold the limit of an account, with the epoch for
        which the answer holds.
    :ivar limit_orders: position of this host among those in charge of a target, and
        their number, by target, with the epoch for which they hold.
    :ivar limits_changed: whether a target's rate limit is to be sent to peers.
    :ivar next_returns: when the next caller may return that the rate limits of a
        service's targets leave no room for, by service.
    :ivar token_requests: requests that wait for tokens of a peer, by client account.
    :ivar last_correlation_id: correlation id of the latest token request.
    :ivar service_times: service time of a cached object, by route; excludes queueing.
    :ivar failure_shares: share of failures at all targets, by service.
    :ivar suspects: requests that were in progress at targets that crashed, by
        fingerprint.
    :ivar cleared_suspects: fingerprints of those that were cleared since the last tick.
    :ivar lost_targets: targets that broke off requests and may have crashed, by name.
    :ivar last_contact_at: when a target last answered this host or accepted a
        connection.
    :ivar partitioned_since: since when this host reaches no target, None if it does.
    :ivar unreached: targets to which no connection could be established, with the time.
    :ivar reached: targets that accepted a connection during the partition.
    :ivar targets_silent: whether the latest try to connect to one got no answer, so
        that each costs the time-out.
    :ivar checking: targets to which a connection is being tried.
    :ivar failed_checks: number of such tries in a row that failed.
    :ivar backend_credit: credit of each service in the weighted round robin of a route.
    :ivar last_event_at: time of the latest event, in microseconds.
    :ivar effects: effects of the current step.
    """

    location: HostLocation
    incarnation: int
    regions: dict[str, str]
    bounds: Bounds = Factory(Bounds)
    seed: int = 1
    stopping: bool = False
    stops_at: int = 0
    stop_accepts_until: int = 0
    configuration: Configuration | None = None
    started_at: int = 0
    early_arrivals: dict[int, CallArrived] = Factory(dict)
    behind_since: int | None = None
    outdated: bool = False
    serving_since: int = 0
    evacuated: frozenset[str] = frozenset()
    listed_evacuations: frozenset[str] = frozenset()
    evacuations_held_until: int = 0
    targets: dict[str, Target] = Factory(dict)
    targets_epoch: int = 0
    rank_cache: dict[tuple, tuple[int, list[Target]]] = Factory(dict)
    region_weights_cache: dict[tuple, tuple[int, dict[str, float]]] = Factory(dict)
    notices: dict[str, TargetNotice] = Factory(dict)
    missing_targets: dict[str, int] = Factory(dict)
    departed_targets: dict[str, tuple[Announcement, int]] = Factory(dict)
    outdated_announcements: dict[str, tuple[int, int]] = Factory(dict)
    store_lost: int | None = None
    store_regained: int | None = None
    store_knowledge: StoreKnowledge = Factory(StoreKnowledge)
    peers: dict[str, Peer] = Factory(dict)
    hosts_listed: bool = False
    membership_epoch: int = 0
    holders_cache: dict[tuple[str, int], tuple] = Factory(dict)
    limit_orders: dict[str, tuple[int, int, int]] = Factory(dict)
    limits_changed: bool = False
    next_returns: dict[str, int] = Factory(dict)
    heartbeat_sequence: int = 0
    next_heartbeat_at: int = 0
    calls: dict[int, Call] = Factory(dict)
    token_buckets: dict[str, TokenBucket] = Factory(dict)
    token_requests: dict[str, PendingTokenRequest] = Factory(dict)
    last_correlation_id: int = 0
    retry_budgets: dict[str, RetryBudget] = Factory(dict)
    service_times: dict[str, DecayingAverage] = Factory(dict)
    failure_shares: dict[str, FailureShare] = Factory(dict)
    suspects: dict[str, Suspect] = Factory(dict)
    cleared_suspects: set[str] = Factory(set)
    lost_targets: dict[str, LostTarget] = Factory(dict)
    last_contact_at: int = 0
    partitioned_since: int | None = None
    unreached: dict[str, int] = Factory(dict)
    reached: set[str] = Factory(set)
    targets_silent: bool = False
    checking: set[str] = Factory(set)
    failed_checks: int = 0
    backend_credit: dict[str, dict[str, float]] = Factory(dict)
    last_event_at: int = 0
    effects: list[GatewayEffect] = Factory(list)

    @property
    def ready(self) -> bool:
        """Whether callers may be directed to this host."""
        is_current = self.configuration is not None and not self.outdated
        return is_current and not self.stopping

    @property
    def has_silent_peers(self) -> bool:
        """Whether hosts that count as members cannot be heard."""
        return any(
            peer.unresponsive and not peer.departed for peer in self.peers.values()
        )

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    def announce_at_once(self, now: int) -> None:
        """Send a heartbeat to all hosts with the next tick."""
        for peer in self.peers.values():
            peer.last_sent_at = 0
        self.next_heartbeat_at = now

    def perform(self, effect: GatewayEffect) -> None:
        """Add an effect to the result of the current step."""
        self.effects.append(effect)

    def report(self, report: Report) -> None:
        """Add a line to the log."""
        self.effects.append(Log(report))

    def draw_random(self, bound: int) -> int:
        """Return the next pseudo-random integer from 0 to ``bound`` - 1."""
        self.seed = (self.seed * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.seed >> 33) % bound

    def find_region(self, failure_domain: str) -> str:
        """Return the region of a failure domain; an unknown domain is its own."""
        return self.regions.get(failure_domain, failure_domain)

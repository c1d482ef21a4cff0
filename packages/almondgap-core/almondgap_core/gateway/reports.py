"""All events that a gateway writes to its log.

The class names the event, and its fields are the inputs of the decision. Durations are
in milliseconds. No field ever contains an API key.
"""

from __future__ import annotations

from attrs import frozen


@frozen
class Report:
    """Base class of all reports."""


@frozen
class RequestPlaced(Report):
    """A request was sent to a target.

    :ivar attempt: number of the attempt, from 1.
    :ivar region: region of the target.
    :ivar affinity_key: key of the object that the request concerns.
    :ivar rank: position of the target in the object's order of preference, from 0.
    :ivar sent_recently: whether this host sent the object there a short time ago.
    :ivar load: estimated number of requests at the target.
    :ivar load_age_ms: age of the target's last load report, -1 if it made none.
    :ivar expected_ms: expected latency.
    :ivar left_ms: time left for the request.
    :ivar version: version of the configuration in force.
    """

    request: str
    route: str
    account: str
    attempt: int
    target: str
    region: str
    affinity_key: str
    rank: int
    sent_recently: bool
    load: float
    load_age_ms: int
    expected_ms: int
    left_ms: int
    version: int


@frozen
class RequestAnswered(Report):
    """A target's answer was forwarded to the caller.

    :ivar idempotent: whether the request may run more than once.
    :ivar target_ms: time from sending the last attempt to its answer.
    :ivar fetched: whether that time suggests that the target had to fetch the object.
    :ivar waiting: requests that waited at the target when it answered, -1 if unknown.
    :ivar late: whether the answer missed the route's latency goal on this host.
    """

    request: str
    account: str
    service: str
    idempotent: bool
    target: str
    status: int
    took_ms: int
    target_ms: int
    fetched: bool
    waiting: int
    late: bool
    attempts: int


@frozen
class RequestRefused(Report):
    """This host answered on behalf of a target.

    :ivar target: target of the last attempt, empty if there was none.
    :ivar verdict: whether the request may have run.
    :ivar cause: what led to the refusal, for people.
    :ivar retry_after_ms: retry delay that the caller was given, None if none.
    """

    request: str
    route: str
    account: str
    service: str
    target: str
    idempotent: bool
    status: int
    reason: str
    verdict: str
    cause: str
    retry_after_ms: int | None
    took_ms: int
    attempts: int
    version: int


@frozen
class AttemptLost(Report):
    """An attempt at a target ended without a usable answer.

    :ivar failure: how it failed.
    :ivar verdict: whether the request may have run there.
    :ivar fingerprint: the same for each repetition of the request at any host.
    """

    request: str
    target: str
    attempt: int
    failure: str
    verdict: str
    took_ms: int
    fingerprint: str


@frozen
class RequestRetried(Report):
    """A request is retried at another target.

    :ivar after: failure of the previous attempt.
    :ivar budget: retries left for the service on this host.
    """

    request: str
    attempt: int
    after: str
    budget: float


@frozen
class RetryDenied(Report):
    """A request was not retried because the retry budget is exhausted."""

    request: str
    service: str
    budget: float


@frozen
class CallerGone(Report):
    """A caller closed its connection before its answer was ready.

    :ivar cancelled: whether the target was told to stop.
    """

    request: str
    target: str
    cancelled: bool
    took_ms: int


@frozen
class TargetChanged(Report):
    """This host's view of a target changed.

    :ivar state: new, ready, draining, gone, down, up, cold or ignored.
    :ivar cause: what was observed.
    :ivar silent_ms: time since this host last reached any target, None if it is not
        known.
    """

    target: str
    service: str
    state: str
    cause: str
    silent_ms: int | None = None


@frozen
class TargetLimitChanged(Report):
    """A target advertised another rate limit in its answers, or none any more.

    :ivar rate: requests per second from all hosts together, None for no limit.
    :ivar previous: the rate before, None for no limit.
    :ivar source: host that got the answer.
    """

    target: str
    service: str
    rate: float | None
    previous: float | None
    source: str


@frozen
class TargetPaused(Report):
    """A target that turned a request away wants none of this host for some time.

    :ivar pause_ms: that time, which this host keeps.
    """

    target: str
    service: str
    pause_ms: int


@frozen
class TargetCrashed(Report):
    """A target broke off requests and refuses connections.

    :ivar requests: number of requests of this host that were in progress there.
    """

    target: str
    requests: int


@frozen
class RequestSuspected(Report):
    """What is known about a request in progress at targets that crashed has changed.

    :ivar crashes: number of crashes since a target last answered it.
    :ivar quarantined: whether it is refused.
    :ivar trials: number of times it was sent while in quarantine.
    :ivar source: host that observed the change.
    """

    fingerprint: str
    crashes: int
    quarantined: bool
    trials: int
    source: str


@frozen
class ReachabilityChanged(Report):
    """This host reaches no target any more, or some again.

    :ivar unreached: number of targets to which no connection could be established.
    :ivar silent_ms: time since it last reached any target, or length of the partition.
    """

    reaches_targets: bool
    unreached: int
    silent_ms: int


@frozen
class RequestRelayed(Report):
    """A request was handed over to another host, since this one reaches no target.

    :ivar left_ms: time left for the request.
    """

    request: str
    peer: str
    left_ms: int


@frozen
class RelayAnswerForwarded(Report):
    """The answer of the host that got a request was forwarded to the caller."""

    request: str
    peer: str
    status: int
    took_ms: int


@frozen
class ConfigurationChanged(Report):
    """Another version of the configuration is in force on this host."""

    version: int
    previous: int
    routes: int
    accounts: int


@frozen
class EvacuationChanged(Report):
    """The set of evacuated failure domains changed."""

    failure_domains: tuple[str, ...]


@frozen
class HostChanged(Report):
    """This host's view of a peer changed.

    :ivar silent_ms: time since the peer's previous heartbeat.
    """

    peer: str
    state: str
    silent_ms: int


@frozen
class StoreChanged(Report):
    """The platform's store was lost or came back."""

    state: str
    cause: str


@frozen
class TableBehind(Report):
    """Another host has read newer rows of a table, so it is read again.

    :ivar version: newest row version that this host has read.
    :ivar claimed: version that the other host has read.
    :ivar behind_ms: time since this host first heard of a newer version.
    """

    table: str
    version: int
    claimed: int
    behind_ms: int


@frozen
class ClaimRefuted(Report):
    """The store does not have the row version that a peer claims to have read."""

    peer: str
    table: str
    claimed: int


@frozen
class StopBegun(Report):
    """A planned stop began.

    :ivar running: number of requests in progress.
    """

    running: int

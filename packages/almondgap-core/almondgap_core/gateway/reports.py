"""Everything a gateway reports to its log, declared once.

The class names the event and its fields the inputs of the decision. Ages and delays are
in milliseconds. No field ever holds a key.
"""

from __future__ import annotations

from attrs import frozen


@frozen
class Report:
    """Base of all reports."""


@frozen
class RequestPlaced(Report):
    """A request was sent to a target.

    :ivar attempt: number of the attempt, from 1.
    :ivar region: where the target is.
    :ivar load: requests that the target was thought to have.
    :ivar load_age_ms: age of what the target last told of its load.
    :ivar expected_ms: time in which an answer was expected.
    :ivar left_ms: time that the request had left.
    :ivar version: version of the configuration it was decided by.
    """

    request: str
    route: str
    account: str
    attempt: int
    target: str
    region: str
    load: float
    load_age_ms: int
    expected_ms: int
    left_ms: int
    version: int


@frozen
class RequestAnswered(Report):
    """A target's answer was passed on.

    :ivar idempotent: whether the request may run more than once.
    """

    request: str
    account: str
    service: str
    idempotent: bool
    target: str
    status: int
    took_ms: int
    attempts: int


@frozen
class RequestRefused(Report):
    """This host answered in place of a target.

    :ivar verdict: whether the request may have run.
    :ivar cause: what decided, in words.
    :ivar retry_after_ms: when the caller was told to come back, None if not told.
    """

    request: str
    route: str
    account: str
    service: str
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
    """A target gave no usable answer to an attempt.

    :ivar failure: how it failed.
    :ivar verdict: whether the request may have run there.
    """

    request: str
    target: str
    attempt: int
    failure: str
    verdict: str
    took_ms: int


@frozen
class RequestRetried(Report):
    """A request goes to another target after a failed attempt.

    :ivar budget: retries that the service had left on this host.
    """

    request: str
    attempt: int
    after: str
    budget: float


@frozen
class RetryDenied(Report):
    """A request was not sent again although it could have been."""

    request: str
    service: str
    budget: float


@frozen
class CallerGone(Report):
    """A caller closed its connection before its answer.

    :ivar cancelled: whether the target was told to stop.
    """

    request: str
    target: str
    cancelled: bool
    took_ms: int


@frozen
class TargetChanged(Report):
    """What this host believes of a target changed.

    :ivar state: new, ready, draining, gone, down, up, cold or ignored.
    :ivar cause: what was seen.
    """

    target: str
    service: str
    state: str
    cause: str


@frozen
class ConfigurationChanged(Report):
    """Another version of the configuration is in force on this host."""

    version: int
    previous: int
    routes: int
    accounts: int


@frozen
class EvacuationChanged(Report):
    """The failure domains whose targets get nothing changed."""

    failure_domains: tuple[str, ...]


@frozen
class HostChanged(Report):
    """What this host believes of another host changed."""

    host: str
    state: str
    silent_ms: int


@frozen
class StoreChanged(Report):
    """The platform's store was lost or regained."""

    state: str
    cause: str


@frozen
class StopBegun(Report):
    """A planned stop began."""

    running: int

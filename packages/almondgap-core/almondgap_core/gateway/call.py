"""A caller's request in progress on a host, and those that wait for tokens."""

from __future__ import annotations

from attrs import Factory, define

from almondgap_core.gateway.configuration import Account, Route
from almondgap_core.gateway.peer import Peer
from almondgap_core.verdict import Refusal


@define
class Call:
    """A caller's request in progress on this host; times in microseconds.

    :ivar expires_at: when it is answered at the latest, whatever its state.
    :ivar caller_deadline: when its caller stops waiting.
    :ivar fingerprint: identifies repetitions of the request by its client account at
        any host, empty if unknown.
    :ivar has_token: whether it took a token of its client account here.
    :ivar sent_to: names of the targets to which it was sent, in order.
    :ivar failed_connects: attempts that failed before a connection was established.
    :ivar attempt: number of the attempt in flight, 0 if there is none.
    :ivar may_have_run: whether an attempt may have run at a target.
    :ivar sent_at: when the attempt in flight was sent.
    :ivar expected_if_cached: expected latency of that attempt if the target has the
        object in its cache.
    :ivar sent_recently: whether this host sent the object to that target a short time
        ago.
    :ivar is_relayed: whether another host handed it over.
    :ivar prior_attempts: number of targets to which that host sent it before.
    :ivar relayed_to: hosts to which this one handed it over, in order.
    :ivar relay_host: host that has it now, empty if none does.
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
    fingerprint: str = ""
    has_token: bool = False
    sent_to: list[str] = Factory(list)
    failed_connects: int = 0
    attempt: int = 0
    may_have_run: bool = False
    sent_at: int = 0
    expected_if_cached: int = 0
    sent_recently: bool = False
    is_relayed: bool = False
    prior_attempts: int = 0
    relayed_to: list[str] = Factory(list)
    relay_host: str = ""

    @property
    def relays(self) -> int:
        """Number of hosts to which it was handed over."""
        return len(self.relayed_to)

    @property
    def account_name(self) -> str:
        """Name of the client account, empty if there is none."""
        return self.account.name if self.account else ""

    @property
    def target(self) -> str:
        """Name of the target of the latest attempt, empty before the first."""
        return self.sent_to[-1] if self.sent_to else ""


@define
class PendingTokenRequest:
    """Requests of one account that wait for tokens of other hosts.

    :ivar calls: waiting requests, each with its refusal if no token arrives.
    :ivar donors: hosts to ask next.
    :ivar asked_host: host that was asked last.
    :ivar requested: number of tokens requested from it.
    :ivar correlation_id: id of the token request in progress.
    """

    calls: list[tuple[Call, Refusal]]
    donors: list[Peer]
    asked_host: str = ""
    requested: float = 0.0
    correlation_id: int = 0

"""Simulation of gateways and targets in virtual time, to replay load patterns.

The gateways run the real reducer. Targets, callers and the network are models: a target
has slots, a queue and a cache of objects, and messages between processes have a latency
and can be lost.
"""

from __future__ import annotations

import random

from attrs import Factory, define, evolve, field

from almondgap_core.gateway.configuration import Configuration
from almondgap_core.gateway.effects import (
    Abandon,
    Cancel,
    CheckConnection,
    CloseIdleConnections,
    Deliver,
    GrantTokens,
    Log,
    Probe,
    ReadSuspects,
    Refuse,
    Relay,
    RequestTokens,
    SaveSuspect,
    Send,
    SendAdvertisedLimits,
    SendHeartbeat,
    SendSuspects,
    StartExpiryTimer,
    StartTokenTimer,
)
from almondgap_core.gateway.events import (
    AdvertisedLimitsReceived,
    AttemptFailed,
    CallArrived,
    CallerLeft,
    CallExpired,
    ConfigurationRead,
    ConnectionChecked,
    Failure,
    GatewayEvent,
    HeartbeatReceived,
    ProbeEnded,
    RelayAnswered,
    SuspectsReceived,
    TargetAnnounced,
    TargetAnswered,
    TargetsRead,
    TargetWithdrawn,
    Ticked,
    TokensGranted,
    TokensRequested,
    TokensTimedOut,
)
from almondgap_core.gateway.fleet import register_peers
from almondgap_core.gateway.reducer import step
from almondgap_core.gateway.state import Bounds, GatewayState
from almondgap_core.gateway.suspects import SuspectReport, Suspects
from almondgap_core.gateway.target import Announcement
from almondgap_core.units import millis, seconds
from almondgap_core.verdict import Refusal, Verdict
from almondgap_testkit.fakes.clock import VirtualClock
from almondgap_testkit.gateways.builders import (
    HOST_NAME,
    REGIONS,
    START,
    build_location,
)
from almondgap_testkit.gateways.model_fleet import (
    ModelHost,
    ModelTarget,
    RequestOutcome,
)

#: One-way latency between processes.
ONE_WAY_DELAY_US = millis(2)

TICK_US = millis(250)

#: Time after which an attempt to connect is given up.
CONNECT_TIMEOUT_US = millis(500)

#: Share of the requests that are sent on connections established before.
REUSED_SHARE = 0.5

#: Time from the start of a deadly request to the crash of its target, and from there
#: until the target accepts requests again.
CRASH_DELAY_US = millis(80)
RESTART_DELAY_US = seconds(4)


@define
class Simulation:
    """Hosts, targets and the network between them.

    :ivar rng: source of all random choices.
    :ivar outcomes: outcomes of requests, in order of their answers.
    :ivar reports: reports of the hosts, each with its time and host name.
    :ivar isolated: names of hosts that other hosts cannot reach.
    :ivar partitioned: hosts that reach no target, with the manner: ``hang`` (nothing is
        answered), ``reset`` (connections break, then hang), ``refuse`` (connections
        live on, new ones are refused).
    :ivar saved_suspects: rows of requests in the store, by fingerprint.
    :ivar deadly: contents of requests that crash each target that runs them.
    """

    configuration: Configuration
    clock: VirtualClock = Factory(lambda: VirtualClock(START))
    rng: random.Random = Factory(lambda: random.Random(1))
    bounds: Bounds = Factory(Bounds)
    hosts: dict[str, ModelHost] = Factory(dict)
    targets: dict[str, ModelTarget] = Factory(dict)
    outcomes: list[RequestOutcome] = Factory(list)
    reports: list[tuple[int, str, object]] = Factory(list)
    isolated: set[str] = Factory(set)
    partitioned: dict[str, str] = Factory(dict)
    saved_suspects: dict[str, SuspectReport] = Factory(dict)
    deadly: set[str] = Factory(set)
    _last_number: int = 0
    _last_incarnation: int = 0
    _number_by_request_id: dict[str, int] = field(factory=dict)

    def add_target(self, announcement: Announcement, **fields) -> ModelTarget:
        """Add a target; must be called before hosts are added."""
        target = ModelTarget(announcement, **fields)
        self.targets[announcement.target] = target
        return target

    def add_host(self, name: str, failure_domain: str = "a1") -> ModelHost:
        """Start or restart a host that knows all targets."""
        self._last_incarnation += 1
        location = build_location(name, failure_domain)
        state = GatewayState(
            location,
            self._last_incarnation,
            REGIONS,
            self.bounds,
            seed=self.rng.getrandbits(60),
        )
        host = self.hosts[name] = ModelHost(state)
        locations = [other.state.location for other in self.hosts.values()]
        register_peers(state, locations, self.clock.now)
        self._feed(host, ConfigurationRead, self.configuration)
        listed = tuple(target.announcement for target in self.targets.values())
        self._feed(host, TargetsRead, listed)
        self._read_suspects(host)
        self._tick(host)
        return host

    def withdraw_target(self, host: ModelHost, name: str) -> None:
        """Feed a host the withdrawal of a target's announcement."""
        self._feed(host, TargetWithdrawn, name)

    def freeze_host(self, name: str, duration: int) -> None:
        """Let a host stand still; what reaches it waits.

        :param duration: microseconds.
        """
        self.hosts[name].frozen_until = self.clock.now + duration

    def kill_host(self, name: str) -> None:
        """Kill a host with its state; its callers get no answer."""
        self.hosts[name].alive = False

    def call(
        self,
        host: str,
        path: str = "/reads/1",
        affinity_key: str = "1",
        key: str = "key-of-one",
        caller_timeout: int = seconds(3),
        content: str = "",
    ) -> str:
        """Feed the arrival of a request at a host; return the request's id."""
        self._last_number += 1
        request_id = f"r{self._last_number}"
        model = self.hosts[host]
        event = CallArrived(
            self.clock.now,
            self._last_number,
            request_id,
            "GET",
            HOST_NAME,
            path,
            key,
            affinity_key,
            caller_timeout,
            content,
        )
        if model.alive:
            model.open[self._last_number] = event
            self._number_by_request_id[request_id] = self._last_number
            self._step(model, event)
        return request_id

    def disconnect_caller(self, host: str, request_id: str) -> None:
        """Close the connection of a request's caller."""
        model = self.hosts[host]
        number = self._number_by_request_id[request_id]
        if model.open.pop(number, None) is not None:
            self._feed(model, CallerLeft, number)

    def generate_load(
        self, hosts: list[str], rate: float, duration: int, start: int = 0, **call
    ) -> None:
        """Schedule requests with Poisson arrivals for some time.

        :param rate: requests per second over all hosts.
        :param duration: length in microseconds.
        :param start: delay from now, in microseconds.
        """
        at = self.clock.now + start
        end = at + duration
        object_count = call.pop("things", 20)
        prefix = call.pop("object_prefix", "")
        content = call.pop("content", None)
        while True:
            at += round(self.rng.expovariate(rate) * 1_000_000)
            if at >= end:
                return
            host = self.rng.choice(hosts)
            affinity_key = f"{prefix}{self.rng.randrange(object_count)}"
            self.clock.call_at(
                at,
                lambda host=host, affinity_key=affinity_key: self.call(
                    host,
                    affinity_key=affinity_key,
                    content=affinity_key if content is None else content,
                    **call,
                ),
            )

    def partition_host(self, name: str, manner: str = "hang") -> None:
        """Cut a host off from all targets; see ``partitioned``."""
        self.partitioned[name] = manner
        host = self.hosts[name]
        for send in list(host.attempts.values()):
            if manner == "reset" and isinstance(send, Send):
                failure = (Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
                self._fail_attempt(host, send, *failure)

    def crash_target(self, name: str, restart_after: int = RESTART_DELAY_US) -> None:
        """Break off all requests at a target, which accepts none until it is back.

        :param restart_after: microseconds.
        """
        target = self.targets[name]
        target.crashes.append(self.clock.now)
        target.mode = "dead"
        target.running = 0
        target.waiting.clear()
        for host in self.hosts.values():
            for send in list(host.attempts.values()):
                if isinstance(send, Send) and send.target == name:
                    failure = (Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
                    self._deliver_result(host, send, AttemptFailed, *failure)
        self.clock.call_later(restart_after, lambda: self._restart_target(target))

    def _restart_target(self, target: ModelTarget) -> None:
        target.mode = "well"
        incarnation = target.announcement.incarnation + 1
        target.announcement = evolve(target.announcement, incarnation=incarnation)
        for host in self.hosts.values():
            self._feed(host, TargetAnnounced, target.announcement)

    def run(self, duration: int) -> None:
        """Advance the virtual time.

        :param duration: microseconds.
        """
        self.clock.run_until(self.clock.now + duration)

    def count_runs(self, request_id: str) -> int:
        """Return how often a request ran at targets."""
        return sum(
            run_id == request_id
            for target in self.targets.values()
            for _, run_id in target.runs
        )

    def _tick(self, host: ModelHost) -> None:
        if host.alive:
            self._feed(host, Ticked)
            next_at = max(self.clock.now + TICK_US, host.frozen_until)
            self.clock.call_at(next_at, lambda: self._tick(host))

    def _feed(self, host: ModelHost, kind: type[GatewayEvent], *args, **fields) -> None:
        self._step(host, kind(self.clock.now, *args, **fields))

    def _step(self, host: ModelHost, event: GatewayEvent) -> None:
        if host.frozen_until > self.clock.now:
            self.clock.call_at(host.frozen_until, lambda: self._step(host, event))
        elif host.alive:
            event = evolve(event, now=self.clock.now)
            self._perform(host, step(host.state, event))

    def _perform(self, host: ModelHost, effects) -> None:
        for effect in effects:
            if isinstance(effect, Relay):
                self._relay(host, effect)
            elif isinstance(effect, Send):
                self._send(host, effect)
            elif isinstance(effect, Refuse):
                self._record_outcome(
                    host, effect.call, effect.refusal.status, effect.refusal
                )
            elif isinstance(effect, Deliver):
                status, refusal = host.relayed_answers.pop(effect.call, (200, None))
                self._record_outcome(host, effect.call, status, refusal)
            elif isinstance(effect, StartExpiryTimer):
                self.clock.call_later(
                    effect.delay,
                    lambda effect=effect: self._feed(host, CallExpired, effect.call),
                )
            elif isinstance(effect, SendHeartbeat):
                message = (HeartbeatReceived, effect.heartbeat)
                self._send_message(host, effect.addresses, *message)
            elif isinstance(effect, SendAdvertisedLimits):
                message = (AdvertisedLimitsReceived, effect.message)
                self._send_message(host, effect.addresses, *message)
            elif isinstance(effect, SendSuspects):
                message = (SuspectsReceived, effect.message)
                self._send_message(host, effect.addresses, *message)
            elif isinstance(effect, SaveSuspect):
                self._save_suspect(effect.report)
            elif isinstance(effect, ReadSuspects):
                self._read_suspects(host)
            elif isinstance(effect, CheckConnection):
                self._check_connection(host, effect.target)
            elif isinstance(effect, Probe):
                self._probe(host, effect)
            elif isinstance(effect, RequestTokens | GrantTokens):
                self._send_tokens(host, effect)
            elif isinstance(effect, StartTokenTimer):
                self.clock.call_later(
                    effect.delay,
                    lambda effect=effect: self._feed(
                        host, TokensTimedOut, effect.account, effect.correlation_id
                    ),
                )
            elif isinstance(effect, Log):
                name = host.state.location.host
                self.reports.append((self.clock.now, name, effect.report))
            elif isinstance(effect, Cancel | Abandon):
                host.attempts.pop((effect.call, effect.attempt), None)
            else:
                assert isinstance(effect, CloseIdleConnections), effect

    def _record_outcome(
        self, host: ModelHost, number: int, status: int, refusal: Refusal | None
    ) -> None:
        event = host.open.pop(number, None)
        origin = host.origins.pop(number, None)
        if origin is not None:
            self._answer_relay(*origin, status, refusal)
        elif event is not None:
            route = self.configuration.find_route(HOST_NAME, event.path)
            self.outcomes.append(
                RequestOutcome(
                    event.request_id,
                    host.state.location.host,
                    event.now,
                    self.clock.now,
                    route is not None and route.idempotent,
                    status,
                    refusal,
                    event.content,
                )
            )

    def _send_message(
        self,
        host: ModelHost,
        addresses: tuple[str, ...],
        kind: type[GatewayEvent],
        message: object,
    ) -> None:
        sender = host.state.location.host
        for address in addresses:
            name = address.partition(":")[0]
            if (
                name in self.isolated
                or sender in self.isolated
                or name not in self.hosts
            ):
                continue
            self.clock.call_later(
                ONE_WAY_DELAY_US,
                lambda name=name: self._feed(self.hosts[name], kind, message),
            )

    def _send_tokens(
        self, host: ModelHost, effect: RequestTokens | GrantTokens
    ) -> None:
        sender = host.state.location
        name = effect.address.partition(":")[0]
        if (
            name in self.isolated
            or sender.host in self.isolated
            or name not in self.hosts
        ):
            return
        fields = (effect.account, effect.correlation_id, effect.tokens)
        is_request = isinstance(effect, RequestTokens)
        event = (
            (TokensRequested, sender.peer_address, *fields)
            if is_request
            else (TokensGranted, *fields)
        )
        self.clock.call_later(
            ONE_WAY_DELAY_US, lambda: self._feed(self.hosts[name], *event)
        )

    def _save_suspect(self, report: SuspectReport) -> None:
        if report.is_cleared:
            self.saved_suspects.pop(report.fingerprint, None)
        else:
            self.saved_suspects[report.fingerprint] = report

    def _read_suspects(self, host: ModelHost) -> None:
        saved = Suspects("store", tuple(self.saved_suspects.values()))
        self.clock.call_later(
            2 * ONE_WAY_DELAY_US, lambda: self._feed(host, SuspectsReceived, saved)
        )

    def _check_connection(self, host: ModelHost, target: str) -> None:
        manner = self.partitioned.get(host.state.location.host)
        delay, accepted = 2 * ONE_WAY_DELAY_US, self.targets[target].mode != "dead"
        if manner == "refuse":
            accepted = False
        elif manner is not None:
            delay, accepted = CONNECT_TIMEOUT_US, None
        event = (ConnectionChecked, target, accepted)
        self.clock.call_later(delay, lambda: self._feed(host, *event))

    def _probe(self, host: ModelHost, effect: Probe) -> None:
        target = self.targets[effect.target]
        is_partitioned = host.state.location.host in self.partitioned
        healthy = target.mode in ("well", "failing") and not is_partitioned
        healthy = healthy and self.clock.now >= target.rejects_until
        leaving = target.leaving and not is_partitioned
        if not is_partitioned:
            target.arrivals.append((self.clock.now, host.state.location.host))
        self.clock.call_later(
            2 * ONE_WAY_DELAY_US,
            lambda: self._feed(
                host, ProbeEnded, effect.target, healthy, leaving=leaving
            ),
        )

    def _relay(self, host: ModelHost, relay: Relay) -> None:
        """Pass a request to another host, as a caller would."""
        event = host.open[relay.call]
        peer = self.hosts[relay.host]
        host.attempts[relay.call, relay.attempt] = relay
        if not peer.alive or {relay.host, host.state.location.host} & self.isolated:
            failure = (Failure.NOT_CONNECTED, Verdict.NOT_RUN)
            self.clock.call_later(
                CONNECT_TIMEOUT_US, lambda: self._fail_attempt(host, relay, *failure)
            )
            return
        self._last_number += 1
        number = self._last_number
        relayed = evolve(
            event,
            call=number,
            caller_timeout=relay.time_left,
            prior_attempts=relay.prior_attempts,
            min_version=relay.version,
        )
        peer.origins[number] = (host, relay)

        def arrive() -> None:
            peer.open[number] = evolve(relayed, now=self.clock.now)
            self._step(peer, peer.open[number])

        self.clock.call_later(ONE_WAY_DELAY_US, arrive)

    def _answer_relay(
        self, host: ModelHost, relay: Relay, status: int, refusal: Refusal | None
    ) -> None:
        def arrive() -> None:
            if host.attempts.pop((relay.call, relay.attempt), None) is not None:
                host.relayed_answers[relay.call] = (status, refusal)
                reason = refusal.reason if refusal else None
                fields = (relay.call, relay.attempt, status, refusal is None, reason)
                self._feed(host, RelayAnswered, *fields)

        self.clock.call_later(ONE_WAY_DELAY_US, arrive)

    def _send(self, host: ModelHost, send: Send) -> None:
        host.attempts[send.call, send.attempt] = send
        host.relayed_answers.pop(send.call, None)
        target = self.targets[send.target]
        event = host.open[send.call]
        manner = self.partitioned.get(host.state.location.host)
        is_reused = self.rng.random() < REUSED_SHARE
        if manner is not None and not (manner == "refuse" and is_reused):
            if manner == "hang" and is_reused:
                return
            delay = 0 if manner == "refuse" else CONNECT_TIMEOUT_US
            failure = (Failure.NOT_CONNECTED, Verdict.NOT_RUN)
            self.clock.call_later(
                delay, lambda: self._fail_attempt(host, send, *failure)
            )
        elif target.mode == "dead":
            failure = (Failure.NOT_CONNECTED, Verdict.NOT_RUN)
            self._deliver_result(host, send, AttemptFailed, *failure)
        else:
            self.clock.call_later(
                ONE_WAY_DELAY_US,
                lambda: self._deliver_request(host, send, target, event),
            )

    def _deliver_request(
        self, host: ModelHost, send: Send, target: ModelTarget, event: CallArrived
    ) -> None:
        slots = target.announcement.slots
        if target.mode == "dead":
            # The connection was established before the target crashed.
            failure = (Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
            self._deliver_result(host, send, AttemptFailed, *failure)
            return
        target.arrivals.append((self.clock.now, host.state.location.host))
        name = host.state.location.host
        target.contents.append((self.clock.now, event.content, name))
        if (
            target.mode == "shedding"
            or self.clock.now < target.rejects_until
            or len(target.waiting) >= target.queue_length
        ):
            self._answer(host, send, target, 503, not_executed=True)
        elif target.running < slots:
            self._serve(host, send, target, event)
        else:
            target.waiting.append((host, send, event))

    def _serve(
        self, host: ModelHost, send: Send, target: ModelTarget, event: CallArrived
    ) -> None:
        target.running += 1
        target.runs.append((self.clock.now, event.request_id))
        life = len(target.crashes)
        if event.content in self.deadly:
            name = target.announcement.target
            self.clock.call_later(
                CRASH_DELAY_US,
                lambda: len(target.crashes) == life and self.crash_target(name),
            )
            return
        took = target.compute_service_time(event.affinity_key)
        self.clock.call_later(took, lambda: self._finish(host, send, target, life))

    def _finish(
        self, host: ModelHost, send: Send, target: ModelTarget, life: int
    ) -> None:
        if len(target.crashes) != life:
            return
        target.running -= 1
        while target.waiting and target.running < target.announcement.slots:
            waiting_host, waiting, event = target.waiting.popleft()
            if (waiting.call, waiting.attempt) in waiting_host.attempts:
                self._serve(waiting_host, waiting, target, event)
        if target.mode != "silent":
            status = 500 if target.mode == "failing" else 200
            self._answer(host, send, target, status, not_executed=False)

    def _answer(
        self,
        host: ModelHost,
        send: Send,
        target: ModelTarget,
        status: int,
        not_executed: bool,
    ) -> None:
        load = (target.running, len(target.waiting))
        sealed = not not_executed
        told_at = self.clock.now + ONE_WAY_DELAY_US
        name = host.state.location.host
        left = target.rejects_until - self.clock.now
        retry_after = left if not_executed and left > 0 else None
        if target.leaving:
            target.told.append((told_at, name, None))
        if retry_after is not None:
            target.told.append((told_at, name, told_at + retry_after))
        notice = (target.rate_limit, target.leaving, retry_after)
        fields = (status, not_executed, False, sealed, load, *notice)
        self._deliver_result(host, send, TargetAnswered, *fields)

    def _fail_attempt(self, host: ModelHost, send: Send, *failure) -> None:
        if host.attempts.pop((send.call, send.attempt), None) is not None:
            self._feed(host, AttemptFailed, send.call, send.attempt, *failure)

    def _deliver_result(self, host: ModelHost, send: Send, kind, *args) -> None:
        def arrive() -> None:
            manner = self.partitioned.get(host.state.location.host)
            if manner is not None and manner != "refuse":
                return
            if host.attempts.pop((send.call, send.attempt), None) is not None:
                self._feed(host, kind, send.call, send.attempt, *args)

        self.clock.call_later(ONE_WAY_DELAY_US, arrive)

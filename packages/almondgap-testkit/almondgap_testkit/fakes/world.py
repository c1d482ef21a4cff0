"""A simulated fleet: one reducer per host, connected by fakes on a virtual clock."""

from __future__ import annotations

import random
from collections.abc import Callable

from attrs import Factory, define, frozen

from almondgap_core import effects, events
from almondgap_core.eventlog import EventLog
from almondgap_core.keys.credential import Credential
from almondgap_core.messages import decode, encode
from almondgap_core.operations.record import KeptAnswer
from almondgap_core.platform import (
    Transaction,
    compute_object_name,
)
from almondgap_core.reducer import step
from almondgap_core.requests.flow import IDEMPOTENT_METHODS
from almondgap_core.settings.head import HEAD, Head, plan_head_change
from almondgap_core.settings.inventory import Inventory
from almondgap_core.settings.rollout import load_inventory
from almondgap_core.state import HostState
from almondgap_core.units import millis, seconds
from almondgap_core.verdict import Refusal, Verdict
from almondgap_testkit.fakes.clock import VirtualClock
from almondgap_testkit.fakes.network import PLATFORM, FakeNetwork
from almondgap_testkit.fakes.platform import FakePlatform
from almondgap_testkit.fakes.targets import FakeRun, FakeTarget

TICK_US = millis(50)
HOST_LIST_US = seconds(2)

#: Size of the length prefix of a message on a stream.
LENGTH_BYTES = 4

#: Maximum offset of a host's monotonic clock from the clock of the world.
CLOCK_OFFSET_US = seconds(1_000)


@define
class FakeAnswer:
    """The answer that a caller received.

    :ivar asked: time at which the request was sent, in microseconds.
    :ivar answered: time at which the answer ended, in microseconds; 0 before.
    :ivar status: 0 while there is no answer, or if it was truncated.
    :ivar cut: whether the answer was truncated.
    :ivar replayed: the stored answer of an operation that ran before.
    """

    host: str
    account: str
    asked: int
    answered: int = 0
    status: int = 0
    verdict: Verdict | None = None
    refusal: Refusal | None = None
    cut: bool = False
    replayed: KeptAnswer | None = None


@frozen
class Attempted:
    """One attempt that a host started.

    :ivar at: time by the clock of the world, in microseconds.
    """

    at: int
    host: str
    req_id: str
    attempt: int
    account: str
    target: str


@define
class FakeHost:
    """One host: its reducer's state, its clock and whether it runs.

    :ivar state: None while the host is not running.
    :ivar offset: its monotonic clock minus the world's, in microseconds.
    :ivar inbox: actions deferred while the host is paused.
    :ivar log: events of the host's current incarnation, if events are kept.
    """

    entry: events.HostEntry
    state: HostState | None
    offset: int
    paused: bool = False
    inbox: list[Callable[[], None]] = Factory(list)
    log: EventLog | None = None


class World:
    """The hosts, targets, network and platform of one simulation.

    :ivar answers: answers to callers by request identifier.
    :ivar labels: label of each request by its identifier.
    :ivar sent_bytes: bytes of messages that each host sent, with length prefixes.
    :ivar attempted: all attempts, in the order in which hosts started them.
    :ivar runs: times at which each host's process began and ended.
    :ivar idempotent_labels: labels of requests that may run more than once.
    :ivar keep_events: whether hosts' events are kept for replay.
    :ivar listed: host list that the platform returns.
    """

    def __init__(
        self, text: str, hosts: dict[str, str], seed: int = 1, keep_events: bool = False
    ) -> None:
        """Create a world at time 0 and start its hosts.

        :param text: text of the inventory.
        :param hosts: failure domain of each host by name.
        """
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.inventory: Inventory = load_inventory(text, "world")
        regions = {d.name: d.region for d in self.inventory.failure_domains.values()}
        regions[PLATFORM] = next(iter(self.inventory.regions))
        self.network = FakeNetwork(self.clock, self.rng, regions)
        self.platform = FakePlatform(self.network)
        self.targets: dict[str, FakeTarget] = {}
        self.hosts: dict[str, FakeHost] = {}
        self.answers: dict[str, FakeAnswer] = {}
        self.labels: dict[str, str] = {}
        self.sent_bytes: dict[str, int] = {}
        self.attempted: list[Attempted] = []
        self.runs: dict[str, list[tuple[int, str]]] = {}
        self.idempotent_labels: set[str] = set()
        self.keep_events = keep_events
        self.listed: tuple[events.HostEntry, ...] = ()
        self._runs: dict[tuple[str, str, int], tuple[FakeRun, FakeTarget]] = {}
        self._incarnations = 0
        self.apply(text)
        for name, domain in hosts.items():
            entry = events.HostEntry(name, domain, "127.0.0.1", 8080, 8082)
            offset = self.rng.randint(1, CLOCK_OFFSET_US)
            self.hosts[name] = FakeHost(entry, None, offset)
        self.listed = tuple(host.entry for host in self.hosts.values())
        for name in hosts:
            self.start(name)

    def apply(self, text: str) -> None:
        """Store ``text`` as the current configuration, as an operator does."""
        inventory = load_inventory(text, "world")
        for name, target in inventory.targets.items():
            known = self.targets.get(name)
            if known is None:
                self.targets[name] = FakeTarget(self.clock, target)
            else:
                known.target = target
        body = text.encode()
        name = compute_object_name(body)
        self.platform.objects[name] = body
        row = self.platform.tables.apply(Transaction(reads=(HEAD,))).rows[0]
        version = Head.from_text(row.value).version + 1 if row.value else 1
        head = Head(version, name, "operator", "", "")
        self.platform.tables.apply(plan_head_change(head, row.version))

    def start(self, name: str) -> None:
        """Start a host with empty state and a new incarnation."""
        host = self.hosts[name]
        self._incarnations += 1
        self.runs.setdefault(name, []).append((self.clock.now, "begin"))
        domain = host.entry.failure_domain
        seed = self.rng.getrandbits(60)
        state = HostState(name, domain, self._incarnations, seed=seed)
        host.state = state
        host.log = EventLog(name, domain, self._incarnations, seed)
        host.paused = False
        host.inbox.clear()
        self._tick(name, state)
        self._list_hosts(name, state)

    def crash(self, name: str) -> None:
        """End a host's process at once."""
        if self.hosts[name].state is not None:
            self.runs[name].append((self.clock.now, "end"))
        self.hosts[name].state = None

    def drain(self, name: str) -> None:
        """Start draining a host."""

        def begin() -> None:
            self.feed(name, events.DrainRequested(self.read_clock(name)))

        self._enter(name, self.hosts[name].state, begin)

    def pause(self, name: str) -> None:
        """Pause a host's event loop; arriving events are deferred."""
        self.hosts[name].paused = True

    def resume(self, name: str) -> None:
        """Resume a paused host and run its deferred actions."""
        host = self.hosts[name]
        host.paused = False
        waiting, host.inbox = host.inbox, []
        for action in waiting:
            action()

    def run(self, duration: int) -> None:
        """Advance the clock by ``duration`` microseconds."""
        self.clock.run_until(self.clock.now + duration)

    def call(
        self,
        host: str,
        service: str,
        account: str,
        method: str = "GET",
        label: str = "",
        **extra,
    ) -> str:
        """Send a caller's request to a host and return its identifier.

        :param extra: further fields of :class:`RequestArrived`.
        """
        req_id = f"r{len(self.answers) + 1}"
        self.answers[req_id] = FakeAnswer(host, account, self.clock.now)
        self.labels[req_id] = label or req_id
        if method in IDEMPOTENT_METHODS:
            self.idempotent_labels.add(self.labels[req_id])
        credential = self._find_credential(account)

        def arrive() -> None:
            now = self.read_clock(host)
            deadline = now + seconds(60)
            arrival = events.RequestArrived(
                now, req_id, service, method, credential, deadline, **extra
            )
            self.feed(host, arrival)

        if self.hosts[host].state is not None:
            self._enter(host, self.hosts[host].state, arrive)
        return req_id

    def read_clock(self, host: str) -> int:
        """Return a host's monotonic time in microseconds."""
        return self.clock.now + self.hosts[host].offset

    def _find_credential(self, account: str) -> Credential | None:
        for entry in self.inventory.keys.values():
            if entry.account == account:
                return Credential(entry.key_id, entry.digest)
        return None

    def _enter(self, name: str, state: HostState, action: Callable[[], None]) -> None:
        """Run an action on a host, unless it has crashed or restarted since.

        A paused host runs it when it resumes.
        """
        host = self.hosts[name]
        if state is None or host.state is not state:
            return
        if host.paused:
            host.inbox.append(lambda: self._enter(name, state, action))
            return
        action()

    def feed(self, name: str, event: events.Event) -> None:
        """Let a host's reducer handle an event, and perform the resulting effects."""
        host = self.hosts[name]
        if self.keep_events:
            host.log.events.append(event)
        state = host.state
        for effect in step(state, event):
            self._perform(name, state, effect)

    def _tick(self, name: str, state: HostState) -> None:
        def tick() -> None:
            self.feed(name, events.Tick(self.read_clock(name)))
            self.clock.call_later(TICK_US, lambda: self._tick(name, state))

        self._enter(name, state, tick)

    def _list_hosts(self, name: str, state: HostState) -> None:
        def listed() -> None:
            place = self.hosts[name].entry.failure_domain
            if not self.platform.down and not self.network.is_cut(place, PLATFORM):
                self.feed(name, events.HostsListed(self.read_clock(name), self.listed))
            self.clock.call_later(HOST_LIST_US, lambda: self._list_hosts(name, state))

        self._enter(name, state, listed)

    def _perform(self, name: str, state: HostState, effect: effects.Effect) -> None:
        match effect:
            case effects.SendMessage():
                self._send(name, effect)
            case effects.Transact():
                self._transact(name, state, effect)
            case effects.FetchBody():
                self._fetch(name, state, effect)
            case effects.FetchObject():
                self._fetch_object(name, state, effect.name)
            case effects.WakeAt():
                self._wake(name, state, effect.at)
            case effects.Dispatch():
                self._dispatch(name, state, effect)
            case effects.CancelAttempt():
                self._cancel(name, effect)
            case effects.Relay():
                self.answers[effect.req_id].verdict = effect.verdict
            case effects.Refuse():
                answer = self.answers[effect.req_id]
                answer.refusal = effect.refusal
                answer.verdict = effect.refusal.verdict
            case effects.Replay():
                self.answers[effect.req_id].verdict = Verdict.RAN
                self.answers[effect.req_id].replayed = effect.answer
            case effects.CutAnswer():
                self.answers[effect.req_id].cut = True
            case effects.Finished():
                answer = self.answers[effect.req_id]
                answer.status = effect.status
                answer.answered = self.clock.now
            case effects.Stopped():
                self.crash(name)

    def _send(self, name: str, effect: effects.SendMessage) -> None:
        receiver = self.hosts.get(effect.host)
        if receiver is None:
            return
        data = encode(effect.message)
        self.sent_bytes[name] = self.sent_bytes.get(name, 0) + len(data) + LENGTH_BYTES
        message = decode(data)
        one = self.hosts[name].entry.failure_domain

        def deliver() -> None:
            if receiver.state is None:
                return
            self._enter(effect.host, receiver.state, arrive)

        def arrive() -> None:
            now = self.read_clock(effect.host)
            self.feed(effect.host, events.PeerMessage(now, name, message))

        self.network.carry(one, receiver.entry.failure_domain, deliver)

    def _transact(self, name: str, state: HostState, effect: effects.Transact) -> None:
        def report(result) -> None:
            self._enter(name, state, lambda: arrive(result))

        def arrive(result) -> None:
            now = self.read_clock(name)
            self.feed(name, events.TransactionEnded(now, effect.ticket, result))

        place = self.hosts[name].entry.failure_domain
        self.platform.transact(place, effect.transaction, report)

    def _fetch(self, name: str, state: HostState, effect: effects.FetchBody) -> None:
        def report(body: bytes | None) -> None:
            self._enter(name, state, lambda: arrive(body))

        def arrive(body: bytes | None) -> None:
            text = None if body is None else body.decode(errors="replace")
            now = self.read_clock(name)
            self.feed(name, events.BodyFetched(now, effect.version, text))

        place = self.hosts[name].entry.failure_domain
        self.platform.fetch(place, effect.body, report)

    def _fetch_object(self, name: str, state: HostState, wanted: str) -> None:
        def report(body: bytes | None) -> None:
            self._enter(name, state, lambda: arrive(body))

        def arrive(body: bytes | None) -> None:
            self.feed(name, events.ObjectFetched(self.read_clock(name), wanted, body))

        place = self.hosts[name].entry.failure_domain
        self.platform.fetch(place, wanted, report)

    def _wake(self, name: str, state: HostState, at: int) -> None:
        def wake() -> None:
            self.feed(name, events.Tick(self.read_clock(name)))

        due = at - self.hosts[name].offset
        self.clock.call_at(due, lambda: self._enter(name, state, wake))

    def _dispatch(self, name: str, state: HostState, effect: effects.Dispatch) -> None:
        attempted = Attempted(
            self.clock.now,
            name,
            effect.req_id,
            effect.attempt,
            effect.account,
            effect.target.name,
        )
        self.attempted.append(attempted)
        target = self.targets[effect.target.name]
        here = self.hosts[name].entry.failure_domain
        there = effect.target.failure_domain

        def report(progress: int | events.AttemptOutcome) -> None:
            back = self.network.measure_delay(there, here)
            self.clock.call_later(back, lambda: enter(progress))

        def enter(progress: int | events.AttemptOutcome) -> None:
            refused = progress is events.AttemptOutcome.NOT_SENT
            if refused or not self.network.is_cut(here, there):
                self._enter(name, state, lambda: arrive(progress))

        def arrive(progress: int | events.AttemptOutcome) -> None:
            now = self.read_clock(name)
            key = (effect.req_id, effect.attempt)
            if isinstance(progress, int):
                self.feed(name, events.AnswerStarted(now, *key, progress))
            else:
                answer = self._keep_answer(effect, target, progress)
                self.feed(name, events.AttemptEnded(now, *key, progress, answer))

        if self.network.is_cut(here, there):
            report(events.AttemptOutcome.NOT_SENT)
            return
        delay = self.network.measure_delay(here, there)
        label = self.labels[effect.req_id]
        left = effect.deadline - self.read_clock(name)
        run = FakeRun(label, report, left)
        self._runs[name, effect.req_id, effect.attempt] = (run, target)
        self.clock.call_later(delay, lambda: target.run(run))
        self._arm_deadline(name, state, effect)

    def _keep_answer(self, effect: effects.Dispatch, target: FakeTarget, outcome):
        if outcome is not events.AttemptOutcome.COMPLETE or target.shed:
            return None
        label = self.labels[effect.req_id]
        body = f"{label} {target.ran.get(label, 0)}".encode()
        return KeptAnswer(target.status, "text/plain", body)

    def _cancel(self, name: str, effect: effects.CancelAttempt) -> None:
        """Close an attempt's connection; a target behind a cut does not notice."""
        found = self._runs.get((name, effect.req_id, effect.attempt))
        if found is None:
            return
        run, target = found
        here = self.hosts[name].entry.failure_domain
        there = target.target.failure_domain
        delay = self.network.measure_delay(here, there)
        if not self.network.is_cut(here, there):
            self.clock.call_later(delay, lambda: target.cancel(run))

    def _arm_deadline(self, name: str, state, effect: effects.Dispatch) -> None:
        def give_up() -> None:
            now = self.read_clock(name)
            outcome = events.AttemptOutcome.TIMED_OUT
            ended = events.AttemptEnded(now, effect.req_id, effect.attempt, outcome)
            self.feed(name, ended)

        due = effect.deadline - self.hosts[name].offset
        self.clock.call_at(due, lambda: self._enter(name, state, give_up))

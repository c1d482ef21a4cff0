"""How a stand-in target acts, and what it records."""

from __future__ import annotations

from attrs import Factory, define, frozen

#: Runs that a target keeps; later ones are counted only.
MAX_RUNS = 100_000


@define
class Behaviour:
    """How a target acts.

    :ivar delay_ms: time that a request takes.
    :ivar cold_requests: how many first requests are slow.
    :ivar cold_delay_ms: time that a slow first request takes on top.
    :ivar shed: whether every request is shed with status 503, not run.
    :ivar draining: whether the target leaves; it still serves what comes.
    :ivar cut_short: whether answers break off in the middle.
    :ivar chunked: whether answers come in chunks, without a length.
    :ivar body_bytes: least length of an answer's body.
    :ivar status: status of answers.
    :ivar claimed_healthy: what the health endpoint says in place of the truth.
    :ivar claimed_load: running requests that the health endpoint claims.
    """

    delay_ms: int = 5
    cold_requests: int = 0
    cold_delay_ms: int = 0
    shed: bool = False
    draining: bool = False
    cut_short: bool = False
    chunked: bool = False
    body_bytes: int = 0
    status: int = 200
    claimed_healthy: bool | None = None
    claimed_load: int | None = None


@frozen
class Run:
    """One request that a target began to run.

    :ivar at: monotonic time of the stand-in's process, in seconds.
    """

    at: float
    target: str
    account: str
    method: str
    label: str


@define
class TargetRecord:
    """What happened at a target.

    :ivar ran: how often each operation ran, by the caller's label.
    :ivar keys_seen: requests in which a client account's key arrived.
    :ivar cancelled: requests whose connection closed while they ran.
    :ivar draining_runs: requests that began while the target was draining.
    :ivar headers: names and values that came with the latest request.
    :ivar runs: requests that began, in order.
    """

    running: int = 0
    most_running: int = 0
    started: int = 0
    served: int = 0
    shed: int = 0
    cancelled: int = 0
    keys_seen: int = 0
    draining_runs: int = 0
    ran: dict[str, int] = Factory(dict)
    headers: dict[str, str] = Factory(dict)
    runs: list[Run] = Factory(list)

    def begin(self, run: Run, draining: bool) -> None:
        """Note that a request begins."""
        self.started += 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        self.draining_runs += draining
        if run.label:
            self.ran[run.label] = self.ran.get(run.label, 0) + 1
        if len(self.runs) < MAX_RUNS:
            self.runs.append(run)

    def summarize(self) -> dict[str, object]:
        """Return everything but the runs."""
        names = [name for name in self.__slots__ if name not in ("runs", "__weakref__")]
        return {name: getattr(self, name) for name in names}

"""Whether the promises held, from what callers and targets saw."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterator

from attrs import Factory, define

from almondgap_testkit.soak.callers import Attempt
from almondgap_testkit.soak.plan import HOST_FAULTS, TARGET_FAULTS, Fault
from almondgap_testkit.soak.stage import (
    DOMAINS,
    FICKLE_KEY,
    LOWERED_RATE,
    SMALL_BURST,
    SMALL_KEY,
    SMALL_RATE,
    Runs,
)
from almondgap_testkit.standins.workers import PAUSE_S

#: Answers that promise that a request did not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})

#: The platform's bounds, in seconds: since when a host must have been undisturbed,
#: until when it gives up a target that left or a failure domain that is evacuated,
#: a new configuration is in force, and a withdrawn key is refused.
CONTACT_S, DRAIN_S, EVACUATE_S, APPLY_S, REVOKE_S = 4.0, 3.0, 5.0, 3.0, 5.0

#: The platform's tolerance of a limit: window in seconds, part of it, and requests.
WINDOW_S, OVER_RATIO, OVER = 5.0, 0.1, 20

#: Rate limit that a target in the mode ``limited`` advertises, in requests per second,
#: the window in which it is judged, in seconds, and the tolerance over what it allows.
ADVERTISED_RATE, ADVERTISED_WINDOW_S = 1.0, 4.0
ADVERTISED_RATIO, ADVERTISED_OVER = 1.5, 5

#: Time in which a host that was started anew listens on a machine that is busy with
#: other programs, in seconds; its processor time has a test of its own.
START_S = 5.0

#: Time after which a leaving target gets nothing from a host that it told, in seconds;
#: time in which requests are under way to a target that wants a pause, in seconds, and
#: requests that it may get until the end.
LEAVE_S, UNDER_WAY_S, PAUSE_SENDS = 2.0, 0.5, 2

#: Requests of death that may reach targets long after the third crash.
LATE_SENDS = 3

#: Most targets to which a request may be sent that may run more than once.
MOST_ATTEMPTS = 2

#: Part of the requests of the last calm seconds that must be served.
CALM_PART = 0.95


@define
class Judge:
    """What happened in a soak.

    :ivar runs: when and at which target each request ran.
    :ivar rejections: when and which targets in a pause turned each request away.
    :ivar crashes: when requests of death reached targets, with their ids.
    :ivar calm: since when everything should be served again.
    """

    attempts: list[Attempt]
    runs: Runs
    faults: list[Fault]
    calm: float
    rejections: Runs = Factory(dict)
    crashes: list[tuple[float, str]] = Factory(list)

    def list_breaches(self) -> list[str]:
        """Return every broken promise, in words."""
        breaches: list[str] = []
        for attempt in self.attempts:
            breaches += self._judge_attempt(attempt)
        breaches += self._judge_targets()
        breaches += self._judge_limit()
        breaches += self._judge_advertised_limits()
        breaches += self._judge_leaving()
        breaches += self._judge_pauses()
        breaches += self._judge_crashes()
        breaches += self._judge_recovery()
        return breaches

    def _judge_attempt(self, attempt: Attempt) -> Iterator[str]:
        ran = len(self.runs.get(attempt.request_id, ()))
        told = f"{attempt.request_id} at {attempt.began:.2f} s, h{attempt.host + 1}"
        if ran > (MOST_ATTEMPTS if attempt.idempotent else 1):
            yield f"{told}: ran {ran} times"
        if ran and attempt.status in NOT_RUN:
            yield f"{told}: answered {attempt.status}, but ran"
        if attempt.status == 200 and not self._is_whole(attempt):
            yield f"{told}: success is not the target's answer: {attempt.body[:80]!r}"
        if attempt.failure:
            yield from self._judge_failure(attempt, ran, told)
        if attempt.status in (401, 403, 404) and self._may_use(attempt):
            yield f"{told}: answered {attempt.status}, though allowed"
        if attempt.status == 200 and self._must_be_refused(attempt):
            yield f"{told}: key was withdrawn, but accepted"

    def _is_whole(self, attempt: Attempt) -> bool:
        method = "GET" if attempt.idempotent else "POST"
        sent = "" if attempt.idempotent else attempt.request_id
        end = f" {method} {attempt.path} {sent}".encode()
        named = attempt.echo == attempt.request_id
        return attempt.sealed and named and attempt.body.endswith(end)

    def _judge_failure(self, attempt: Attempt, ran: int, told: str) -> Iterator[str]:
        during = (attempt.host, attempt.began, attempt.ended)
        if self._find(("freeze", "kill"), *during, 1.0):
            return
        if ran and self._was_held_up(attempt):
            return
        if ran:
            yield f"{told}: {attempt.failure} after it ran"
        elif attempt.failure in ("TimeoutError", "timeout"):
            yield f"{told}: no answer in its time"
        elif attempt.fresh and not self._find(("kill", "stop"), *during, START_S):
            yield f"{told}: {attempt.failure} on a new connection"

    def _was_held_up(self, attempt: Attempt) -> bool:
        """Return whether a target's fault kept a host that stops from its answer.

        The process ends with its grace, whether a target answers or not.
        """
        during = (attempt.began, attempt.ended)
        if not self._find(("stop",), attempt.host, *during, 0.0):
            return False
        runs = self.runs[attempt.request_id]
        return any(self._find(TARGET_FAULTS, place, *during, 0.0) for _, place in runs)

    def _may_use(self, attempt: Attempt) -> bool:
        if attempt.key != FICKLE_KEY:
            return True
        return not self._find(("withdraw key",), None, 0.0, attempt.ended, 0.0)

    def _must_be_refused(self, attempt: Attempt) -> bool:
        return attempt.key == FICKLE_KEY and any(
            fault.kind == "withdraw key"
            and fault.at + REVOKE_S < attempt.began < fault.end
            and self._is_in_touch(attempt.host, fault.at, attempt.ended)
            for fault in self.faults
        )

    def _judge_targets(self) -> Iterator[str]:
        """Yield requests that reached targets which were to get none."""
        hosts = {attempt.request_id: attempt for attempt in self.attempts}
        for fault in self.faults:
            if fault.kind not in ("withdraw target", "evacuate"):
                continue
            drain = fault.kind == "withdraw target"
            limit = fault.at + (DRAIN_S if drain else EVACUATE_S)
            for request_id, runs in self.runs.items():
                for at, target in runs:
                    same = target == fault.place
                    if not drain:
                        count = len(DOMAINS)
                        same = target % count == fault.place % count
                    attempt = hosts.get(request_id)
                    if not same or not limit < at < fault.end or attempt is None:
                        continue
                    if self._is_in_touch(attempt.host, fault.at, at):
                        yield f"{request_id}: ran at {at:.2f} s in spite of {fault}"

    def _judge_limit(self) -> Iterator[str]:
        times = sorted(
            at
            for attempt in self.attempts
            if attempt.key == SMALL_KEY
            for at, _ in self.runs.get(attempt.request_id, ())
        )
        yield from _judge_windows(times, SMALL_RATE, 0.0, float("inf"))
        for fault in self.faults:
            if fault.kind == "lower rate" and self._is_calm(fault.at, fault.end):
                since = fault.at + APPLY_S + WINDOW_S
                yield from _judge_windows(times, LOWERED_RATE, since, fault.end)

    def _judge_advertised_limits(self) -> Iterator[str]:
        """Yield limits of targets that hosts in touch exceeded together."""
        hosts = {attempt.request_id: attempt.host for attempt in self.attempts}
        allowed = ADVERTISED_RATE * ADVERTISED_WINDOW_S * ADVERTISED_RATIO
        for fault in self.faults:
            if fault.kind != "limited":
                continue
            times = sorted(
                at
                for request_id, runs in self.runs.items()
                for at, target in runs
                if target == fault.place
                and fault.at + CONTACT_S <= at <= fault.end
                and request_id in hosts
                and not self._find(
                    HOST_FAULTS, hosts[request_id], fault.at, at, CONTACT_S
                )
            )
            for at in times:
                end = at + ADVERTISED_WINDOW_S
                count = bisect_right(times, end) - bisect_left(times, at)
                if count > allowed + ADVERTISED_OVER:
                    yield f"{fault}: {count} ran in 4 s from {at:.2f} s"
                    break

    def _judge_leaving(self) -> Iterator[str]:
        """Yield requests to targets that had told the host that they leave."""
        hosts = {attempt.request_id: attempt for attempt in self.attempts}
        for fault in self.faults:
            if fault.kind != "leaving":
                continue
            told: dict[int, float] = {}
            for attempt in self.attempts:
                is_there = attempt.leaving and attempt.find_target() == fault.place
                if is_there and fault.at <= attempt.ended <= fault.end:
                    known = told.get(attempt.host, attempt.ended)
                    told[attempt.host] = min(known, attempt.ended)
            for request_id, runs in self.runs.items():
                attempt = hosts.get(request_id)
                for at, target in runs:
                    if attempt is None or target != fault.place or at > fault.end:
                        continue
                    known = told.get(attempt.host, attempt.began)
                    if known + LEAVE_S < attempt.began and self._ran_on(
                        attempt.host, known, at
                    ):
                        yield f"{request_id}: ran at {at:.2f} s in spite of {fault}"

    def _judge_pauses(self) -> Iterator[str]:
        """Yield hosts that sent to a target that wanted nothing."""
        hosts = {attempt.request_id: attempt.host for attempt in self.attempts}
        sends: dict[tuple[int, int], list[float]] = {}
        told: list[tuple[float, int, int]] = []
        for record in (self.runs, self.rejections):
            for request_id, entries in record.items():
                for at, target in entries:
                    host = hosts.get(request_id, -1)
                    sends.setdefault((host, target), []).append(at)
                    if record is self.rejections:
                        told.append((at, host, target))
        for at, host, target in told:
            begin, end = at + UNDER_WAY_S, at + PAUSE_S
            count = sum(begin < sent < end for sent in sends[host, target])
            if count > PAUSE_SENDS and self._ran_on(host, at, end):
                yield f"h{host + 1}: {count} requests in a pause of target {target}"

    def _judge_crashes(self) -> Iterator[str]:
        """Yield requests of death that reached targets long after the third crash."""
        hosts = {attempt.request_id: attempt.host for attempt in self.attempts}
        if len(self.crashes) < 3:
            return
        since = self.crashes[2][0] + CONTACT_S
        late = [
            (round(at, 2), f"h{hosts[request_id] + 1}")
            for at, request_id in self.crashes
            if at > since
            and request_id in hosts
            and not self._find(HOST_FAULTS, hosts[request_id], at, at, CONTACT_S)
        ]
        if len(late) > LATE_SENDS:
            yield f"request of death reached targets later: {late}"

    def _ran_on(self, host: int, begin: float, end: float) -> bool:
        """Return whether a host neither stood still nor started anew."""
        return not self._find(("freeze", "kill", "stop"), host, begin, end, START_S)

    def _judge_recovery(self) -> Iterator[str]:
        late = [
            attempt
            for attempt in self.attempts
            if attempt.began >= self.calm and attempt.key != SMALL_KEY
        ]
        served = sum(attempt.status == 200 for attempt in late)
        if served < CALM_PART * len(late) or not late:
            yield f"{served} of {len(late)} requests served after all faults"

    def _is_in_touch(self, host: int, begin: float, end: float) -> bool:
        near = self._find(HOST_FAULTS, host, begin, end, CONTACT_S)
        return not near and self._is_calm(begin, end)

    def _is_calm(self, begin: float, end: float) -> bool:
        """Return whether the store was undisturbed."""
        return not any(
            fault.kind.startswith("store ")
            and fault.at < end
            and fault.end + CONTACT_S > begin
            for fault in self.faults
        )

    def _find(
        self,
        kinds: tuple[str, ...],
        place: int | None,
        begin: float,
        end: float,
        after: float,
    ) -> bool:
        """Return whether a fault of some kinds held at a place."""
        return any(
            fault.kind in kinds
            and place in (None, fault.place)
            and fault.at < end
            and fault.end + after > begin
            for fault in self.faults
        )


def _judge_windows(
    times: list[float], rate: float, since: float, until: float
) -> Iterator[str]:
    most = (rate * WINDOW_S + SMALL_BURST) * (1 + OVER_RATIO) + OVER
    for at in times:
        if since <= at and at + WINDOW_S <= until:
            count = bisect_right(times, at + WINDOW_S) - bisect_left(times, at)
            if count > most:
                yield f"limit of {rate}/s: {count} ran in {WINDOW_S} s from {at:.2f} s"
                return

"""Checks of scenarios: the promises and the figures."""

from __future__ import annotations

from collections.abc import Callable

from attrs import Factory, define, frozen

from almondgap_core.units import MICROS_PER_SECOND, MILLIS_PER_UNIT, seconds
from almondgap_core.verdict import Reason, Verdict
from almondgap_testkit.fakes.world import Attempted, FakeAnswer, World
from almondgap_testkit.scenarios.acts import Acts

#: Statuses that count as an answer to the caller.
ANSWERED = range(200, 500)

#: Time after which an accepted change has to be in force, in microseconds.
IN_FORCE_US = seconds(12)


@frozen
class Failure:
    """An expectation that does not hold.

    :ivar at: when it broke, in microseconds.
    :ivar host: where, empty if nowhere in particular.
    """

    text: str
    at: int = 0
    host: str = ""


@define
class Observations:
    """What a run left behind.

    :ivar limits: rate in thousandths and burst by account, as a list of changes.
    :ivar versions: version in force, by host, whenever it changed.
    """

    world: World
    acts: Acts
    limits: dict[str, list[tuple[int, int, int]]] = Factory(dict)
    versions: dict[str, list[tuple[int, int, int]]] = Factory(dict)

    def note(self) -> None:
        """Note the versions and limits in force now."""
        now = self.world.clock.now
        for name, host in self.world.hosts.items():
            if host.state is None:
                continue
            seen = (host.state.incarnation, host.state.settings.version)
            series = self.versions.setdefault(name, [])
            if not series or series[-1][1:] != seen:
                series.append((now, *seen))

    def note_limits(self) -> None:
        """Note the limits of the configuration that is now current."""
        for name, node in self.acts.deployment.document["accounts"].items():
            rate = round(node["rate_per_s"] * MILLIS_PER_UNIT)
            series = self.limits.setdefault(name, [])
            if not series or series[-1][1:] != (rate, node["burst"]):
                series.append((self.world.clock.now, rate, node["burst"]))

    def find_answers(self, account: str) -> list[FakeAnswer]:
        """Return the answers to an account's requests."""
        return [a for a in self.world.answers.values() if a.account == account]


@define
class IdealBucket:
    """One bucket for the whole fleet, in floating point.

    :ivar rate: tokens per second.
    """

    rate: float
    burst: float
    level: float
    updated: int = 0

    def take(self, now: int) -> bool:
        """Take a token if there is one."""
        gained = (now - self.updated) * self.rate / MICROS_PER_SECOND
        self.level = min(self.burst, self.level + gained)
        self.updated = now
        if self.level < 1 - 1e-6:
            return False
        self.level -= 1
        return True


def check_no_overshoot(seen: Observations) -> Failure | None:
    """Check that no account got more than its rate and burst in any window."""
    by_account: dict[str, list[Attempted]] = {}
    for attempted in seen.world.attempted:
        if attempted.attempt == 1 and attempted.account:
            by_account.setdefault(attempted.account, []).append(attempted)
    for account, admitted in by_account.items():
        bucket = None
        for attempted in admitted:
            rate, burst = _find_limit(seen, account, attempted.at)
            if bucket is None:
                bucket = IdealBucket(rate, burst, burst)
            bucket.rate, bucket.burst = rate, burst
            if not bucket.take(attempted.at):
                text = f"{account} got more than {rate:g}/s and {burst:g} at once"
                return Failure(text, attempted.at, attempted.host)
    return None


def _find_limit(seen: Observations, account: str, at: int) -> tuple[float, float]:
    """Return the greatest limit that may be in force at a time."""
    best = (0.0, 0.0)
    series = seen.limits[account]
    for index, (_, rate, burst) in enumerate(series):
        ended = series[index + 1][0] if index + 1 < len(series) else None
        began = series[index][0]
        if began <= at and (ended is None or at <= ended + IN_FORCE_US):
            best = (max(best[0], rate / MILLIS_PER_UNIT), max(best[1], burst))
    return best


def check_no_overload(seen: Observations) -> Failure | None:
    """Check that no target got a request when all its slots were taken."""
    for name, target in seen.world.targets.items():
        if target.overloads:
            return Failure(f"{name} was over its slots {target.overloads} times")
    return None


def check_at_most_once(seen: Observations) -> Failure | None:
    """Check that no label of a request that is not idempotent ran twice."""
    idempotent = seen.world.idempotent_labels
    for name, count in _count_runs(seen).items():
        if count > 1 and name not in idempotent:
            return Failure(f"{name} ran {count} times")
    return None


def _count_runs(seen: Observations) -> dict[str, int]:
    runs: dict[str, int] = {}
    for target in seen.world.targets.values():
        for label, count in target.ran.items():
            runs[label] = runs.get(label, 0) + count
    return runs


def check_truthful(seen: Observations) -> Failure | None:
    """Check that nothing ran where the answer says that it did not."""
    runs = _count_runs(seen)
    for req_id, answer in seen.world.answers.items():
        label = seen.world.labels[req_id]
        if answer.verdict is Verdict.NOT_RUN and runs.get(label):
            text = f"{req_id} ran, but the answer says not run"
            return Failure(text, answer.answered, answer.host)
    return None


def check_all_answered(seen: Observations) -> Failure | None:
    """Check that every request to a host that lived on was answered."""
    end = seen.world.clock.now
    for req_id, answer in seen.world.answers.items():
        if answer.verdict is not None or answer.cut:
            continue
        if _lived_on(seen, answer.host, answer.asked, end):
            text = f"{req_id} of {answer.account} got no answer"
            return Failure(text, answer.asked, answer.host)
    return None


def _lived_on(seen: Observations, name: str, start: int, end: int) -> bool:
    host = seen.world.hosts[name]
    if host.state is None or host.paused:
        return False
    changes = [at for at, *_ in seen.world.runs.get(name, [])]
    return not any(start <= at <= end for at in changes)


def check_no_revert(seen: Observations) -> Failure | None:
    """Check that no host went back to a smaller version."""
    for name, series in seen.versions.items():
        for (_, run, version), (at, next_run, next_version) in zip(
            series, series[1:], strict=False
        ):
            if run == next_run and next_version < version:
                return Failure(f"version {version} became {next_version}", at, name)
    return None


def check_in_force(seen: Observations, version: int, by: int) -> Failure | None:
    """Check that every host that runs had a version in force by a time."""
    for name, host in seen.world.hosts.items():
        if host.state is None:
            continue
        times = [at for at, _, v in seen.versions.get(name, []) if v >= version]
        if not times or times[0] > by:
            return Failure(f"version {version} was not in force", by, name)
    return None


def check_nothing_new(seen: Observations, target: str, after: int) -> Failure | None:
    """Check that a target got nothing new after a time."""
    late = [at for at in seen.world.targets[target].started if at > after]
    if late:
        return Failure(f"{target} got {len(late)} new requests", late[0])
    return None


def check_nothing_for(seen: Observations, account: str, after: int) -> Failure | None:
    """Check that nothing that arrived after a time ran for an account."""
    for attempted in seen.world.attempted:
        asked = seen.world.answers[attempted.req_id].asked
        if attempted.account == account and asked > after:
            text = f"{attempted.req_id} ran for {account}"
            return Failure(text, attempted.at, attempted.host)
    return None


def check_no_cut(seen: Observations) -> Failure | None:
    """Check that planned stops cut no request."""
    for req_id, answer in seen.world.answers.items():
        if answer.host in seen.acts.stopped and (answer.cut or not answer.verdict):
            if answer.asked < _find_end(seen, answer.host):
                return Failure(f"{req_id} was cut", answer.asked, answer.host)
    return None


def _find_end(seen: Observations, host: str) -> int:
    """Return when the last run of a host ended."""
    return max((at for at, what in seen.world.runs[host] if what == "end"), default=0)


def check_answered(seen: Observations, account: str, share: float) -> Failure | None:
    """Check the share of an account's requests that a target answered."""
    answers = seen.find_answers(account)
    good = sum(answer.status in ANSWERED for answer in answers)
    good -= sum(answer.status == 429 for answer in answers)
    return _compare_share(good, len(answers), share, least=True, what="answered")


def check_failures(seen: Observations, account: str, share: float) -> Failure | None:
    """Check the share of an account's requests that failed for reasons of ours."""
    answers = seen.find_answers(account)
    bad = sum(a.status >= 500 or a.status == 0 for a in answers)
    return _compare_share(bad, len(answers), share, least=False, what="failed")


def check_wrongful(seen: Observations, account: str, share: float) -> Failure | None:
    """Check the share of requests refused though one central bucket had a token."""
    answers = sorted(seen.find_answers(account), key=lambda answer: answer.asked)
    rate, burst = _find_limit(seen, account, 0)
    ideal = IdealBucket(rate, burst, burst)
    wrongful = 0
    for answer in answers:
        admitted = ideal.take(answer.asked)
        refused = answer.refusal and answer.refusal.reason is Reason.OVER_RATE
        wrongful += bool(admitted and refused)
    return _compare_share(
        wrongful, len(answers), share, least=False, what="refused wrongfully"
    )


def check_p99(seen: Observations, account: str, bound: int) -> Failure | None:
    """Check the 99th percentile of the time to answers from targets."""
    times = sorted(
        answer.answered - answer.asked
        for answer in seen.find_answers(account)
        if answer.verdict is Verdict.RAN
    )
    if not times:
        return Failure(f"{account} got no answers")
    p99 = times[min(len(times) * 99 // 100, len(times) - 1)]
    if p99 > bound:
        return Failure(f"p99 {p99 / 1_000:.1f} ms over {bound / 1_000:.1f} ms")
    return None


def check_region_load(seen: Observations, region: str, rate: float) -> Failure | None:
    """Check that no second brought a region more than a rate."""
    counts: dict[int, int] = {}
    for attempted in seen.world.attempted:
        domain = seen.world.targets[attempted.target].target.failure_domain
        if seen.world.inventory.failure_domains[domain].region == region:
            second = attempted.at // MICROS_PER_SECOND
            counts[second] = counts.get(second, 0) + 1
    for second, count in counts.items():
        if count > rate:
            return Failure(f"{region} got {count}/s", second * MICROS_PER_SECOND)
    return None


def _compare_share(part, whole, bound, least, what) -> Failure | None:
    if not whole:
        return Failure("no requests were sent")
    share = part / whole
    if share >= bound if least else share <= bound:
        return None
    sign = ">=" if least else "<="
    return Failure(
        f"{part} of {whole} {what} ({share:.3%}), expected {sign} {bound:.3%}"
    )


CHECKS: dict[str, Callable[..., Failure | None]] = {
    "no_overshoot": check_no_overshoot,
    "no_overload": check_no_overload,
    "at_most_once": check_at_most_once,
    "truthful": check_truthful,
    "all_answered": check_all_answered,
    "no_revert": check_no_revert,
    "in_force": check_in_force,
    "nothing_new": check_nothing_new,
    "nothing_for": check_nothing_for,
    "no_cut": check_no_cut,
    "answered": check_answered,
    "failures": check_failures,
    "wrongful": check_wrongful,
    "p99": check_p99,
    "region_load": check_region_load,
}

"""Judging a run: by account, and by each promise of the product."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from almondgap_core.limits.bucket import Bucket
from almondgap_core.settings.inventory import Account, Inventory
from almondgap_core.units import seconds
from almondgap_testkit.demo.records import RunRecord
from almondgap_testkit.demo.sample import Sample
from almondgap_testkit.standins.behaviour import Run

#: Longest time from an accepted change until it is in force on every host, in seconds.
IN_FORCE_BOUND_S = 12.0

#: Longest time for which a withdrawn key may still be served, in seconds.
WITHDRAWAL_BOUND_S = 5.0

#: Longest time for which a leaving target may still get new work, in seconds.
DRAIN_BOUND_S = 5.0

#: Longest way from a host's admission to the start at a target, in seconds.
TRANSIT_S = 0.5


class Held(Enum):
    """Whether a promise held in this run."""

    HELD = "held"
    BROKEN = "BROKEN"
    NOT_SHOWN = "not shown here"


@frozen
class Judgement:
    """One promise, and the figure that shows whether it held."""

    promise: str
    held: Held
    figure: str


@frozen
class AccountRow:
    """How one client account fared.

    :ivar wrongly_refused: refused although inside the rate, by a central bucket.
    """

    account: str
    sent: int
    answered: int
    refused: int
    wrongly_refused: int
    withdrawn: int
    unknown: int
    p50_ms: float
    p99_ms: float


def judge_accounts(inventory: Inventory, record: RunRecord) -> list[AccountRow]:
    """Return one row for each client account."""
    return [
        _judge_account(account, record.list_samples(account.name), record)
        for account in inventory.accounts.values()
    ]


def judge_promises(inventory: Inventory, record: RunRecord) -> list[Judgement]:
    """Return one judgement for each promise, in the order of the brief."""
    not_shown = Held.NOT_SHOWN
    return [
        Judgement("a shift of traffic stays under its cap", not_shown, ""),
        Judgement("no steering decision overloads a region", not_shown, ""),
        _judge_accounts_of_runs(record),
        _judge_keys(record),
        _judge_withdrawal(record),
        _judge_rates(inventory, record),
        _judge_whole_answers(record),
        _judge_not_run(record),
        _judge_at_most_once(record),
        _judge_drain(record),
        _judge_planned_stop(record),
        _judge_in_force(record),
        _judge_no_revert(record),
        _judge_errors(record),
    ]


def find_percentile(values: list[float], share: float) -> float:
    """Return the value below which ``share`` of all values lie, 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def count_wrongly_refused(account: Account, samples: list[Sample]) -> int:
    """Count refusals of requests that a central token bucket would have admitted."""
    wrong = 0
    bucket = Bucket.full(account.rate, account.burst, 0)
    for sample in sorted(samples, key=lambda sample: sample.due):
        admitted = bucket.take(seconds(sample.due))
        wrong += admitted and sample.refused
    return wrong


def find_excess(rate_per_s: float, burst: int, times: list[float]) -> float:
    """Return by how many requests the runs exceed rate and burst at the worst."""
    level, last, worst = 0.0, None, 0.0
    for at in sorted(times):
        if last is not None:
            level = max(level - (at - last) * rate_per_s, 0.0)
        level += 1.0
        last = at
        worst = max(worst, level - burst)
    return worst


def _judge_account(
    account: Account, samples: list[Sample], record: RunRecord
) -> AccountRow:
    valid = [sample for sample in samples if not record.is_withdrawn(sample)]
    answered = [sample for sample in valid if sample.answered]
    latencies = [sample.latency_ms for sample in answered]
    return AccountRow(
        account.name,
        len(samples),
        len(answered),
        sum(sample.refused for sample in valid),
        count_wrongly_refused(account, valid),
        len(samples) - len(valid),
        sum(not sample.answered and not sample.refused for sample in valid),
        find_percentile(latencies, 0.5),
        find_percentile(latencies, 0.99),
    )


def _judge_accounts_of_runs(record: RunRecord) -> Judgement:
    wrong = sum(
        run.label.rpartition("-")[0] != run.account for run in record.runs if run.label
    )
    return _judge(
        "a request runs only for the account whose key came",
        wrong == 0,
        f"{wrong} of {len(record.runs)} runs for another account",
        shown=bool(record.runs),
    )


def _judge_keys(record: RunRecord) -> Judgement:
    return _judge(
        "no target ever sees the key",
        record.keys_seen == 0,
        f"{record.keys_seen} of {len(record.runs)} requests with a key",
        shown=bool(record.runs),
    )


def _judge_withdrawal(record: RunRecord) -> Judgement:
    runs = record.list_runs(record.withdrawn_account)
    late = _measure_last(runs, record.withdrawn_at)
    later = sum(record.is_withdrawn(sample) for sample in record.samples)
    return _judge(
        "a withdrawn key stops within seconds",
        late <= WITHDRAWAL_BOUND_S,
        f"{later} requests after, the last run {late:.2f} s after, "
        f"at most {WITHDRAWAL_BOUND_S:g} s",
        shown=bool(runs and later),
    )


def _judge_rates(inventory: Inventory, record: RunRecord) -> Judgement:
    worst, name = float("-inf"), ""
    for account in inventory.accounts.values():
        rate = account.rate / 1_000
        times = [run.at for run in record.list_runs(account.name)]
        excess = find_excess(rate, account.burst, times) - rate * TRANSIT_S
        if excess > worst:
            worst, name = excess, account.name
    return _judge(
        "no account receives more than its rate and burst",
        worst <= 0,
        f"worst {name}: {worst:+.1f} requests, {TRANSIT_S:g} s of transit allowed",
        shown=bool(record.runs),
    )


def _judge_whole_answers(record: RunRecord) -> Judgement:
    answered = [sample for sample in record.samples if sample.status]
    wrong = sum(not sample.whole for sample in answered)
    return _judge(
        "a caller gets the whole answer to its own request",
        wrong == 0,
        f"{wrong} of {len(answered)} answers wrong",
        shown=any(sample.answered for sample in answered),
    )


def _judge_not_run(record: RunRecord) -> Judgement:
    ran = {run.label for run in record.runs}
    refused = [sample for sample in record.samples if sample.refused]
    single = [sample for sample in refused if not sample.broken_at]
    lies = sum(sample.label in ran for sample in single)
    return _judge(
        'a refusal that says "not run" is true',
        lies == 0,
        f"{lies} of {len(single)} refusals ran",
        shown=bool(single),
    )


def _judge_at_most_once(record: RunRecord) -> Judgement:
    counts: dict[str, int] = {}
    for run in record.runs:
        if run.method == "POST":
            counts[run.label] = counts.get(run.label, 0) + 1
    twice = sum(count > 1 for count in counts.values())
    return _judge(
        "a non-idempotent request runs at most once",
        twice == 0,
        f"{twice} of {len(counts)} payments ran twice",
        shown=bool(counts),
    )


def _judge_drain(record: RunRecord) -> Judgement:
    runs = [run for run in record.runs if run.target == record.drained_target]
    late = _measure_last(runs, record.drained_at)
    return _judge(
        "a leaving target gets no new work after seconds",
        late <= DRAIN_BOUND_S,
        f"last work {late:.2f} s after, at most {DRAIN_BOUND_S:g} s",
        shown=bool(runs),
    )


def _judge_planned_stop(record: RunRecord) -> Judgement:
    cut = sum(record.stopped_host in sample.broken_at for sample in record.samples)
    code = record.stop_code
    return _judge(
        "a planned stop cuts no request",
        cut == 0 and code == 0,
        f"{cut} requests cut, exit code {code}",
        shown=bool(record.stopped_host),
    )


def _judge_in_force(record: RunRecord) -> Judgement:
    worst = max(record.in_force_s, default=float("inf"))
    return _judge(
        "an accepted configuration is in force within seconds",
        worst <= IN_FORCE_BOUND_S,
        f"slowest of {len(record.in_force_s)} changes {worst:.2f} s, "
        f"at most {IN_FORCE_BOUND_S:g} s",
        shown=bool(record.in_force_s),
    )


def _judge_no_revert(record: RunRecord) -> Judgement:
    reverts = record.count_reverts()
    return _judge(
        "an accepted configuration never reverts",
        reverts == 0,
        f"{reverts} reverts in {len(record.sightings)} readings",
        shown=bool(record.sightings),
    )


def _judge_errors(record: RunRecord) -> Judgement:
    return _judge(
        "no host logs a fault of its own",
        not record.errors,
        f"{len(record.errors)} lines; {''.join(record.errors[:1])[:120]}",
        shown=bool(record.sightings),
    )


def _measure_last(runs: list[Run], since: float) -> float:
    return max((run.at - since for run in runs if run.at > since), default=0.0)


def _judge(promise: str, holds: bool, figure: str, shown: bool) -> Judgement:
    if not shown:
        return Judgement(promise, Held.NOT_SHOWN, figure)
    return Judgement(promise, Held.HELD if holds else Held.BROKEN, figure)

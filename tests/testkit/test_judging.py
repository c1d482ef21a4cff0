from __future__ import annotations

from unittest import TestCase

from almondgap_testkit.builders import build_inventory
from almondgap_testkit.demo.judging import (
    Held,
    count_wrongly_refused,
    find_excess,
    judge_promises,
)
from almondgap_testkit.demo.records import RunRecord, Sighting
from almondgap_testkit.demo.sample import Sample
from almondgap_testkit.standins.behaviour import Run

AT_MOST_ONCE = "a non-idempotent request runs at most once"
NOT_RUN = 'a refusal that says "not run" is true'
OTHER_ACCOUNT = "a request runs only for the account whose key came"
WITHDRAWN = "a withdrawn key stops within seconds"
DRAINED = "a leaving target gets no new work after seconds"
NO_REVERT = "an accepted configuration never reverts"
RATE = "no account receives more than its rate and burst"


def build_sample(label: str = "one-1", due: float = 0.0, **values) -> Sample:
    """Return a request of account one."""
    return Sample("one", "GET", label, due, **values)


def build_run(label: str = "one-1", at: float = 0.0, method: str = "GET") -> Run:
    """Return a run for account one."""
    return Run(at, "shop-1", "one", method, label)


def judge(record: RunRecord) -> dict[str, Held]:
    """Return what is said of each promise."""
    judgements = judge_promises(build_inventory(), record)
    return {judgement.promise: judgement.held for judgement in judgements}


class JudgingTests(TestCase):
    def test_nothing_is_held_when_nothing_happened(self):
        self.assertEqual(set(judge(RunRecord()).values()), {Held.NOT_SHOWN})

    def test_second_run_of_a_payment_breaks_the_promise(self):
        runs = [build_run(method="POST", at=at) for at in (0.0, 1.0)]
        self.assertIs(judge(RunRecord(runs=runs))[AT_MOST_ONCE], Held.BROKEN)
        self.assertIs(judge(RunRecord(runs=runs[:1]))[AT_MOST_ONCE], Held.HELD)

    def test_refusal_of_what_ran_breaks_the_promise(self):
        sample = build_sample(status=503, verdict="not-run")
        record = RunRecord(samples=[sample], runs=[build_run()])
        self.assertIs(judge(record)[NOT_RUN], Held.BROKEN)

    def test_run_for_another_account_breaks_the_promise(self):
        record = RunRecord(runs=[build_run(label="two-1")])
        self.assertIs(judge(record)[OTHER_ACCOUNT], Held.BROKEN)

    def test_late_run_with_a_withdrawn_key_breaks_the_promise(self):
        samples = [build_sample(due=11.0)]
        for at, held in ((12.0, Held.HELD), (16.0, Held.BROKEN)):
            record = RunRecord(samples=samples, runs=[build_run(at=at)])
            record.withdrawn_account, record.withdrawn_at = "one", 10.0
            self.assertIs(judge(record)[WITHDRAWN], held)

    def test_late_work_at_a_drained_target_breaks_the_promise(self):
        record = RunRecord(runs=[build_run(at=6.0)], drained_target="shop-1")
        self.assertIs(judge(record)[DRAINED], Held.BROKEN)

    def test_smaller_version_of_the_same_run_breaks_the_promise(self):
        first, second = Sighting("a", 1, 3), Sighting("a", 1, 2)
        restarted = Sighting("a", 2, 0)
        self.assertIs(
            judge(RunRecord(sightings=[first, restarted]))[NO_REVERT], Held.HELD
        )
        self.assertIs(
            judge(RunRecord(sightings=[first, second]))[NO_REVERT], Held.BROKEN
        )

    def test_more_than_rate_and_burst_breaks_the_promise(self):
        runs = [build_run(label=f"one-{n}") for n in range(11)]
        self.assertIs(judge(RunRecord(runs=runs))[RATE], Held.BROKEN)
        self.assertIs(judge(RunRecord(runs=runs[:5]))[RATE], Held.HELD)

    def test_excess_is_that_over_the_bucket(self):
        self.assertEqual(find_excess(1.0, 2, [0.0, 0.0, 0.0]), 1.0)
        self.assertEqual(find_excess(1.0, 2, [0.0, 1.0, 2.0, 3.0]), 0.0)

    def test_only_refusals_inside_the_rate_are_wrong(self):
        account = build_inventory().accounts["one"]
        samples = [build_sample(due=0.0, verdict="not-run") for _ in range(7)]
        self.assertEqual(count_wrongly_refused(account, samples), 5)

"""Every check of scenarios sees the fault that it is for."""

from __future__ import annotations

from unittest import TestCase

from attrs import evolve

from almondgap_core.verdict import Verdict
from almondgap_testkit.scenarios.acts import Acts
from almondgap_testkit.scenarios.checks import CHECKS, Observations
from almondgap_testkit.scenarios.deployments import Deployment
from almondgap_testkit.scenarios.parsing import parse_scenario
from almondgap_testkit.scenarios.runner import run_scenario

TEXT = (
    "deployment trust\nrun 8s\n"
    "traffic city-towers tickets 20/s at akl-a from 4s to 7s method POST\n"
)
ACCOUNT = "city-towers"


class CheckTests(TestCase):
    def setUp(self):
        self.world = run_scenario(parse_scenario(TEXT, "f")).world
        acts = Acts(self.world, Deployment.from_example("trust"))
        self.seen = Observations(self.world, acts)
        self.seen.note_limits()
        self.seen.limits = {
            name: [(0, *s[0][1:])] for name, s in self.seen.limits.items()
        }
        self.answer = next(iter(self.world.answers.values()))
        self.target = next(t for t in self.world.targets.values() if t.ran)

    def check(self, name: str, *args):
        return CHECKS[name](self.seen, *args)

    def assert_turns_red(self, name: str, spoil, *args) -> None:
        """Check that a check passes, and fails once the run is spoiled."""
        self.assertIsNone(self.check(name, *args))
        spoil()
        self.assertIsNotNone(self.check(name, *args))

    def test_overshoot(self):
        first = self.world.attempted[0]
        extra = [evolve(first, req_id=f"x{n}") for n in range(200)]
        self.assert_turns_red(
            "no_overshoot", lambda: self.world.attempted.extend(extra)
        )

    def test_overload(self):
        self.assert_turns_red(
            "no_overload", lambda: setattr(self.target, "overloads", 1)
        )

    def test_second_run(self):
        label = next(iter(self.target.ran))
        self.assert_turns_red(
            "at_most_once", lambda: self.target.ran.update({label: 2})
        )

    def test_false_refusal(self):
        self.assert_turns_red(
            "truthful", lambda: setattr(self.answer, "verdict", Verdict.NOT_RUN)
        )

    def test_request_without_an_answer(self):
        self.assert_turns_red(
            "all_answered", lambda: setattr(self.answer, "verdict", None)
        )

    def test_reverted_version(self):
        self.seen.versions = {"akl-a-1": [(0, 1, 1), (1, 1, 2)]}
        self.assert_turns_red(
            "no_revert", lambda: self.seen.versions["akl-a-1"].append((2, 1, 1))
        )

    def test_cut_by_a_stop(self):
        self.seen.acts.stopped.append(self.answer.host)
        self.world.runs[self.answer.host].append((self.world.clock.now, "end"))
        self.assert_turns_red("no_cut", lambda: setattr(self.answer, "cut", True))

    def test_failures_and_answers(self):
        def spoil() -> None:
            self.answer.status = 503

        self.assert_turns_red("failures", spoil, ACCOUNT, 0.0)
        self.assertIsNotNone(self.check("answered", ACCOUNT, 1.0))

    def test_work_after_a_time(self):
        self.assertIsNone(self.check("nothing_for", ACCOUNT, self.world.clock.now))
        self.assertIsNotNone(self.check("nothing_for", ACCOUNT, 0))
        name = self.target.target.name
        self.assertIsNone(self.check("nothing_new", name, self.world.clock.now))
        self.assertIsNotNone(self.check("nothing_new", name, 0))

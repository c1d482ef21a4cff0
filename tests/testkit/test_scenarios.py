from __future__ import annotations

from unittest import TestCase

from almondgap_testkit.scenarios.parsing import ScenarioError, parse_scenario
from almondgap_testkit.scenarios.runner import run_scenario

HEAD = "deployment trust\nrun 6s\n"
TRAFFIC = "traffic city-towers climb-slots 20/s at akl-a from 3s to 5s\n"


class LanguageTests(TestCase):
    def test_statements_are_typed(self):
        scenario = parse_scenario(
            HEAD + "seed 4\n# nothing\ntraffic city-towers tickets 2.5/s at akl-a, "
            "akl-b from 1s to 500ms method POST bursts 3\n"
            "at 1.5s cut akl-a from platform\nexpect p99 of city-towers <= 20ms",
            "f",
        )
        (traffic,) = scenario.traffic
        self.assertEqual(traffic.rate, 2.5)
        self.assertEqual(traffic.places, ("akl-a", "akl-b"))
        self.assertEqual((traffic.start, traffic.end), (1_000_000, 500_000))
        self.assertEqual((traffic.method, traffic.burst), ("POST", 3))
        self.assertEqual(scenario.acts[0].args, ("akl-a", "platform"))
        self.assertEqual(scenario.expectations[0].args, ("city-towers", 20_000))

    def test_fault_names_line_and_column(self):
        with self.assertRaises(ScenarioError) as caught:
            parse_scenario(HEAD + "at 3s explode akl-a\n", "f")
        self.assertIn("f: line 3, column 7", str(caught.exception))

    def test_unknown_name_is_refused(self):
        scenario = parse_scenario(HEAD + "at 1s crash akl-z-9\n", "f")
        with self.assertRaises(ScenarioError) as caught:
            run_scenario(scenario)
        self.assertIn("f: line 3: trust has no 'akl-z-9'", str(caught.exception))


class RunnerTests(TestCase):
    def run_text(self, text: str):
        return run_scenario(
            parse_scenario(HEAD + TRAFFIC + text, "f"), keep_events=True
        )

    def test_two_runs_are_identical(self):
        text = "random faults 3 from 3s to 5s\n"
        logs = []
        for _ in range(2):
            run = self.run_text(text)
            lines = [list(h.log.to_lines()) for h in run.world.hosts.values()]
            logs.append((run.summarize(), lines))
        self.assertEqual(logs[0], logs[1])

    def test_failed_expectation_names_line_time_and_host(self):
        run = self.run_text("expect nothing for city-towers after 3500ms\n")
        self.assertFalse(run.passed)
        first, *events = run.describe_failures()
        self.assertRegex(first, r"f: line 4: at 3\.\d+ s on akl-a-\d: r\d+ ran")
        self.assertTrue(any("RequestArrived" in line for line in events))

    def test_every_expectation_can_fail(self):
        run = self.run_text(
            "expect load of auckland <= 1/s\nexpect p99 of city-towers <= 1ms\n"
            "expect version 9 in force by 5s\nexpect answered of city-towers >= 100%\n"
            "expect nothing new at climb-slots-1 after 1s\n"
            + "".join(
                f"at 4s target climb-slots-{number} breaks\n" for number in range(1, 17)
            )
        )
        broken = {r.expectation.name for r in run.results if r.failure}
        expected = {"region_load", "p99", "in_force", "answered"}
        self.assertLessEqual(expected, broken)

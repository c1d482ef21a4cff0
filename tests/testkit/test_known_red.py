from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path
from unittest import TestCase

SUITE = """
from unittest import TestCase


class Sample(TestCase):
    def test_passes(self):
        for number in range(3):
            with self.subTest(number=number):
                self.assertTrue(True)

    def test_fails_in_a_subtest(self):
        for number in range(3):
            with self.subTest(number=number):
                self.assertNotEqual(number, 1)

    def test_fails(self):
        self.fail()
"""


def run_suite(*known: str) -> tuple[int, str]:
    """Return the exit code and closing line of a suite with two failures."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "test_sample.py").write_text(SUITE)
        lines = [f"test: test_sample.Sample.{test}\n" for test in known]
        (folder / "KNOWN-RED.txt").write_text("".join(lines))
        command = [sys.executable, "-m", "almondgap_testkit.suite", "."]
        done = subprocess.run(command, cwd=folder, capture_output=True, text=True)
        return done.returncode, done.stdout.strip().splitlines()[-1]


class KnownRedTests(TestCase):
    def test_failures_are_counted_once(self):
        self.assertEqual(run_suite(), (1, "1 passed, 2 failed"))

    def test_only_listed_failures_are_passed_over(self):
        self.assertEqual(run_suite("test_fails"), (1, "1 passed, 1 failed, 1 skipped"))

    def test_listed_subtests_are_passed_over(self):
        known = ("test_fails", "test_fails_in_a_subtest")
        self.assertEqual(run_suite(*known), (0, "1 passed, 0 failed, 2 skipped"))

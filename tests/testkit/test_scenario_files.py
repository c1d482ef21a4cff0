"""Every scenario file passes; the random one passes with many seeds."""

from __future__ import annotations

from unittest import TestCase

from almondgap_testkit.scenarios.__main__ import FOLDER, run_files, run_seeds

RANDOM = FOLDER / "trust" / "random.scenario"

#: Seeds that every run of the tests tries.
SEEDS = range(1, 201)

WORKERS = 6


class ScenarioFileTests(TestCase):
    def test_every_file_passes(self):
        paths = sorted(FOLDER.rglob("*.scenario"))
        self.assertGreater(len(paths), 50)
        results = run_files(paths, WORKERS)
        broken = [line for passed, lines in results if not passed for line in lines]
        self.assertEqual(broken, [])

    def test_random_faults_break_nothing(self):
        results = run_seeds(RANDOM, SEEDS, WORKERS)
        broken = [line for passed, lines in results if not passed for line in lines]
        self.assertEqual(broken, [])

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from unittest import TestCase

from almondgap_daemon.settings import Settings
from almondgap_testkit.fleet import EXAMPLES

BROKEN = Path(__file__).parent / "broken"

#: For each file, the place and what is said of it.
FAULTS = {
    "comma": (("line 6, column 3", ""),),
    "host-name": (("services.shop.targets[1].address", "an IP number"),),
    "key-itself": (("accounts.one.keys[0].digest", "64 hexadecimal digits"),),
    "missing-field": (("regions.north.capacity_per_s", "found nothing"),),
    "same-domain": (("regions.south.failure_domains", "not used by region north"),),
    "same-key": (("accounts.two.keys[0].id", "not used by account one"),),
    "same-target": (("services.shop.targets[1].name", "'shop-1'"),),
    "text-rate": (("accounts.one.rate_per_s", "found 'ten'"),),
    "three-faults": (
        ("services.shop.targets[0].slots", "found -1"),
        ("services.shop.targets[1].port", "found 70000"),
        ("accounts.two.burst", "found True"),
    ),
    "unknown-domain": (("services.shop.targets[1].failure_domain", "found 'c'"),),
    "unknown-field": (
        ("accounts.two.burst", "found nothing"),
        ("accounts.two.bursts", "expected 'burst'"),
    ),
    "unknown-service": (("accounts.two.services", "found 'hall'"),),
    "zero-slots": (("services.shop.targets[0].slots", "at least 1"),),
}


def run_check(*args: str) -> subprocess.CompletedProcess:
    """Run the command."""
    command = [sys.executable, "-m", "almondgap_cli.main", "check", *args]
    return subprocess.run(command, capture_output=True, text=True)


class CheckTests(TestCase):
    def test_every_broken_inventory_names_fault_and_place(self):
        files = sorted(BROKEN.glob("*.json"))
        self.assertEqual([file.stem for file in files], sorted(FAULTS))
        done = run_check(*map(str, files))
        self.assertEqual(done.returncode, 1)
        self.assertNotIn("Traceback", done.stderr)
        lines = iter(done.stderr.splitlines())
        for file in files:
            for place, text in FAULTS[file.stem]:
                with self.subTest(file=file.stem, place=place):
                    line = next(lines)
                    self.assertIn(f"{file}: {place}", line)
                    self.assertIn(text, line)
        self.assertEqual(list(lines), [])

    def test_examples_have_neither_faults_nor_warnings(self):
        files = sorted(map(str, EXAMPLES.glob("*/inventory.json")))
        done = run_check(*files, "--output", "json")
        self.assertEqual(done.returncode, 0, done.stdout)
        for report in json.loads(done.stdout):
            self.assertEqual((report["errors"], report["warnings"]), ([], []), report)

    def test_settings_of_the_examples_are_sound(self):
        for file in sorted(EXAMPLES.glob("*/hosts/*.json")):
            with self.subTest(file=file):
                cfg, warnings = Settings.read(file)
                self.assertEqual((cfg.host, warnings), (file.stem, ()))

    def test_faults_and_warnings_of_settings(self):
        source = EXAMPLES / "trust" / "hosts" / "akl-a-1.json"
        text = source.read_text().replace("127.10.1.1", "10.10.1.1")
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "host.json"
            file.write_text(text)
            done = run_check("--settings", str(file))
            self.assertEqual(done.returncode, 0)
            self.assertIn(f"{file}: warning: callers: is plain", done.stderr)
            file.write_text(text.replace('"cluster"', '"clutser"'))
            done = run_check("--settings", str(file))
            self.assertEqual(done.returncode, 1)
            self.assertIn("clutser: found", done.stderr)
            self.assertIn("expected 'cluster'", done.stderr)

    def test_unreadable_files_are_named(self):
        for args in (("missing.json",), ("--settings", "missing.json")):
            done = run_check(*args)
            self.assertEqual(done.returncode, 1)
            self.assertIn("missing.json: ", done.stderr)
            self.assertNotIn("Traceback", done.stderr)

    def test_neither_file_is_a_wrong_call(self):
        self.assertEqual(run_check().returncode, 2)

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path
from unittest import TestCase

from almondgap_core.steering.clientmap_codec import (
    decode_delta,
    decode_map,
)
from almondgap_core.steering.clientmap_delta import apply_delta

OLD = "prefix,place\n10.0.0.0/8,port\n2001:db8::/32,hill\n"
NEW = OLD + "10.1.0.0/16,hill\n"


def run(*args: object) -> subprocess.CompletedProcess:
    """Run the command line in a process of its own."""
    command = [sys.executable, "-m", "almondgap_cli.main", "map", *map(str, args)]
    return subprocess.run(command, capture_output=True, text=True, timeout=120)


class MapCommandTests(TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def build(self, name: str, text: str) -> tuple[Path, str]:
        """Return the file and the object name of a built map."""
        source = self.folder / f"{name}.csv"
        source.write_text(text)
        path = self.folder / f"{name}.map"
        done = run("build", source, "--output", path)
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("2 places", done.stderr)
        return path, done.stdout.strip()

    def test_build_diff_and_lookup(self):
        old, old_name = self.build("old", OLD)
        new, new_name = self.build("new", NEW)
        output = self.folder / "delta"
        done = run("diff", old, new, "--output", output)
        self.assertIn("IPV4: 1 ranges changed", done.stderr)
        delta = decode_delta(output.read_bytes())
        self.assertEqual(delta.parent, old_name)
        applied = apply_delta(decode_map(old_name, old.read_bytes()), delta)
        self.assertEqual(applied.find_site("10.1.2.3"), "hill")
        done = run("lookup", new, "10.1.2.3", "2001:db8::1", "11.0.0.1")
        expected = ["10.1.2.3 hill", "2001:db8::1 hill", "11.0.0.1 unknown block"]
        self.assertEqual(done.stdout.splitlines(), expected)
        self.assertNotEqual(old_name, new_name)

    def test_check_names_rows_and_fails(self):
        source = self.folder / "bad.csv"
        source.write_text(OLD + "10.0.0.1/8,port\n")
        done = run("check", source)
        self.assertEqual(done.returncode, 1)
        self.assertIn("bad.csv: row 4: ", done.stderr)

    def test_unreadable_files_are_told_in_a_sentence(self):
        for done in (
            run("check", self.folder / "none.csv"),
            run("lookup", self.folder / "none", "1.1.1.1"),
        ):
            self.assertEqual(done.returncode, 1)
            self.assertIn("none", done.stderr)
            self.assertNotIn("Traceback", done.stderr)

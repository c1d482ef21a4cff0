"""Tests that the core does no I/O and reads no clock or random numbers."""

from __future__ import annotations

import ast
from pathlib import Path
from unittest import TestCase

import almondgap_core

FORBIDDEN = {"twisted", "time", "random", "socket", "os", "secrets", "datetime"}


def find_imports(path: Path) -> set[str]:
    """Return the top-level names of the modules that a file imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.split(".")[0])
    return names


class PurityTests(TestCase):
    def test_core_imports_nothing_impure(self):
        files = sorted(Path(almondgap_core.__file__).parent.rglob("*.py"))
        self.assertGreater(len(files), 10)
        for path in files:
            self.assertEqual(find_imports(path) & FORBIDDEN, set(), path)

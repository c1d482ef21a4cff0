"""Checking that a test turns red when a rule is broken on purpose."""

from __future__ import annotations

from unittest import TestCase, TestResult


def assert_red(outer: TestCase, case: type[TestCase], name: str) -> None:
    """Check that a test fails, by an assertion and not by an error."""
    result = TestResult()
    case(name).run(result)
    outer.assertEqual(result.errors, [])
    outer.assertTrue(result.failures, f"{name} stayed green")

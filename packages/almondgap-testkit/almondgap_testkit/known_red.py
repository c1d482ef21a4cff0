"""A nose2 plugin that passes over the failures that KNOWN-RED.txt lists."""

from __future__ import annotations

from pathlib import Path

from nose2.events import Plugin
from nose2.result import ERROR, FAIL, SUBTEST

KNOWN_RED = Path("KNOWN-RED.txt")
TEST_WORD = "test:"


def read_known_red(path: Path = KNOWN_RED) -> tuple[str, ...]:
    """Return the identifiers of the tests that are known to fail."""
    if not path.exists():
        return ()
    lines = path.read_text().splitlines()
    return tuple(
        line.removeprefix(TEST_WORD).strip()
        for line in lines
        if line.startswith(TEST_WORD)
    )


class KnownRed(Plugin):
    """Lets the suite pass over failures that KNOWN-RED.txt lists."""

    alwaysOn = True
    configSection = "known-red"

    def __init__(self) -> None:
        self.names = read_known_red()
        self.passed = 0
        self.failed = 0
        self.skipped = 0
        self.seen: list[str] = []

    def setTestOutcome(self, event) -> None:
        """Turn a listed failure into a skip."""
        name = _find_name(event.test)
        if _is_failure(event) and name in self.names:
            if name not in self.seen:
                self.seen.append(name)
            event.outcome = "skipped"
            event.reason = "KNOWN-RED.txt"
            event.exc_info = None

    def reportOtherOutcome(self, event) -> None:
        """Count an outcome of another plugin as a failure."""
        self.failed += 1

    def testOutcome(self, event) -> None:
        """Count an outcome."""
        if _is_failure(event):
            self.failed += 1
        elif event.outcome == "skipped":
            self.skipped += 1
        elif event.outcome == "passed":
            self.passed += 1
        elif event.outcome != SUBTEST:
            self.failed += 1

    def afterSummaryReport(self, event) -> None:
        """Print what was passed over and the closing line."""
        for name in self.seen:
            event.stream.writeln(f"known red: {name}")
        skipped = f", {self.skipped} skipped" if self.skipped else ""
        print(f"{self.passed} passed, {self.failed} failed{skipped}", flush=True)


def _find_name(test) -> str:
    """Return the identifier of a test, also for one of its subtests."""
    return getattr(test, "test_case", test).id()


def _is_failure(event) -> bool:
    if event.outcome == SUBTEST:
        return event.exc_info is not None
    return event.outcome in (FAIL, ERROR)

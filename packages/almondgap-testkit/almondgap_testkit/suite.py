"""Runs the tests with nose2, several modules at once, and prints CI's closing line.

Each module of tests runs in a process of its own. Tests named in KNOWN-RED.txt may
fail; they are printed and counted as skipped.
"""

from __future__ import annotations

import argparse
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path

import nose2
from attrs import frozen

PLUGIN = "almondgap_testkit.known_red"
CLOSING = re.compile(r"^(\d+) passed, (\d+) failed(?:, (\d+) skipped)?$", re.MULTILINE)

#: Modules that run at once.
DEFAULT_WORKERS = 5

#: Folders whose modules take longest, so that they start first.
SLOW_FOLDERS = ("daemon", "operations", "limits", "steering")


@frozen
class ModuleResult:
    """What one module of tests printed, and its counts."""

    name: str
    output: str
    passed: int = 0
    failed: int = 0
    skipped: int = 0

    @classmethod
    def from_output(cls, name: str, output: str) -> ModuleResult:
        """Return the counts in the closing line; a module without one has failed."""
        found = CLOSING.search(output)
        if found is None:
            return cls(name, output, failed=1)
        passed, failed, skipped = (int(part or 0) for part in found.groups())
        return cls(name, output, passed, failed, skipped)


def main() -> None:
    """Run the tests below a folder, or the modules, classes or tests named."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", default="tests", nargs="?")
    parser.add_argument("names", nargs="*", help="names of tests to run")
    parser.add_argument("--workers", type=int, default=DEFAULT_WORKERS)
    args = parser.parse_args()
    if args.names:
        sys.exit(run_names(args.folder, args.names))
    modules = list_modules(Path(args.folder))
    sys.exit(run_modules(args.folder, modules, args.workers))


def run_names(folder: str, names: list[str]) -> int:
    """Run named tests in this process; return the exit code."""
    argv = ["nose2", "-s", folder, "-t", ".", *names]
    result = nose2.discover(argv=argv, exit=False, plugins=[PLUGIN]).result
    return 0 if result.wasSuccessful() else 1


def list_modules(folder: Path) -> list[str]:
    """Return the dotted names of all modules of tests, the slowest folders first."""
    paths = sorted(folder.rglob("test_*.py"), key=_rank)
    return [".".join(path.with_suffix("").parts) for path in paths]


def run_modules(folder: str, modules: list[str], workers: int) -> int:
    """Run modules in processes; return the exit code."""
    results: list[ModuleResult] = []
    with ThreadPoolExecutor(workers) as pool:
        waiting = [pool.submit(_run_module, folder, name) for name in modules]
        for done in as_completed(waiting):
            result = done.result()
            results.append(result)
            _print_result(result)
    passed = sum(result.passed for result in results)
    failed = sum(result.failed for result in results)
    skipped = sum(result.skipped for result in results)
    tail = f", {skipped} skipped" if skipped else ""
    print(f"{passed} passed, {failed} failed{tail}", flush=True)
    return 1 if failed or not passed else 0


def _rank(path: Path) -> tuple[int, str]:
    folder = path.parent.name
    known = SLOW_FOLDERS.index(folder) if folder in SLOW_FOLDERS else len(SLOW_FOLDERS)
    return known, str(path)


def _run_module(folder: str, name: str) -> ModuleResult:
    command = [sys.executable, "-m", "almondgap_testkit.suite", folder, name]
    done = subprocess.run(command, capture_output=True, text=True)
    result = ModuleResult.from_output(name, done.stdout + done.stderr)
    if done.returncode and not result.failed:
        return ModuleResult(name, result.output, failed=1)
    return result


def _print_result(result: ModuleResult) -> None:
    verdict = "FAILED" if result.failed else "ok"
    print(f"{verdict:<6} {result.name}: {result.passed} passed", flush=True)
    if result.failed:
        print(result.output, flush=True)
    elif result.skipped:
        lines = result.output.splitlines()
        print("\n".join(line for line in lines if line.startswith("known red")))


if __name__ == "__main__":
    main()

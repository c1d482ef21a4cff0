"""Runs scenario files: all of a folder, or those named; several seeds of one."""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from almondgap_core.exceptions import UserError
from almondgap_testkit.fleet import ROOT
from almondgap_testkit.scenarios.parsing import read_scenario
from almondgap_testkit.scenarios.runner import run_scenario

FOLDER = ROOT / "scenarios"
LOGS = ROOT / "out" / "scenarios"


def run_file(path: Path, seed: int | None = None) -> tuple[bool, list[str]]:
    """Run one file; return whether it passed and what to print."""
    scenario = read_scenario(path)
    run = run_scenario(scenario, seed)
    name = f"{path.parent.name}/{path.stem}"
    label = name if seed is None else f"{name} seed {seed}"
    if run.passed:
        return True, [f"ok    {label}: {run.summarize()}"]
    run = run_scenario(scenario, seed, keep_events=True)
    logs = run.write_logs(LOGS / label.replace(" ", "-"))
    lines = [f"FAIL  {label}: {run.summarize()}", *run.describe_failures()]
    return False, [*lines, f"    event logs: {logs[0].parent.relative_to(ROOT)}"]


def run_files(paths: list[Path], workers: int) -> list[tuple[bool, list[str]]]:
    """Run files, several at once, each in a worker process of the test tool."""
    with ProcessPoolExecutor(workers) as pool:
        return list(pool.map(run_file, paths))


def run_seeds(path: Path, seeds: range, workers: int) -> list[tuple[bool, list[str]]]:
    """Run one file with several seeds, each in a worker process of the test tool."""
    with ProcessPoolExecutor(workers) as pool:
        return list(pool.map(run_file, [path] * len(seeds), seeds, chunksize=4))


def main() -> None:
    """Run what the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", nargs="*", type=Path)
    parser.add_argument("--seeds", type=int, help="run each file with so many seeds")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--workers", type=int, default=4)
    args = parser.parse_args()
    files = args.files or sorted(FOLDER.rglob("*.scenario"))
    passed = failed = 0
    try:
        if args.seeds:
            seeds = range(args.first, args.first + args.seeds)
            batches = [run_seeds(path, seeds, args.workers) for path in files]
            results = [result for batch in batches for result in batch]
        else:
            results = run_files(files, args.workers)
        for good, lines in results:
            passed, failed = passed + good, failed + (not good)
            if not good or not args.seeds:
                print("\n".join(lines), flush=True)
    except UserError as exc:
        sys.exit(str(exc))
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

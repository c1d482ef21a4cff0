"""Runs measurements and prints one JSON object for each figure, then a table."""

from __future__ import annotations

import argparse
import importlib
import pkgutil
import sys
from collections.abc import Iterator
from pathlib import Path

from almondgap_testkit import bench
from almondgap_testkit.bench.figure import Figure
from almondgap_testkit.bench.history import (
    compare,
    list_history,
    read_history,
    write_history,
)
from almondgap_testkit.bench.report import write_report
from almondgap_testkit.bench.series import Series

#: Modules of measurements start with this word and have ``measure()``.
MODULE_PREFIX = "measure_"


def list_measurements() -> list[str]:
    """Return the names of all measurements."""
    names = [module.name for module in pkgutil.iter_modules(bench.__path__)]
    return [
        name.removeprefix(MODULE_PREFIX)
        for name in names
        if name.startswith(MODULE_PREFIX)
    ]


def run_measurement(name: str) -> Iterator[Figure | Series]:
    """Yield the figures of one measurement, and series for plots."""
    module = importlib.import_module(f"{bench.__name__}.{MODULE_PREFIX}{name}")
    yield from module.measure()


def main() -> None:
    """Run the measurements named on the command line, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="measurements to run")
    parser.add_argument("--report", type=Path, help="folder for an HTML report")
    parser.add_argument("--keep", help="keep the figures under this version's name")
    args = parser.parse_args()
    figures: list[Figure] = []
    plots: list[Series] = []
    for name in args.names or list_measurements():
        for item in run_measurement(name):
            if isinstance(item, Series):
                plots.append(item)
                continue
            figures.append(item)
            print(item.to_json(), flush=True)
    _print_tables(figures)
    if args.keep:
        print(f"kept in {write_history(args.keep, figures).name}")
    if args.report:
        print(f"report: {write_report(args.report, figures, plots)}")
    missed = sum(not figure.ok for figure in figures)
    print(f"\n{len(figures)} figures, {missed} missed their bound")
    sys.exit(1 if missed else 0)


def _print_tables(figures: list[Figure]) -> None:
    print()
    for figure in figures:
        print(figure.to_row())
    kept = list_history()
    if not kept:
        return
    rows = compare(figures, read_history(kept[-1]))
    if rows:
        print(f"\nAgainst version {kept[-1]}:")
        print("\n".join(rows))


if __name__ == "__main__":
    main()

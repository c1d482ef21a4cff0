"""Runs measurements and prints one JSON object for each figure, then a table."""

from __future__ import annotations

import argparse
import importlib
import pkgutil
import sys
from collections.abc import Iterator

from almondgap_testkit import bench
from almondgap_testkit.bench.figure import Figure

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


def run_measurement(name: str) -> Iterator[Figure]:
    """Yield the figures of one measurement."""
    module = importlib.import_module(f"{bench.__name__}.{MODULE_PREFIX}{name}")
    yield from module.measure()


def main() -> None:
    """Run the measurements named on the command line, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="measurements to run")
    args = parser.parse_args()
    figures = []
    for name in args.names or list_measurements():
        for figure in run_measurement(name):
            figures.append(figure)
            print(figure.to_json(), flush=True)
    print()
    for figure in figures:
        print(figure.to_row())
    missed = sum(not figure.ok for figure in figures)
    print(f"\n{len(figures)} figures, {missed} missed their bound")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()

"""Figures of earlier versions, kept to be compared with."""

from __future__ import annotations

import json
from pathlib import Path

from almondgap_testkit.bench.figure import Figure
from almondgap_testkit.fleet import ROOT

FOLDER = ROOT / "bench" / "history"


def write_history(name: str, figures: list[Figure]) -> Path:
    """Write the figures of this version as ``NAME.jsonl`` and return the file."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    path = FOLDER / f"{name}.jsonl"
    path.write_text("".join(figure.to_json() + "\n" for figure in figures))
    return path


def read_history(name: str) -> dict[str, float]:
    """Return the figures of an earlier version by name.

    :raises FileNotFoundError: that version was not kept.
    """
    lines = (FOLDER / f"{name}.jsonl").read_text().splitlines()
    nodes = [json.loads(line) for line in lines]
    return {node["name"]: node["value"] for node in nodes}


def list_history() -> list[str]:
    """Return the names of the versions that were kept, oldest first."""
    return sorted(path.stem for path in FOLDER.glob("*.jsonl"))


def compare(figures: list[Figure], earlier: dict[str, float]) -> list[str]:
    """Return a row for each figure that an earlier version has too."""
    rows = []
    for figure in figures:
        if figure.name not in earlier:
            continue
        before = earlier[figure.name]
        change = "" if not before else f"{(figure.value - before) / abs(before):+.1%}"
        rows.append(f"{figure.name:<58} {before:>12.4g} {figure.value:>12.4g} {change}")
    return rows

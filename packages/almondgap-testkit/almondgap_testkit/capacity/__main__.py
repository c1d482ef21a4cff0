"""Measures the slopes and writes the table of docs/CAPACITY.md anew."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from almondgap_testkit.bench.series import Series
from almondgap_testkit.capacity.fleet_slopes import measure_fleets
from almondgap_testkit.capacity.model import Line, compute_lines
from almondgap_testkit.capacity.part_slopes import measure_parts, measure_process
from almondgap_testkit.capacity.request_slopes import measure_requests
from almondgap_testkit.fleet import ROOT

PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN = "<!-- figures begin: written by make capacity -->"
END = "<!-- figures end -->"


def main() -> None:
    """Measure, print the series and write the page's table."""
    slopes: dict[str, Series] = {}
    for series in itertools.chain(
        measure_fleets(), measure_requests(), measure_parts()
    ):
        slopes[series.title] = series
        print(f"{series.title}: {series.xs} -> {series.ys}", flush=True)
    lines = compute_lines(slopes, measure_process())
    text = PAGE.read_text()
    PAGE.write_text(replace_table(text, lines, list(slopes.values())))
    over = [line for line in lines if line.bound and line.value > line.bound]
    for line in over:
        print(f"over its budget: {line.role}, {line.what}: {line.value:,.4g}")
    print(f"{len(lines)} lines, {len(over)} over their budget")


def replace_table(text: str, lines: list[Line], slopes: list[Series]) -> str:
    """Return the page with the figures between its marks written anew.

    :raises ValueError: the page has no marks.
    """
    before, mark, rest = text.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not mark or not end:
        raise ValueError(f"{PAGE.name} has no marks for the figures")
    body = "\n".join([*_make_table(lines), "", *_make_series(slopes)])
    return f"{before}{BEGIN}\n\n{body}\n\n{END}{after}"


def _make_table(lines: list[Line]) -> Iterator[str]:
    yield "| Role | What | At full size | Budget | Formula | Command |"
    yield "|---|---|---|---|---|---|"
    for line in lines:
        yield line.to_row()


def _make_series(slopes: list[Series]) -> Iterator[str]:
    yield "| Measured series | Sizes | Values |"
    yield "|---|---|---|"
    for series in slopes:
        sizes = ", ".join(f"{x:,.0f}" for x in series.xs)
        values = ", ".join(f"{y:,.4g}" for y in series.ys)
        name = f"{series.title}: {series.y_name}"
        yield f"| {name} | {sizes} {series.x_name} | {values} |"


if __name__ == "__main__":
    main()

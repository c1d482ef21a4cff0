"""An HTML report of figures, with plots of bounds, slopes and courses."""

from __future__ import annotations

import base64
import html
import io
from pathlib import Path

import matplotlib

from almondgap_testkit.bench.figure import Figure
from almondgap_testkit.bench.series import Series

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

STYLE = """
body { font: 15px sans-serif; margin: 2em auto; max-width: 70em; }
table { border-collapse: collapse; }
td, th { padding: 0.2em 0.8em; text-align: left; border-bottom: 1px solid #ddd; }
td.number { text-align: right; }
tr.missed td { background: #fdd; }
"""

PLOT_INCHES = (7.5, 3.6)


def write_report(folder: Path, figures: list[Figure], plots: list[Series]) -> Path:
    """Write ``index.html`` with a table and one plot for each concern and series."""
    folder.mkdir(parents=True, exist_ok=True)
    parts = ["<h1>almondgap: measured figures</h1>", _make_table(figures)]
    for concern, members in _group(figures).items():
        with_bound = [figure for figure in members if figure.bound]
        if with_bound:
            parts.append(f"<h2>{html.escape(concern)}: share of the bound</h2>")
            parts.append(_plot_bounds(with_bound))
    for title, members in _group_plots(plots).items():
        parts.append(f"<h2>{html.escape(title)}</h2>")
        parts.append(_plot_series(members))
    body = "\n".join(parts)
    page = folder / "index.html"
    page.write_text(
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>"
        f"<title>almondgap figures</title><style>{STYLE}</style></head>"
        f"<body>{body}</body></html>\n"
    )
    return page


def _make_table(figures: list[Figure]) -> str:
    head = "<tr><th>figure<th>value<th>unit<th>bound<th>baseline<th>verdict</tr>"
    return f"<table>{head}{''.join(map(_make_row, figures))}</table>"


def _make_row(figure: Figure) -> str:
    sign = "≥" if figure.least else "≤"
    bound = "" if figure.bound is None else f"{sign} {figure.bound:g}"
    baseline = "" if figure.baseline is None else f"{figure.baseline:.4g}"
    verdict = "" if figure.bound is None else ("ok" if figure.ok else "missed")
    css = "" if figure.ok else " class='missed'"
    return (
        f"<tr{css}><td>{html.escape(figure.name)}<td class='number'>{figure.value:.4g}"
        f"<td>{html.escape(figure.unit)}<td>{bound}<td class='number'>{baseline}"
        f"<td>{verdict}</tr>"
    )


def _group(figures: list[Figure]) -> dict[str, list[Figure]]:
    groups: dict[str, list[Figure]] = {}
    for figure in figures:
        groups.setdefault(figure.name.split(".")[0], []).append(figure)
    return groups


def _group_plots(plots: list[Series]) -> dict[str, list[Series]]:
    groups: dict[str, list[Series]] = {}
    for series in plots:
        groups.setdefault(series.title, []).append(series)
    return groups


def _plot_bounds(figures: list[Figure]) -> str:
    height = max(1.2, 0.28 * len(figures) + 0.8)
    drawing, axes = pyplot.subplots(figsize=(PLOT_INCHES[0], height))
    names = [figure.name.split(".", 1)[1] for figure in figures]
    shares = [_measure_share(figure) for figure in figures]
    colours = ["#3a7" if figure.ok else "#c33" for figure in figures]
    axes.barh(names, shares, color=colours)
    axes.axvline(1.0, color="black", linewidth=1)
    axes.set_xlabel("share of the bound that is used (1 is the bound)")
    axes.invert_yaxis()
    axes.tick_params(labelsize=7)
    return _embed(drawing)


def _measure_share(figure: Figure) -> float:
    """Return how much of the bound is used; at most 2, so that bars stay readable."""
    if figure.least:
        share = figure.bound / figure.value if figure.value else 2.0
    else:
        share = figure.value / figure.bound
    return min(share, 2.0)


def _plot_series(members: list[Series]) -> str:
    drawing, axes = pyplot.subplots(figsize=PLOT_INCHES)
    for series in members:
        axes.plot(series.xs, series.ys, marker="o", markersize=3, label=series.label)
    axes.set_xlabel(members[0].x_name)
    axes.set_ylabel(members[0].y_name)
    axes.set_ylim(bottom=0)
    axes.legend(fontsize=8)
    axes.grid(alpha=0.3)
    return _embed(drawing)


def _embed(drawing) -> str:
    stream = io.BytesIO()
    drawing.tight_layout()
    drawing.savefig(stream, format="png", dpi=110)
    pyplot.close(drawing)
    data = base64.b64encode(stream.getvalue()).decode()
    return f"<img alt='plot' src='data:image/png;base64,{data}'>"

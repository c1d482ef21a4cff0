"""One measured figure, with its bound and its baseline."""

from __future__ import annotations

import json

from attrs import frozen


@frozen
class Figure:
    """A figure that a measurement gave.

    :ivar name: dotted name, first the concern.
    :ivar bound: what the target asks for, or None for a figure without one.
    :ivar least: whether the bound is the least value allowed, not the greatest.
    :ivar baseline: the same figure of the way that it is compared with.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    least: bool = False
    baseline: float | None = None

    @property
    def ok(self) -> bool:
        """Whether the value keeps the bound."""
        if self.bound is None:
            return True
        return self.value >= self.bound if self.least else self.value <= self.bound

    def to_json(self) -> str:
        """Return the figure as one line of JSON."""
        body = {
            "name": self.name,
            "value": self.value,
            "unit": self.unit,
            "bound": self.bound,
            "least": self.least,
            "ok": self.ok,
            "baseline": self.baseline,
        }
        return json.dumps(body)

    def to_row(self) -> str:
        """Return the figure as a row of the closing table."""
        sign = ">=" if self.least else "<="
        bound = "" if self.bound is None else f"{sign} {self.bound:g}"
        baseline = "" if self.baseline is None else f"{self.baseline:.4g}"
        verdict = "" if self.bound is None else ("ok" if self.ok else "MISSED")
        return (
            f"{self.name:<58} {self.value:>12.4g} {self.unit:<10} "
            f"{bound:<12} {baseline:>10} {verdict}"
        )

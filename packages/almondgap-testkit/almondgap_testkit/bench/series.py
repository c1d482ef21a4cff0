"""Series of points that a measurement collects for the report's plots."""

from __future__ import annotations

from attrs import frozen


@frozen
class Series:
    """One line of a plot.

    :ivar title: name of the plot; series of one title share it.
    :ivar x_name: what the x axis shows, with its unit; likewise ``y_name``.
    """

    title: str
    label: str
    x_name: str
    y_name: str
    xs: tuple[float, ...]
    ys: tuple[float, ...]

    def fit_slope(self) -> tuple[float, float]:
        """Return slope and intercept of the least-squares line through the points."""
        count = len(self.xs)
        mean_x = sum(self.xs) / count
        mean_y = sum(self.ys) / count
        above = sum(
            (x - mean_x) * (y - mean_y) for x, y in zip(self.xs, self.ys, strict=True)
        )
        below = sum((x - mean_x) ** 2 for x in self.xs)
        slope = above / below
        return slope, mean_y - slope * mean_x

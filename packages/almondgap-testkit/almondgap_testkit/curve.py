"""Nearest places by their order along a space-filling curve, for comparison.

The curve is the H-curve of Niedermeier, Reinhardt and Sanders, "Towards optimal
locality in mesh-indexings", Discrete Applied Mathematics 117 (2002), which Mykoniati et
al., "Distributed Overlay Anycast Tables using Space Filling Curves", use. It visits
right triangles that are halved again and again, and ends where it began.
"""

from __future__ import annotations

import math
from bisect import bisect_left

from attrs import Factory, define

from almondgap_core.settings.topology import Position

#: Halvings of the first triangles.
LEVELS = 24


def compute_place(position: Position, extent: float) -> int:
    """Return the place of a position along the curve, from 0 to 2 ** (LEVELS + 1) - 1.

    :param extent: coordinates lie between ``-extent`` and ``extent``.
    """
    x = (position[0] + extent) / (2 * extent)
    y = (position[1] + extent) / (2 * extent)
    upper = y > x
    start_x, start_y, end_x, end_y = (1, 1, 0, 0) if upper else (0, 0, 1, 1)
    corner_x, corner_y = (0, 1) if upper else (1, 0)
    place = int(upper)
    for _ in range(LEVELS):
        middle_x, middle_y = (start_x + end_x) / 2, (start_y + end_y) / 2
        along = (x - middle_x) * (end_x - start_x) + (y - middle_y) * (end_y - start_y)
        place <<= 1
        if along < 0:
            end_x, end_y = corner_x, corner_y
        else:
            place |= 1
            start_x, start_y = corner_x, corner_y
        corner_x, corner_y = middle_x, middle_y
    return place


@define
class CurveIndex:
    """Places in the order of the curve.

    :ivar candidates: places looked at on each side; of more than one the nearest wins.
    """

    positions: list[Position]
    extent: float
    candidates: int
    _places: list[tuple[int, int]] = Factory(list)

    def __attrs_post_init__(self) -> None:
        """Sort the places."""
        self._places = sorted(
            (compute_place(position, self.extent), index)
            for index, position in enumerate(self.positions)
        )

    def find(self, position: Position) -> int:
        """Return the index of a place that is near in the order of the curve."""
        place = compute_place(position, self.extent)
        at = bisect_left(self._places, (place, 0))
        count = len(self._places)
        around = range(at - self.candidates, at + self.candidates)
        found = [self._places[index % count] for index in around]
        if self.candidates == 1:
            ring = 1 << LEVELS + 1
            return min(found, key=lambda entry: _measure_arc(entry[0], place, ring))[1]
        return min(
            (index for _, index in found),
            key=lambda index: math.dist(position, self.positions[index]),
        )


def find_exactly(positions: list[Position], position: Position) -> int:
    """Return the index of the nearest position."""
    return min(
        range(len(positions)), key=lambda index: math.dist(position, positions[index])
    )


def _measure_arc(one: int, other: int, ring: int) -> int:
    along = abs(one - other)
    return min(along, ring - along)

from __future__ import annotations

import math
import random
from unittest import TestCase

from almondgap_testkit.curve import CurveIndex, compute_place, find_exactly


class CurveTests(TestCase):
    def test_curve_is_closed_and_connected(self):
        side = 32
        cells = [(x + 0.25, y + 0.6) for x in range(side) for y in range(side)]
        centred = {cell: (cell[0] - side / 2, cell[1] - side / 2) for cell in cells}
        ordered = sorted(cells, key=lambda c: compute_place(centred[c], side / 2))
        steps = [
            math.dist(one, other)
            for one, other in zip(ordered, ordered[1:] + ordered[:1], strict=True)
        ]
        self.assertLess(max(steps), 4)

    def test_enough_candidates_find_the_nearest(self):
        rng = random.Random(3)

        def draw():
            return (rng.uniform(-1, 1), rng.uniform(-1, 1))

        positions = [draw() for _ in range(20)]
        index = CurveIndex(positions, 1, 10)
        for _ in range(100):
            at = draw()
            self.assertEqual(index.find(at), find_exactly(positions, at))

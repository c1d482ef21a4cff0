from __future__ import annotations

import time
from unittest import TestCase

from almondgap_core.messages import decode, encode
from almondgap_core.steering.acquisition import NUMBERS_PER_INCARNATION
from almondgap_core.steering.messages import SlotRelease
from almondgap_daemon.main import make_incarnation


class IncarnationTests(TestCase):
    def test_later_run_has_the_greater_number(self):
        now = time.time_ns()
        self.assertGreater(make_incarnation(now + 1_000_000), make_incarnation(now))

    def test_numbers_of_real_runs_fit_into_messages(self):
        number = make_incarnation(time.time_ns()) * NUMBERS_PER_INCARNATION * 2
        message = SlotRelease(number, 0)
        self.assertEqual(decode(encode(message)), message)

from __future__ import annotations

import time
from unittest import TestCase
from unittest.mock import patch

from twisted.internet.selectreactor import SelectReactor

from almondgap_daemon.gateway.process import use_monotonic_clock


class ClockTests(TestCase):
    def test_time_of_day_that_is_set_moves_no_timer(self):
        reactor = SelectReactor()
        use_monotonic_clock(reactor)
        timer = reactor.callLater(1.0, lambda: None)
        before = reactor.seconds()
        with patch.object(time, "time", lambda: 0.0):
            self.assertGreaterEqual(reactor.seconds(), before)
            self.assertAlmostEqual(timer.getTime(), before + 1.0, delta=0.5)
            self.assertLessEqual(reactor.timeout(), 1.0)
        timer.cancel()

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from unittest import TestCase
from unittest.mock import patch

from twisted.internet.selectreactor import SelectReactor

from almondgap_daemon.gateway.process import EXIT_BAD_SETTINGS, use_monotonic_clock
from almondgap_daemon.platform.settings import SETTINGS_VARIABLE


class ClockTests(TestCase):
    def test_setting_the_time_of_day_moves_no_timer(self):
        reactor = SelectReactor()
        use_monotonic_clock(reactor)
        timer = reactor.callLater(1.0, lambda: None)
        before = reactor.seconds()
        with patch.object(time, "time", lambda: 0.0):
            self.assertGreaterEqual(reactor.seconds(), before)
            self.assertAlmostEqual(timer.getTime(), before + 1.0, delta=0.5)
            self.assertLessEqual(reactor.timeout(), 1.0)
        timer.cancel()


class StartTests(TestCase):
    def test_reload_during_the_start_does_not_end_the_process(self):
        # Guards against a host that ends when its settings change while it starts.
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "host.json")
            os.mkfifo(path)
            process = subprocess.Popen(
                [sys.executable, "-m", "almondgap_daemon"],
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
                stderr=subprocess.DEVNULL,
            )
            self.addCleanup(process.wait)
            self.addCleanup(process.kill)
            # Opening waits until the process reads its settings.
            with path.open("w") as settings:
                process.send_signal(signal.SIGHUP)
                settings.write("no settings")
            self.assertEqual(process.wait(10), EXIT_BAD_SETTINGS)

"""What a host logs of targets that it takes to be down."""

from __future__ import annotations

from unittest import TestCase

from almondgap_core.gateway.events import AttemptFailed, Failure, TargetAnswered
from almondgap_core.gateway.reports import TargetChanged
from almondgap_core.units import millis
from almondgap_core.verdict import Verdict
from almondgap_testkit.gateways.builders import GatewayHarness, announce


class DownTests(TestCase):
    def test_log_tells_how_long_no_target_was_reached(self):
        gateway = GatewayHarness.build((announce("t1"), announce("t2")))
        gateway.call()
        gateway.feed(TargetAnswered, 1, 1, 200, False, False, True)
        gateway.now += millis(700)
        gateway.call()
        failure = (Failure.NOT_CONNECTED, Verdict.NOT_RUN)
        gateway.feed(AttemptFailed, 2, 1, *failure)
        [changed] = [
            report
            for report in gateway.list_reports()
            if isinstance(report, TargetChanged)
        ]
        self.assertEqual((changed.state, changed.silent_ms), ("down", 700))

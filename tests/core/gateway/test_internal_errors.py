"""An unexpected error in one step ends the request concerned, and nothing else."""

from __future__ import annotations

from unittest import TestCase
from unittest.mock import patch

from almondgap_core.gateway import dispatch
from almondgap_core.gateway.effects import Refuse, Send
from almondgap_core.gateway.reducer import fail_call
from almondgap_core.verdict import Verdict
from almondgap_testkit.gateways.builders import GatewayHarness, announce


class FailedStepTests(TestCase):
    def test_request_that_was_not_sent_is_refused_as_not_run(self):
        harness = GatewayHarness.build((announce("t1"),))
        with patch.object(dispatch, "check_overload", side_effect=RuntimeError):
            with self.assertRaises(RuntimeError):
                harness.call()
        effects = fail_call(harness.state, harness.number)
        refusal = next(each.refusal for each in effects if isinstance(each, Refuse))
        self.assertEqual((refusal.status, refusal.verdict), (503, Verdict.NOT_RUN))
        self.assertEqual(harness.state.calls, {})
        harness.call()
        self.assertEqual(len(harness.find(Send)), 1)

    def test_request_that_was_sent_may_have_run(self):
        harness = GatewayHarness.build((announce("t1"),))
        harness.call()
        effects = fail_call(harness.state, harness.number)
        refusal = next(each.refusal for each in effects if isinstance(each, Refuse))
        self.assertEqual((refusal.status, refusal.verdict), (502, Verdict.MAY_HAVE_RUN))

    def test_request_that_was_sent_no_longer_counts_as_load(self):
        harness = GatewayHarness.build((announce("t1"),))
        harness.call()
        fail_call(harness.state, harness.number)
        self.assertEqual(harness.state.targets["t1"].in_flight, 0)

    def test_error_outside_of_a_request_changes_nothing(self):
        harness = GatewayHarness.build((announce("t1"),))
        harness.call()
        self.assertEqual(fail_call(harness.state, 0), [])
        self.assertEqual(list(harness.state.calls), [harness.number])

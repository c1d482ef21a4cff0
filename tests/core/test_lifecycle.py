"""A planned stop cuts nothing, loses no record and keeps its deadline."""

from __future__ import annotations

from unittest import TestCase

from almondgap_core.effects import LogEntry, Stopped
from almondgap_core.events import DrainRequested, Tick
from almondgap_core.reducer import step
from almondgap_core.stages import Stage
from almondgap_core.units import seconds
from almondgap_core.verdict import Reason, Verdict
from almondgap_testkit.builders import build_arrival, build_state
from almondgap_testkit.fakes.payments import Payments


class StageTests(TestCase):
    def setUp(self):
        self.state = build_state()
        step(self.state, Tick(0))

    def test_serves_until_cached_look_ups_ran_out(self):
        step(self.state, DrainRequested(0))
        step(self.state, Tick(seconds(4.9)))
        self.assertIs(self.state.lifecycle.stage, Stage.DRAINING)
        self.assertTrue(self.state.lifecycle.accepts_requests)
        step(self.state, Tick(seconds(5.1)))
        self.assertFalse(self.state.lifecycle.accepts_requests)
        effects = step(self.state, build_arrival(seconds(5.2), "late"))
        refusal = effects[0].refusal
        self.assertIs(refusal.reason, Reason.STOPPING)
        self.assertIs(refusal.verdict, Verdict.NOT_RUN)

    def test_waits_for_requests_but_not_beyond_the_deadline(self):
        step(self.state, build_arrival(seconds(1)))
        step(self.state, DrainRequested(seconds(1), seconds(31)))
        effects = step(self.state, Tick(seconds(30)))
        self.assertFalse(any(isinstance(e, Stopped) for e in effects))
        effects = step(self.state, Tick(seconds(31)))
        self.assertTrue(any(isinstance(e, Stopped) for e in effects))
        (entry,) = [e for e in effects if isinstance(e, LogEntry)]
        self.assertEqual(dict(entry.fields)["cut"], 1)

    def test_second_stop_changes_nothing(self):
        step(self.state, DrainRequested(0))
        step(self.state, DrainRequested(seconds(4)))
        self.assertEqual(self.state.lifecycle.drain_started_at, 0)


class HandOverTests(TestCase):
    def test_planned_stop_leaves_no_doubt(self):
        self.check_stop({"a-1": "a", "a-2": "a", "b-1": "b"}, "a-1", "a-2")

    def test_only_host_of_a_failure_domain_keeps_its_records_elsewhere(self):
        self.check_stop({"a-1": "a", "b-1": "b", "b-2": "b"}, "a-1", None)

    def check_stop(self, hosts, stopping, heir):
        with Payments.begin(hosts=hosts) as payments:
            for number in range(100):
                payments.begin_payment(stopping, f"p{number}")
                payments.run(0.02)
            payments.drain(stopping)
            payments.run(0.2)
            self.assertNotIn(
                f"{stopping}", {h for h in hosts if payments.is_named(h, stopping)}
            )
            payments.run(12)
            self.assertIsNone(payments.world.hosts[stopping].state)
            payments.take_over(stopping)
            if heir is None:
                payments.restart(stopping)
            payments.run(3)
            entry = heir or stopping
            again = [payments.repeat(entry, f"p{n}") for n in range(100)]
            prefix = payments.sent["p0"].rpartition(".")[0]
            fresh = payments.pay("b-1", f"{prefix}.new", "new")
            payments.run(3)
            answers = [payments.answer(req_id) for req_id in again]
            self.assertEqual({a.verdict for a in answers}, {Verdict.RAN})
            self.assertTrue(all(a.replayed for a in answers))
            self.assertIs(payments.answer(fresh).verdict, Verdict.RAN)
            self.assertEqual(payments.count_greatest_runs(), 1)

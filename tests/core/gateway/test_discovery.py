from __future__ import annotations

from unittest import TestCase

from almondgap_core.gateway.effects import Send
from almondgap_core.gateway.events import (
    EvacuationsRead,
    StoreLost,
    StoreRegained,
    TargetAnnounced,
    TargetsRead,
    TargetWithdrawn,
    Ticked,
)
from almondgap_core.units import millis, seconds
from almondgap_testkit.gateways.builders import GatewayHarness, announce


class AnnouncementTests(TestCase):
    def test_draining_target_gets_nothing(self):
        bench = GatewayHarness.build((announce("t1"), announce("t2")))
        bench.feed(TargetAnnounced, announce("t1", sequence=2, draining=True))
        for _ in range(2):
            bench.call()
            self.assertEqual(bench.find(Send)[0].target, "t2")

    def test_older_announcement_is_ignored(self):
        bench = GatewayHarness.build((announce("t1", sequence=5, draining=True),))
        bench.feed(TargetAnnounced, announce("t1", sequence=4))
        self.assertTrue(bench.state.targets["t1"].announcement.draining)
        self.assertEqual(bench.list_reports()[0].state, "ignored")

    def test_older_run_is_ignored_whatever_its_count(self):
        bench = GatewayHarness.build(
            (announce("t1", incarnation=2_000, draining=True),)
        )
        bench.feed(TargetAnnounced, announce("t1", incarnation=1_000, sequence=99))
        self.assertTrue(bench.state.targets["t1"].announcement.draining)

    def test_new_run_counts_anew(self):
        bench = GatewayHarness.build((announce("t1", sequence=9, draining=True),))
        bench.feed(TargetAnnounced, announce("t1", incarnation=1_001))
        self.assertFalse(bench.state.targets["t1"].announcement.draining)

    def test_whole_list_withdraws_what_it_lacks(self):
        bench = GatewayHarness.build((announce("t1"), announce("t2")))
        bench.feed(TargetsRead, (announce("t2"),))
        self.assertEqual(list(bench.state.targets), ["t2"])


class OutageTests(TestCase):
    def test_withdrawal_counts_at_once(self):
        bench = GatewayHarness.build((announce("t1"),))
        bench.feed(TargetWithdrawn, "t1")
        self.assertEqual(bench.state.targets, {})

    def test_entries_that_ran_out_in_an_outage_may_come_back(self):
        bench = GatewayHarness.build((announce("t1"), announce("t2")))
        bench.feed(StoreLost, "no answer")
        bench.now += seconds(5)
        bench.feed(StoreRegained)
        bench.feed(TargetsRead, ())
        self.assertEqual(len(bench.state.targets), 2)
        bench.now += seconds(1)
        bench.feed(TargetAnnounced, announce("t2", sequence=2))
        bench.now += seconds(1) + millis(1)
        bench.feed(Ticked)
        self.assertEqual(list(bench.state.targets), ["t2"])

    def test_target_whose_entry_is_missing_is_the_last_resort(self):
        bench = GatewayHarness.build((announce("t1"), announce("t2")))
        bench.feed(StoreLost, "no answer")
        bench.feed(StoreRegained)
        bench.feed(TargetsRead, (announce("t2"),))
        bench.call(affinity_key="1")
        self.assertEqual(bench.find(Send)[0].target, "t2")
        bench.call(affinity_key="2")
        self.assertEqual(bench.find(Send)[0].target, "t2")
        bench.feed(TargetsRead, ())
        bench.call(affinity_key="3", path="/orders/1")
        self.assertEqual(len(bench.find(Send)), 1)

    def test_nothing_is_given_up_while_the_store_is_away(self):
        bench = GatewayHarness.build((announce("t1"),))
        bench.feed(StoreLost, "no answer")
        bench.feed(TargetWithdrawn, "t1")
        bench.now += seconds(30)
        bench.feed(Ticked)
        self.assertEqual(list(bench.state.targets), ["t1"])


class EvacuationTests(TestCase):
    def test_evacuated_domain_gets_nothing(self):
        targets = (announce("t1"), announce("t2", failure_domain="b1"))
        bench = GatewayHarness.build(targets)
        bench.feed(EvacuationsRead, frozenset({"a1"}))
        for _ in range(2):
            bench.call()
            self.assertEqual(bench.find(Send)[0].target, "t2")

    def test_domain_that_is_taken_back_is_cold(self):
        bench = GatewayHarness.build((announce("t1"),))
        bench.feed(EvacuationsRead, frozenset({"a1"}))
        bench.feed(EvacuationsRead, frozenset())
        sends = 0
        for _ in range(20):
            bench.now += millis(50)
            bench.call()
            sends += len(bench.find(Send))
        self.assertGreater(sends, 0)
        self.assertLessEqual(sends, 5)

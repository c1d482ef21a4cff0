"""Target discovery, also across store outages and evacuations."""

from __future__ import annotations

from unittest import TestCase

from almondgap_core.gateway.effects import Send
from almondgap_core.gateway.events import (
    EvacuationsRead,
    StoreLost,
    StoreRegained,
    StoreRestored,
    TargetAnnounced,
    TargetsRead,
    TargetWithdrawn,
    Ticked,
)
from almondgap_core.units import millis, seconds
from almondgap_testkit.gateways.builders import GatewayHarness, announce


class AnnouncementTests(TestCase):
    def test_draining_target_gets_nothing(self):
        harness = GatewayHarness.build((announce("t1"), announce("t2")))
        harness.feed(TargetAnnounced, announce("t1", sequence=2, draining=True))
        for _ in range(2):
            harness.call()
            self.assertEqual(harness.find(Send)[0].target, "t2")

    def test_older_announcement_is_ignored(self):
        harness = GatewayHarness.build((announce("t1", sequence=5, draining=True),))
        harness.feed(TargetAnnounced, announce("t1", sequence=4))
        self.assertTrue(harness.state.targets["t1"].announcement.draining)
        self.assertEqual(harness.list_reports()[0].state, "ignored")

    def test_older_incarnation_is_ignored_whatever_its_sequence(self):
        harness = GatewayHarness.build(
            (announce("t1", incarnation=2_000, draining=True),)
        )
        harness.feed(TargetAnnounced, announce("t1", incarnation=1_000, sequence=99))
        self.assertTrue(harness.state.targets["t1"].announcement.draining)

    def test_new_incarnation_replaces_the_old_one(self):
        harness = GatewayHarness.build((announce("t1", sequence=9, draining=True),))
        harness.feed(TargetAnnounced, announce("t1", incarnation=1_001))
        self.assertFalse(harness.state.targets["t1"].announcement.draining)

    def test_snapshot_withdraws_targets_that_it_lacks(self):
        harness = GatewayHarness.build((announce("t1"), announce("t2")))
        harness.feed(TargetsRead, (announce("t2"),))
        self.assertEqual(list(harness.state.targets), ["t2"])


class OutageTests(TestCase):
    def test_withdrawal_counts_at_once(self):
        harness = GatewayHarness.build((announce("t1"),))
        harness.feed(TargetWithdrawn, "t1")
        self.assertEqual(harness.state.targets, {})

    def test_announcements_that_expired_in_an_outage_may_be_renewed(self):
        harness = GatewayHarness.build((announce("t1"), announce("t2")))
        harness.feed(StoreLost, "no answer")
        harness.now += seconds(5)
        harness.feed(StoreRegained)
        harness.feed(TargetsRead, ())
        self.assertEqual(len(harness.state.targets), 2)
        harness.now += seconds(1)
        harness.feed(TargetAnnounced, announce("t2", sequence=2))
        harness.now += seconds(1) + millis(1)
        harness.feed(Ticked)
        self.assertEqual(list(harness.state.targets), ["t2"])

    def test_target_with_missing_announcement_is_the_last_resort(self):
        harness = GatewayHarness.build((announce("t1"), announce("t2")))
        harness.feed(StoreLost, "no answer")
        harness.feed(StoreRegained)
        harness.feed(TargetsRead, (announce("t2"),))
        harness.call(affinity_key="1")
        self.assertEqual(harness.find(Send)[0].target, "t2")
        harness.call(affinity_key="2")
        self.assertEqual(harness.find(Send)[0].target, "t2")
        harness.feed(TargetsRead, ())
        harness.call(affinity_key="3", path="/orders/1")
        self.assertEqual(len(harness.find(Send)), 1)

    def test_no_target_is_dropped_during_a_store_outage(self):
        harness = GatewayHarness.build((announce("t1"),))
        harness.feed(StoreLost, "no answer")
        harness.feed(TargetWithdrawn, "t1")
        harness.now += seconds(30)
        harness.feed(Ticked)
        self.assertEqual(list(harness.state.targets), ["t1"])


class EvacuationTests(TestCase):
    def test_evacuated_domain_gets_nothing(self):
        targets = (announce("t1"), announce("t2", failure_domain="b1"))
        harness = GatewayHarness.build(targets)
        harness.feed(EvacuationsRead, frozenset({"a1"}))
        for _ in range(2):
            harness.call()
            self.assertEqual(harness.find(Send)[0].target, "t2")

    def test_restored_domain_warms_up(self):
        harness = GatewayHarness.build((announce("t1"),))
        harness.feed(EvacuationsRead, frozenset({"a1"}))
        harness.feed(EvacuationsRead, frozenset())
        sends = 0
        for _ in range(20):
            harness.now += millis(50)
            harness.call()
            sends += len(harness.find(Send))
        self.assertGreater(sends, 0)
        self.assertLessEqual(sends, 5)


class RestoredStoreTests(TestCase):
    """Snapshots of a store that came back from a copy."""

    def test_target_that_the_copy_lacks_stays_in_use_until_it_announces_itself(self):
        harness = GatewayHarness.build((announce("t1"), announce("t2")))
        harness.feed(StoreRestored, 2)
        harness.feed(TargetsRead, (announce("t2"),))
        self.assertIn("t1", harness.state.targets)
        harness.now += harness.state.bounds.reannounce_time
        harness.feed(Ticked)
        self.assertNotIn("t1", harness.state.targets)

    def test_target_that_had_left_is_not_used_again(self):
        for state in ({}, {"draining": True}):
            harness = GatewayHarness.build((announce("t1"), announce("t2")))
            left = announce("t1", sequence=4, **state)
            harness.feed(TargetAnnounced, left)
            harness.feed(TargetWithdrawn, "t1")
            harness.feed(StoreRestored, 2)
            harness.feed(TargetsRead, (announce("t1", sequence=3), announce("t2")))
            self.assertNotIn("t1", harness.state.targets)
            harness.feed(TargetAnnounced, announce("t1", sequence=5))
            self.assertIn("t1", harness.state.targets)
            again = announce("t1", sequence=1, incarnation=2_000)
            harness.feed(TargetWithdrawn, "t1")
            harness.feed(TargetAnnounced, again)
            self.assertIn("t1", harness.state.targets)

    def test_evacuation_that_the_copy_lacks_lasts_until_it_is_written_again(self):
        harness = GatewayHarness.build((announce("t1"),))
        harness.feed(EvacuationsRead, frozenset({"a1"}))
        harness.feed(StoreRestored, 2)
        harness.feed(EvacuationsRead, frozenset({"b1"}))
        self.assertEqual(harness.state.evacuated, {"a1", "b1"})
        harness.now += harness.state.bounds.reannounce_time
        harness.feed(Ticked)
        self.assertEqual(harness.state.evacuated, {"b1"})
        harness.feed(EvacuationsRead, frozenset())
        self.assertEqual(harness.state.evacuated, frozenset())

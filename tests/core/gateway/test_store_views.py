"""Claims of peers about what they have read of the store."""

from __future__ import annotations

from unittest import TestCase

from almondgap_core.gateway.effects import ReadTable
from almondgap_core.gateway.events import (
    StoreTable,
    StoreViewReceived,
    TableRead,
    Ticked,
)
from almondgap_core.gateway.fleet import register_peers
from almondgap_core.gateway.heartbeats import StoreView
from almondgap_core.gateway.reports import ClaimRefuted
from almondgap_core.gateway.store_views import (
    MONITOR_SETTLING_US,
    MONITOR_WAIT_US,
    USUAL_WAIT_US,
    plan_call,
)
from almondgap_core.units import millis, seconds
from almondgap_testkit.gateways.builders import START, GatewayHarness, build_location


class ClaimTests(TestCase):
    def setUp(self) -> None:
        self.harness = GatewayHarness.build()
        register_peers(self.harness.state, [build_location("h2")], self.harness.now)
        self.read(10, asked_at=self.harness.now)
        # It becomes the monitor, and reads once for that.
        self.pass_time(seconds(1))

    def read(self, read_up_to: int, asked_at: int) -> None:
        self.harness.feed(TableRead, StoreTable.OPERATORS, read_up_to, 0, asked_at)

    def hear(self, version: int, host: str = "h2") -> None:
        self.harness.feed(StoreViewReceived, StoreView(host, 1, (version, 0), 0))

    def pass_time(self, duration: int) -> list[ReadTable]:
        """Let ticks pass; return the reads that were started."""
        reads = []
        for _ in range(duration // millis(250)):
            self.harness.now += millis(250)
            self.harness.feed(Ticked)
            reads += self.harness.find(ReadTable)
        return reads

    def is_refuted(self) -> bool:
        return any(
            isinstance(report, ClaimRefuted) for report in self.harness.list_reports()
        )

    def test_newer_version_of_a_peer_is_read(self):
        self.hear(11)
        self.assertEqual(self.pass_time(seconds(0.25)), [])
        self.assertEqual(
            self.pass_time(seconds(0.5)), [ReadTable(StoreTable.OPERATORS)]
        )

    def test_known_version_is_not_read_again(self):
        self.hear(10)
        self.assertEqual(self.pass_time(seconds(5)), [])

    def test_claim_that_the_store_refutes_is_not_read_again(self):
        self.hear(99)
        self.pass_time(seconds(0.5))
        self.harness.now += millis(10)
        self.read(12, asked_at=self.harness.now - millis(5))
        self.assertTrue(self.is_refuted())
        self.assertEqual(self.pass_time(seconds(20)), [])

    def test_claim_that_is_heard_during_a_read_is_not_refuted_by_it(self):
        asked_at = self.harness.now
        self.harness.now += millis(100)
        self.hear(13)
        self.harness.now += millis(100)
        self.read(12, asked_at)
        self.assertFalse(self.is_refuted())
        self.assertTrue(self.pass_time(seconds(1)))

    def test_view_of_an_unknown_host_is_ignored(self):
        self.hear(99, host="stranger")
        self.assertEqual(self.pass_time(seconds(2)), [])
        self.assertEqual(self.harness.state.store_knowledge.claimants, {})


class MonitorTests(TestCase):
    def test_host_that_just_started_leaves_the_monitor_to_others(self):
        harness = GatewayHarness.build(started_at=START)
        harness.feed(TableRead, StoreTable.OPERATORS, 10, 0, harness.now)
        plans = set()
        for _ in range(MONITOR_SETTLING_US // millis(250)):
            harness.feed(Ticked)
            self.assertEqual(harness.find(ReadTable), [])
            plans.add(plan_call(harness.state, StoreTable.OPERATORS, 0).wait)
            harness.now += millis(250)
        self.assertEqual(plans, {USUAL_WAIT_US})
        harness.feed(Ticked)
        self.assertEqual(harness.find(ReadTable), [ReadTable(StoreTable.OPERATORS)])
        wait = plan_call(harness.state, StoreTable.OPERATORS, 0).wait
        self.assertEqual(wait, MONITOR_WAIT_US)

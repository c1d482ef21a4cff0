"""Heartbeats between hosts, and the addresses that callers are given."""

from __future__ import annotations

from unittest import TestCase

from almondgap_core.gateway.effects import SendHeartbeat
from almondgap_core.gateway.events import HeartbeatReceived, StopRequested, Ticked
from almondgap_core.gateway.fleet import list_caller_addresses, register_peers
from almondgap_core.gateway.heartbeats import Heartbeat
from almondgap_core.units import millis, seconds
from almondgap_testkit.gateways.builders import GatewayHarness, build_location


def heartbeat(host: str, failure_domain: str = "a1", **changes) -> Heartbeat:
    """Return a heartbeat of a host that is ready."""
    fields = {"incarnation": 1, "sequence": 1, "ready": True}
    return Heartbeat(build_location(host, failure_domain), **{**fields, **changes})


class DirectoryTests(TestCase):
    def test_hosts_near_the_caller_are_listed(self):
        harness = GatewayHarness.build()
        harness.feed(HeartbeatReceived, heartbeat("h2"))
        harness.feed(HeartbeatReceived, heartbeat("far", "b1"))
        named = list_caller_addresses(harness.state, "a1", "a", harness.now)
        self.assertEqual(named, ["h1:80", "h2:80"])

    def test_single_host_of_a_domain_is_listed_with_its_region(self):
        harness = GatewayHarness.build()
        harness.feed(HeartbeatReceived, heartbeat("h2", "a2"))
        harness.feed(HeartbeatReceived, heartbeat("far", "b1"))
        named = list_caller_addresses(harness.state, "a2", "a", harness.now)
        self.assertEqual(named, ["h1:80", "h2:80"])

    def test_caller_of_a_dead_region_is_sent_elsewhere(self):
        harness = GatewayHarness.build()
        named = list_caller_addresses(harness.state, "b1", "b", harness.now)
        self.assertEqual(named, ["h1:80"])
        harness.feed(HeartbeatReceived, heartbeat("far", "b1"))
        named = list_caller_addresses(harness.state, "b1", "b", harness.now)
        self.assertEqual(named, ["far:80"])
        harness.now += seconds(5)
        named = list_caller_addresses(harness.state, "b1", "b", harness.now)
        self.assertEqual(named, ["h1:80"])

    def test_silent_host_is_not_listed(self):
        harness = GatewayHarness.build()
        harness.feed(HeartbeatReceived, heartbeat("h2"))
        harness.now += millis(2_700)
        self.assertEqual(
            list_caller_addresses(harness.state, "a1", "a", harness.now), ["h1:80"]
        )

    def test_host_without_heartbeat_is_not_listed(self):
        harness = GatewayHarness.build()
        register_peers(harness.state, [build_location("h2")], harness.now)
        self.assertEqual(
            list_caller_addresses(harness.state, "a1", "a", harness.now), ["h1:80"]
        )

    def test_host_that_stops_is_not_listed(self):
        harness = GatewayHarness.build()
        harness.feed(HeartbeatReceived, heartbeat("h2"))
        harness.feed(HeartbeatReceived, heartbeat("h2", sequence=2, ready=False))
        self.assertEqual(
            list_caller_addresses(harness.state, "a1", "a", harness.now), ["h1:80"]
        )
        harness.feed(StopRequested, seconds(6))
        self.assertEqual(
            list_caller_addresses(harness.state, "a1", "a", harness.now), []
        )


class HeartbeatTests(TestCase):
    def test_stop_is_announced_at_once(self):
        harness = GatewayHarness.build()
        harness.feed(HeartbeatReceived, heartbeat("h2"))
        harness.feed(StopRequested, seconds(6))
        (sent,) = harness.find(SendHeartbeat)
        self.assertFalse(sent.heartbeat.ready)
        self.assertEqual(sent.addresses, ("h2:90",))

    def test_older_heartbeat_is_ignored(self):
        harness = GatewayHarness.build()
        harness.feed(HeartbeatReceived, heartbeat("h2", sequence=5, ready=False))
        harness.feed(HeartbeatReceived, heartbeat("h2", sequence=4))
        self.assertFalse(harness.state.peers["h2"].heartbeat.ready)

    def test_restart_with_clock_set_back_is_accepted(self):
        harness = GatewayHarness.build()
        harness.feed(HeartbeatReceived, heartbeat("h2", incarnation=9, sequence=50))
        harness.now += seconds(3)
        harness.feed(Ticked)
        harness.feed(HeartbeatReceived, heartbeat("h2", incarnation=8))
        self.assertEqual(
            len(list_caller_addresses(harness.state, "a1", "a", harness.now)), 2
        )

    def test_silent_hosts_get_fewer_heartbeats(self):
        harness = GatewayHarness.build()
        register_peers(harness.state, [build_location("h2")], harness.now)
        sent = 0
        for _ in range(40):
            harness.feed(Ticked)
            sent += len(harness.find(SendHeartbeat))
            harness.now += millis(250)
        self.assertLessEqual(sent, 4)
        self.assertGreaterEqual(sent, 3)

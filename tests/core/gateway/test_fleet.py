from __future__ import annotations

from unittest import TestCase

from almondgap_core.gateway.effects import SendHeartbeat
from almondgap_core.gateway.events import HeartbeatReceived, StopRequested, Ticked
from almondgap_core.gateway.fleet import list_caller_addresses, register_peers
from almondgap_core.gateway.heartbeats import Heartbeat
from almondgap_core.units import millis, seconds
from almondgap_testkit.gateways.builders import GatewayHarness, build_location


def heartbeat(host: str, failure_domain: str = "a1", **changes) -> Heartbeat:
    """Return a beat of a host that is ready."""
    fields = {"incarnation": 1, "sequence": 1, "ready": True}
    return Heartbeat(build_location(host, failure_domain), **{**fields, **changes})


class DirectoryTests(TestCase):
    def test_hosts_near_the_caller_are_named(self):
        bench = GatewayHarness.build()
        bench.feed(HeartbeatReceived, heartbeat("h2"))
        bench.feed(HeartbeatReceived, heartbeat("far", "b1"))
        named = list_caller_addresses(bench.state, "a1", "a", bench.now)
        self.assertEqual(named, ["h1:80", "h2:80"])

    def test_single_host_of_a_domain_is_named_with_its_region(self):
        bench = GatewayHarness.build()
        bench.feed(HeartbeatReceived, heartbeat("h2", "a2"))
        bench.feed(HeartbeatReceived, heartbeat("far", "b1"))
        named = list_caller_addresses(bench.state, "a2", "a", bench.now)
        self.assertEqual(named, ["h1:80", "h2:80"])

    def test_caller_of_a_dead_region_is_sent_elsewhere(self):
        bench = GatewayHarness.build()
        named = list_caller_addresses(bench.state, "b1", "b", bench.now)
        self.assertEqual(named, ["h1:80"])
        bench.feed(HeartbeatReceived, heartbeat("far", "b1"))
        named = list_caller_addresses(bench.state, "b1", "b", bench.now)
        self.assertEqual(named, ["far:80"])
        bench.now += seconds(5)
        named = list_caller_addresses(bench.state, "b1", "b", bench.now)
        self.assertEqual(named, ["h1:80"])

    def test_silent_host_is_not_named(self):
        bench = GatewayHarness.build()
        bench.feed(HeartbeatReceived, heartbeat("h2"))
        bench.now += millis(2_700)
        self.assertEqual(
            list_caller_addresses(bench.state, "a1", "a", bench.now), ["h1:80"]
        )

    def test_host_that_was_never_heard_is_not_named(self):
        bench = GatewayHarness.build()
        register_peers(bench.state, [build_location("h2")], bench.now)
        self.assertEqual(
            list_caller_addresses(bench.state, "a1", "a", bench.now), ["h1:80"]
        )

    def test_host_that_stops_is_not_named(self):
        bench = GatewayHarness.build()
        bench.feed(HeartbeatReceived, heartbeat("h2"))
        bench.feed(HeartbeatReceived, heartbeat("h2", sequence=2, ready=False))
        self.assertEqual(
            list_caller_addresses(bench.state, "a1", "a", bench.now), ["h1:80"]
        )
        bench.feed(StopRequested)
        self.assertEqual(list_caller_addresses(bench.state, "a1", "a", bench.now), [])


class BeatTests(TestCase):
    def test_stop_is_told_at_once(self):
        bench = GatewayHarness.build()
        bench.feed(HeartbeatReceived, heartbeat("h2"))
        bench.feed(StopRequested)
        (sent,) = bench.find(SendHeartbeat)
        self.assertFalse(sent.heartbeat.ready)
        self.assertEqual(sent.addresses, ("h2:90",))

    def test_older_beat_is_ignored(self):
        bench = GatewayHarness.build()
        bench.feed(HeartbeatReceived, heartbeat("h2", sequence=5, ready=False))
        bench.feed(HeartbeatReceived, heartbeat("h2", sequence=4))
        self.assertFalse(bench.state.peers["h2"].heartbeat.ready)

    def test_host_started_again_with_its_clock_set_back_is_believed(self):
        bench = GatewayHarness.build()
        bench.feed(HeartbeatReceived, heartbeat("h2", incarnation=9, sequence=50))
        bench.now += seconds(3)
        bench.feed(Ticked)
        bench.feed(HeartbeatReceived, heartbeat("h2", incarnation=8))
        self.assertEqual(
            len(list_caller_addresses(bench.state, "a1", "a", bench.now)), 2
        )

    def test_silent_hosts_are_told_less_often(self):
        bench = GatewayHarness.build()
        register_peers(bench.state, [build_location("h2")], bench.now)
        sent = 0
        for _ in range(40):
            bench.feed(Ticked)
            sent += len(bench.find(SendHeartbeat))
            bench.now += millis(250)
        self.assertLessEqual(sent, 4)
        self.assertGreaterEqual(sent, 3)

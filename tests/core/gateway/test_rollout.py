"""Activation of configurations at hosts that start."""

from __future__ import annotations

from unittest import TestCase

from almondgap_core.gateway.effects import Refuse, Send
from almondgap_core.gateway.events import (
    ConfigurationRead,
    HeartbeatReceived,
    Ticked,
)
from almondgap_core.gateway.heartbeats import Heartbeat
from almondgap_core.units import millis, seconds
from almondgap_core.verdict import Reason, Verdict
from almondgap_testkit.gateways.builders import (
    START,
    GatewayHarness,
    announce,
    build_configuration,
    build_location,
)


class StartTests(TestCase):
    def setUp(self) -> None:
        self.harness = GatewayHarness.build((announce("t1"),), started_at=START)
        self.sequence = 0

    def hear(self, version: int, duration: int) -> None:
        """Let time pass while a peer tells which version it has in force."""
        for _ in range(duration // millis(250)):
            self.sequence += 1
            heartbeat = Heartbeat(build_location("h2"), 1, self.sequence, True, version)
            self.harness.feed(HeartbeatReceived, heartbeat)
            self.harness.feed(Ticked)
            self.harness.now += millis(250)

    def is_served(self) -> bool:
        self.harness.call()
        refusals = self.harness.find(Refuse)
        for effect in refusals:
            self.assertIs(effect.refusal.reason, Reason.NOT_READY)
            self.assertIs(effect.refusal.verdict, Verdict.NOT_RUN)
        return bool(self.harness.find(Send))

    def test_host_that_starts_serves_no_older_configuration_than_its_peers(self):
        self.hear(version=3, duration=seconds(2))
        self.assertFalse(self.is_served())
        self.assertFalse(self.harness.state.ready)
        self.harness.feed(ConfigurationRead, build_configuration(3))
        self.assertTrue(self.is_served())
        self.assertTrue(self.harness.state.ready)

    def test_change_that_reaches_a_peer_first_refuses_nobody(self):
        self.hear(version=3, duration=millis(500))
        self.assertTrue(self.is_served())

    def test_host_serves_what_the_store_has_if_nothing_newer_comes(self):
        self.hear(version=3, duration=seconds(10))
        self.hear(version=3, duration=millis(250))
        self.assertTrue(self.is_served())

    def test_host_that_has_run_for_long_goes_on_serving(self):
        self.harness.now += seconds(60)
        self.hear(version=3, duration=seconds(5))
        self.assertTrue(self.is_served())

"""Look-up in a configuration, and activation of newer versions."""

from __future__ import annotations

from unittest import TestCase

from almondgap_core.gateway.configuration import Configuration
from almondgap_core.gateway.events import ConfigurationRead
from almondgap_testkit.gateways.builders import (
    HOST_NAME,
    KEY,
    GatewayHarness,
    build_configuration,
    build_route,
)


class ConfigurationTests(TestCase):
    def test_longest_prefix_is_chosen(self):
        routes = (
            build_route(name="short", prefix="/a/"),
            build_route(name="long", prefix="/a/b/"),
            build_route(name="other", prefix="/a/", host="other.example"),
        )
        cfg = Configuration(1, routes)
        self.assertEqual(cfg.find_route(HOST_NAME, "/a/b/c").name, "long")
        self.assertEqual(cfg.find_route(HOST_NAME, "/a/c").name, "short")
        self.assertIsNone(cfg.find_route(HOST_NAME, "/b/"))
        self.assertIsNone(cfg.find_route(HOST_NAME, "/a"))

    def test_key_finds_its_account(self):
        cfg = build_configuration()
        self.assertEqual(cfg.find_account(KEY).name, "one")
        self.assertIsNone(cfg.find_account("another"))


class RolloutTests(TestCase):
    def test_older_version_never_comes_back(self):
        harness = GatewayHarness.build(configuration=build_configuration(7))
        harness.feed(ConfigurationRead, build_configuration(6))
        self.assertEqual(harness.state.version, 7)
        harness.feed(ConfigurationRead, build_configuration(9))
        self.assertEqual(harness.state.version, 9)

    def test_host_without_configuration_refuses_as_not_run(self):
        harness = GatewayHarness.build()
        harness.state.configuration = None
        (refuse,) = harness.call()
        self.assertEqual(refuse.refusal.status, 503)
        self.assertEqual(refuse.refusal.verdict.value, "not-run")
        self.assertGreater(refuse.refusal.retry_after, 0)

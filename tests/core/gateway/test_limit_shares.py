"""Distribution of rate limits over the hosts of small and large fleets."""

from __future__ import annotations

from unittest import TestCase

from almondgap_core.gateway.configuration import Account
from almondgap_core.gateway.events import HeartbeatReceived, Ticked
from almondgap_core.gateway.fleet import register_peers
from almondgap_core.gateway.heartbeats import Heartbeat
from almondgap_core.gateway.limit_shares import compute_limit_share, find_holders
from almondgap_core.gateway.state import Bounds, GatewayState
from almondgap_core.gateway.token_bucket import TokenBucket, Tolerance
from almondgap_core.units import millis, seconds
from almondgap_testkit.gateways.builders import (
    REGIONS,
    GatewayHarness,
    build_configuration,
    build_location,
)

TOLERANCE = Tolerance(5.0, 0.1, 20.0)
DOMAINS = list(REGIONS)


def build_fleet(count: int) -> list[GatewayState]:
    """Return the states of hosts that have read the same list of hosts."""
    locations = [
        build_location(f"h{number}", DOMAINS[number % len(DOMAINS)])
        for number in range(count)
    ]
    states = []
    for location in locations:
        state = GatewayState(location, 1, REGIONS, Bounds(tolerance=TOLERANCE))
        state.configuration = build_configuration()
        register_peers(state, locations, 0)
        states.append(state)
    return states


class LimitShareTests(TestCase):
    def test_shares_add_up_to_the_limit(self):
        for count in (1, 2, 8, 11, 60):
            fleet = build_fleet(count)
            for rate in (2.0, 20.0, 87.0, 500.0):
                account = Account(f"a{rate}", rate=rate, burst=rate)
                shares = [
                    compute_limit_share(state, account).fraction for state in fleet
                ]
                self.assertAlmostEqual(sum(shares), 1.0)

    def test_every_domain_holds_a_share(self):
        fleet = build_fleet(60)
        holders = find_holders(fleet[0], Account("small", rate=2.0, burst=2.0))
        self.assertEqual(sorted(holders), sorted(DOMAINS))

    def test_large_account_is_held_by_many_and_small_one_by_few(self):
        fleet = build_fleet(60)
        small = Account("small", rate=20.0, burst=20.0)
        large = Account("large", rate=500.0, burst=500.0)
        count = [
            sum(compute_limit_share(state, account).fraction > 0 for state in fleet)
            for account in (small, large)
        ]
        self.assertLessEqual(count[0], 8)
        self.assertGreaterEqual(count[1], 50)

    def test_silent_host_keeps_its_share_for_a_while(self):
        harness = GatewayHarness.build()
        register_peers(harness.state, [build_location("h2", "a1")], harness.now)
        harness.feed(
            HeartbeatReceived, Heartbeat(build_location("h2", "a1"), 1, 1, True)
        )
        account = Account("one", rate=500.0, burst=500.0)
        self.assertAlmostEqual(
            compute_limit_share(harness.state, account).fraction, 0.5
        )
        harness.now += seconds(10)
        harness.feed(Ticked)
        self.assertAlmostEqual(
            compute_limit_share(harness.state, account).fraction, 0.5
        )
        harness.now += seconds(6)
        harness.feed(Ticked)
        self.assertAlmostEqual(
            compute_limit_share(harness.state, account).fraction, 1.0
        )

    def test_stopped_host_loses_its_share_when_silent(self):
        harness = GatewayHarness.build()
        location = build_location("h2", "a1")
        harness.feed(HeartbeatReceived, Heartbeat(location, 1, 1, True))
        harness.feed(HeartbeatReceived, Heartbeat(location, 1, 2, False))
        register_peers(harness.state, [], harness.now)
        account = Account("one", rate=500.0, burst=500.0)
        self.assertAlmostEqual(
            compute_limit_share(harness.state, account).fraction, 0.5
        )
        harness.now += millis(2_700)
        harness.feed(Ticked)
        self.assertAlmostEqual(
            compute_limit_share(harness.state, account).fraction, 1.0
        )

    def test_host_without_host_list_holds_little(self):
        harness = GatewayHarness.build()
        account = Account("one", rate=500.0, burst=500.0)
        self.assertLessEqual(compute_limit_share(harness.state, account).fraction, 0.1)


class DonationTests(TestCase):
    def test_invalid_requests_create_no_tokens(self):
        for wanted in (-100.0, float("-inf"), float("nan"), 0.0):
            bucket = TokenBucket(0, level=5.0)
            self.assertEqual(bucket.donate(wanted), 0.0)
            self.assertEqual(bucket.level, 5.0)

    def test_donation_is_limited_to_available_tokens(self):
        bucket = TokenBucket(0, level=2.5)
        self.assertEqual(bucket.donate(8.0), 2.0)
        self.assertEqual(bucket.level, 0.5)

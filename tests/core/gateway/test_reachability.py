"""Hosts that reach no target while their callers and the other hosts reach them.

Load pattern: usual traffic at all hosts, some of which lose all their targets for
seconds.
"""

from __future__ import annotations

import random
from unittest import TestCase

from almondgap_core.gateway.admission import refill_tokens
from almondgap_core.gateway.configuration import Account
from almondgap_core.gateway.effects import Cancel, Deliver, Refuse, Relay, Send
from almondgap_core.gateway.events import (
    AttemptFailed,
    ConnectionChecked,
    Failure,
    HeartbeatReceived,
    RelayAnswered,
    StopRequested,
    TargetAnnounced,
    Ticked,
)
from almondgap_core.gateway.fleet import list_caller_addresses
from almondgap_core.gateway.heartbeats import Heartbeat
from almondgap_core.gateway.reports import RequestRelayed
from almondgap_core.units import millis, seconds
from almondgap_core.verdict import Reason, Verdict
from almondgap_testkit.gateways.builders import (
    KEY,
    GatewayHarness,
    announce,
    build_configuration,
    build_location,
    build_route,
)
from almondgap_testkit.gateways.simulation import Simulation

DOMAINS = ("a1", "a1", "a1", "a2", "a2", "b1", "b2", "b2")
MANNERS = ("hang", "reset", "refuse")

#: Time after the begin of a partition from which first tries are counted, and the
#: failures that are allowed then.
CONTACT_US = seconds(3)
MAX_FAILURES = 10
MAX_FAILURE_SHARE = 1 / 50
PARTITION_US = seconds(12)


def build_fleet(seed: int = 1) -> Simulation:
    """Return hosts of two regions with targets in all failure domains."""
    cfg = build_configuration(accounts={"one": Account("one", frozenset({KEY}))})
    sim = Simulation(cfg, rng=random.Random(seed))
    for number in range(16):
        failure_domain = ("a1", "b1", "a2", "b2")[number % 4]
        target = announce(f"t{number}", slots=6, failure_domain=failure_domain)
        sim.add_target(target, service_time=millis(60))
    for number, failure_domain in enumerate(DOMAINS):
        sim.add_host(f"h{number}", failure_domain)
    sim.run(seconds(2))
    return sim


def partition(sim: Simulation, hosts: tuple[str, ...], manner: str) -> None:
    """Cut hosts off from all targets for some time under load."""
    sim.generate_load(list(sim.hosts), 100, seconds(30))
    sim.generate_load(list(sim.hosts), 40, seconds(30), path="/orders/1")
    sim.run(seconds(5))
    for host in hosts:
        sim.partition_host(host, manner)
    sim.run(PARTITION_US)
    sim.partitioned.clear()


def count_failures(sim: Simulation, hosts: tuple[str, ...], since: int) -> tuple:
    """Return the number of requests at hosts since a time, and of those not served."""
    outcomes = [
        each for each in sim.outcomes if each.host in hosts and since <= each.started_at
    ]
    return len(outcomes), sum(each.status != 200 for each in outcomes)


class PartitionTests(TestCase):
    def test_callers_of_hosts_without_targets_are_served(self):
        for manner in MANNERS:
            for hosts in (("h1",), ("h2", "h3"), ("h0", "h1", "h2")):
                sim = build_fleet()
                partition(sim, hosts, manner)
                since = sim.clock.now - PARTITION_US + CONTACT_US
                count, failed = count_failures(sim, hosts, since)
                with self.subTest(manner=manner, hosts=hosts):
                    self.assertLessEqual(
                        failed, MAX_FAILURES + count * MAX_FAILURE_SHARE
                    )

    def test_hosts_send_to_their_targets_again_after_a_partition(self):
        for manner in MANNERS:
            sim = build_fleet()
            partition(sim, ("h2", "h3"), manner)
            sim.run(seconds(2))
            for name in ("h2", "h3"):
                state = sim.hosts[name].state
                with self.subTest(manner=manner, host=name):
                    self.assertIsNone(state.partitioned_since)
                    down = [t for t in state.targets.values() if t.down_since]
                    self.assertEqual(down, [])

    def test_orders_run_once_and_not_run_is_true(self):
        for seed in range(6):
            sim = build_fleet(seed)
            partition(sim, ("h0", "h1", "h4"), MANNERS[seed % 3])
            sim.run(seconds(5))
            for outcome in sim.outcomes:
                runs = sim.count_runs(outcome.request_id)
                if not outcome.idempotent:
                    self.assertLessEqual(runs, 1)
                if outcome.refusal and outcome.refusal.verdict is Verdict.NOT_RUN:
                    self.assertEqual(runs, 0, outcome)

    def test_peers_that_stop_or_crash_lose_no_order_twice(self):
        for seed in range(6):
            sim = build_fleet(seed)
            sim.generate_load(["h1"], 60, seconds(20), path="/orders/1")
            sim.run(seconds(1))
            sim.partition_host("h1", MANNERS[seed % 3])
            for number in (0, 2, 3, 4):
                sim.run(seconds(3))
                sim.kill_host(f"h{number}")
                sim.run(seconds(1))
                sim.add_host(f"h{number}", DOMAINS[number])
            sim.run(seconds(6))
            runs = [sim.count_runs(outcome.request_id) for outcome in sim.outcomes]
            self.assertLessEqual(max(runs), 1)

    def test_all_hosts_without_targets_refuse_at_once(self):
        sim = build_fleet()
        hosts = tuple(sim.hosts)
        partition(sim, hosts, "refuse")
        since = sim.clock.now - PARTITION_US + CONTACT_US
        late = [
            outcome
            for outcome in sim.outcomes
            if outcome.started_at > since and outcome.started_at < sim.clock.now
        ]
        self.assertLess(max(outcome.latency for outcome in late), seconds(1))

    def test_crash_of_a_whole_failure_domain_is_no_partition(self):
        sim = build_fleet()
        sim.generate_load(list(sim.hosts), 100, seconds(12))
        sim.run(seconds(3))
        for number in (0, 4, 8, 12):
            sim.targets[f"t{number}"].mode = "dead"
        sim.run(seconds(10))
        relayed = [r for _, _, r in sim.reports if isinstance(r, RequestRelayed)]
        self.assertEqual(relayed, [])

    def test_several_targets_that_crash_at_once_are_no_partition(self):
        for seed in range(5):
            sim = build_fleet(seed)
            sim.generate_load(list(sim.hosts), 200, seconds(12))
            sim.run(seconds(3))
            for number in (0, 1, 2, 3, 5):
                sim.crash_target(f"t{number}")
            sim.run(seconds(10))
            relayed = [r for _, _, r in sim.reports if isinstance(r, RequestRelayed)]
            self.assertEqual(relayed, [])


class RelayTests(TestCase):
    def build(
        self,
        peers: tuple = (("h2", "a2"), ("h3", "b1")),
        partitioned: bool = True,
        **changes,
    ) -> GatewayHarness:
        """Return a host that reaches no target, by default with a peer per region."""
        targets = tuple(
            announce(f"t{number}", failure_domain=failure_domain)
            for number, failure_domain in enumerate(("a1", "a2", "b1"))
        )
        gateway = GatewayHarness.build(targets, **changes)
        for host, failure_domain in peers:
            location = build_location(host, failure_domain)
            gateway.feed(HeartbeatReceived, Heartbeat(location, 1, 1, True, 1))
        if partitioned:
            self.lose_targets(gateway)
        return gateway

    def lose_targets(self, gateway: GatewayHarness) -> None:
        """Let checks of all targets fail."""
        for name in list(gateway.state.targets):
            gateway.feed(ConnectionChecked, name, None)

    def test_request_goes_only_to_hosts_in_its_regions(self):
        routes = (build_route(regions=frozenset({"b"})),)
        gateway = self.build(configuration=build_configuration(routes=routes))
        gateway.call()
        [relay] = gateway.find(Relay)
        self.assertEqual(relay.host, "h3")

    def test_request_of_another_host_is_never_handed_on(self):
        gateway = self.build()
        gateway.call(prior_attempts=0)
        self.assertEqual(gateway.find(Relay), [])

    def test_attempts_before_the_hand_over_count(self):
        gateway = GatewayHarness.build((announce("t1"), announce("t2")))
        gateway.call(prior_attempts=1)
        failure = (Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
        gateway.feed(AttemptFailed, 1, 1, *failure)
        self.assertEqual(gateway.find(Send), [])
        self.assertEqual(gateway.find(Refuse)[0].refusal.status, 502)

    def test_order_that_was_lost_on_the_way_is_not_repeated(self):
        gateway = self.build()
        gateway.call("/orders/1")
        [relay] = gateway.find(Relay)
        failure = (Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
        gateway.feed(AttemptFailed, 1, relay.attempt, *failure)
        self.assertEqual(gateway.find(Relay), [])
        self.assertEqual(gateway.find(Refuse)[0].refusal.status, 502)

    def test_order_that_reached_no_host_is_handed_to_another(self):
        gateway = self.build()
        gateway.call("/orders/1")
        [first] = gateway.find(Relay)
        failure = (Failure.NOT_CONNECTED, Verdict.NOT_RUN)
        gateway.feed(AttemptFailed, 1, first.attempt, *failure)
        [second] = gateway.find(Relay)
        self.assertNotEqual(first.host, second.host)

    def test_request_refused_by_a_host_without_targets_goes_to_another(self):
        for reason in (Reason.NO_TARGET, Reason.NOT_READY, Reason.STOPPING):
            gateway = self.build()
            gateway.call("/orders/1")
            [first] = gateway.find(Relay)
            answer = (1, first.attempt, 503, False, reason)
            gateway.feed(RelayAnswered, *answer)
            [second] = gateway.find(Relay)
            self.assertNotEqual(first.host, second.host)
            gateway.feed(RelayAnswered, 1, second.attempt, 503, False, reason)
            self.assertEqual(len(gateway.find(Deliver)), 1)

    def test_other_refusals_of_a_host_are_passed_on(self):
        for status, reason in ((429, Reason.OVER_RATE), (503, Reason.NO_CAPACITY)):
            gateway = self.build()
            gateway.call()
            [relay] = gateway.find(Relay)
            gateway.feed(RelayAnswered, 1, relay.attempt, status, False, reason)
            self.assertEqual(gateway.find(Relay), [])
            self.assertEqual(len(gateway.find(Deliver)), 1)

    def test_host_with_an_older_configuration_does_not_serve_what_it_is_handed(self):
        gateway = GatewayHarness.build((announce("t1"),))
        gateway.call(prior_attempts=0, min_version=2)
        [refuse] = gateway.find(Refuse)
        self.assertIs(refuse.refusal.reason, Reason.NOT_READY)
        self.assertIs(refuse.refusal.verdict, Verdict.NOT_RUN)
        gateway.call(prior_attempts=0, min_version=1)
        self.assertEqual(len(gateway.find(Send)), 1)

    def test_host_without_targets_refuses_what_another_handed_over(self):
        gateway = self.build()
        gateway.call(prior_attempts=0)
        self.assertEqual(gateway.find(Send), [])
        [refuse] = gateway.find(Refuse)
        self.assertEqual(refuse.refusal.reason, Reason.NO_TARGET)
        self.assertIs(refuse.refusal.verdict, Verdict.NOT_RUN)

    def test_order_is_handed_over_on_a_new_connection(self):
        gateway = self.build()
        gateway.call("/orders/1")
        self.assertTrue(gateway.find(Relay)[0].fresh)
        gateway.call("/reads/1")
        self.assertFalse(gateway.find(Relay)[0].fresh)

    def test_host_alone_without_targets_refuses_at_once(self):
        gateway = self.build(peers=())
        gateway.call()
        self.assertEqual(gateway.find(Send), [])
        self.assertEqual(gateway.find(Refuse)[0].refusal.status, 503)

    def test_request_goes_to_another_failure_domain_first(self):
        gateway = self.build(peers=(("h2", "a1"), ("h3", "a2"), ("h4", "b1")))
        gateway.call()
        self.assertEqual(gateway.find(Relay)[0].host, "h3")

    def test_success_without_a_seal_is_not_passed_on(self):
        gateway = self.build()
        gateway.call()
        [relay] = gateway.find(Relay)
        gateway.feed(RelayAnswered, 1, relay.attempt, 200, False)
        self.assertEqual(gateway.find(Deliver), [])
        self.assertEqual(gateway.find(Refuse)[0].refusal.status, 502)

    def test_host_without_sockets_is_not_partitioned(self):
        targets = tuple(announce(f"t{number}") for number in range(3))
        gateway = GatewayHarness.build(targets)
        for target in targets:
            gateway.feed(ConnectionChecked, target.target, None, performed=False)
        self.assertIsNone(gateway.state.partitioned_since)

    def test_only_the_host_that_serves_takes_a_token(self):
        gateway = self.build()
        bucket = gateway.state.token_buckets.get("one")
        gateway.call()
        self.assertTrue(gateway.find(Relay))
        self.assertIs(gateway.state.token_buckets.get("one"), bucket)

    def test_token_of_a_request_that_was_sent_nowhere_is_given_back(self):
        accounts = {"one": Account("one", frozenset({KEY}), None, 100.0, 100.0)}
        gateway = self.build(
            configuration=build_configuration(accounts=accounts), partitioned=False
        )
        gateway.call("/orders/1")
        [send] = gateway.find(Send)
        bucket = gateway.state.token_buckets["one"]
        level = bucket.level
        self.lose_targets(gateway)
        failure = (Failure.NOT_CONNECTED, Verdict.NOT_RUN)
        gateway.feed(AttemptFailed, 1, send.attempt, *failure)
        [relay] = gateway.find(Relay)
        self.assertEqual(bucket.level, level + 1)
        failure = (Failure.NOT_CONNECTED, Verdict.NOT_RUN)
        gateway.feed(AttemptFailed, 1, relay.attempt, *failure)
        self.assertEqual(bucket.level, level + 1)

    def test_end_of_the_process_ends_no_request_at_a_silent_target_sooner(self):
        # Guards against answers of our own in place of those of targets at work.
        routes = (build_route(timeout=seconds(5)),)
        for stopping in (False, True):
            cfg = build_configuration(routes=routes)
            gateway = self.build(configuration=cfg, partitioned=False)
            gateway.call(caller_timeout=seconds(5))
            if stopping:
                gateway.feed(StopRequested, seconds(2))
            self.lose_targets(gateway)
            gateway.now += millis(1_200)
            gateway.feed(Ticked)
            self.assertEqual(bool(gateway.find(Cancel)), not stopping)
            self.assertEqual(gateway.find(Refuse), [])

    def test_request_that_comes_back_from_a_hand_over_needs_a_token(self):
        for level, statuses in ((0.0, [429]), (1.0, [])):
            accounts = {"one": Account("one", frozenset({KEY}), None, 1.0, 1.0)}
            gateway = self.build(
                (("h2", "a2"),),
                configuration=build_configuration(accounts=accounts),
                partitioned=False,
            )
            gateway.feed(TargetAnnounced, announce("t9"))
            for name in ("t0", "t1", "t2"):
                gateway.feed(ConnectionChecked, name, False)
            gateway.call("/orders/1")
            [relay] = gateway.find(Relay)
            account = gateway.state.configuration.accounts["one"]
            bucket = refill_tokens(gateway.state, account, gateway.now)
            bucket.level = level
            failure = (Failure.NOT_CONNECTED, Verdict.NOT_RUN)
            gateway.feed(AttemptFailed, 1, relay.attempt, *failure)
            refused = [each.refusal for each in gateway.find(Refuse)]
            self.assertEqual([each.status for each in refused], statuses)
            self.assertEqual(len(gateway.find(Send)), 1 - len(statuses))
            self.assertLess(bucket.level, 1.0)

    def test_directory_names_no_host_without_targets_beside_others(self):
        gateway = self.build()
        addresses = list_caller_addresses(gateway.state, "a1", "a", gateway.now)
        self.assertEqual(addresses, ["h2:80"])

from __future__ import annotations

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from almondgap_core.steering.connections import compute_max_idle_connections
from almondgap_daemon.target_pool import MAX_IDLE_PER_TARGET, TargetPool
from almondgap_testkit.builders import (
    build_document,
    build_entry,
    build_inventory,
    build_state,
)


def build_pooled_inventory(connections: int, slots: int = 2):
    document = build_document()
    for target in document["services"]["shop"]["targets"]:
        target.update(connections=connections, slots=slots)
    return build_inventory(document)


class IdleBoundTests(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.integers(1, 1_000), st.integers(1, 50), st.integers(0, 400))
    def test_all_hosts_stay_within_the_connections_of_a_target(
        self, connections, slots, hosts
    ):
        bound = compute_max_idle_connections(
            build_pooled_inventory(connections, slots), hosts
        )
        self.assertGreaterEqual(bound, 0)
        used = min(slots, connections)
        self.assertLessEqual(hosts * bound + used, connections)


class TargetPoolTests(TestCase):
    def setUp(self):
        self.pool = TargetPool(Clock())
        self.state = build_state(build_pooled_inventory(connections=30))

    def test_no_idle_connections_without_configuration_or_capacity(self):
        self.assertFalse(self.pool.http.persistent)
        names = [f"a-{number}" for number in range(400)]
        self.state.members.listed = {name: build_entry(name) for name in names}
        self.pool.update(self.state)
        self.assertFalse(self.pool.http.persistent)

    def test_bound_follows_hosts_and_configuration(self):
        self.pool.update(self.state)
        self.assertTrue(self.pool.http.persistent)
        self.assertEqual(self.pool.http.maxPersistentPerHost, 14)
        self.state.settings.inventory = build_pooled_inventory(connections=400)
        self.pool.update(self.state)
        self.assertEqual(self.pool.http.maxPersistentPerHost, MAX_IDLE_PER_TARGET)
        self.state.settings.inventory = build_pooled_inventory(connections=10)
        self.pool.update(self.state)
        self.assertEqual(self.pool.http.maxPersistentPerHost, 4)

from __future__ import annotations

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from almondgap_core.steering.connections import compute_idle_bound
from almondgap_daemon.target_pool import MAX_IDLE_PER_TARGET, TargetPool
from almondgap_testkit.builders import (
    build_document,
    build_entry,
    build_inventory,
    build_state,
)


def build_pooled(connections: int, slots: int = 2):
    document = build_document()
    for target in document["services"]["shop"]["targets"]:
        target.update(connections=connections, slots=slots)
    return build_inventory(document)


class IdleBoundTests(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.integers(1, 1_000), st.integers(1, 50), st.integers(0, 400))
    def test_all_hosts_together_fit(self, connections, slots, hosts):
        bound = compute_idle_bound(build_pooled(connections, slots), hosts)
        self.assertGreaterEqual(bound, 0)
        used = min(slots, connections)
        self.assertLessEqual(hosts * bound + used, connections)


class TargetPoolTests(TestCase):
    def setUp(self):
        self.pool = TargetPool(Clock())
        self.state = build_state(build_pooled(connections=30))

    def test_nothing_is_kept_without_a_configuration_or_without_room(self):
        self.assertFalse(self.pool.http.persistent)
        names = [f"a-{number}" for number in range(400)]
        self.state.members.listed = {name: build_entry(name) for name in names}
        self.pool.update(self.state)
        self.assertFalse(self.pool.http.persistent)

    def test_bound_follows_hosts_and_configuration(self):
        self.pool.update(self.state)
        self.assertTrue(self.pool.http.persistent)
        self.assertEqual(self.pool.http.maxPersistentPerHost, 14)
        self.state.settings.inventory = build_pooled(connections=400)
        self.pool.update(self.state)
        self.assertEqual(self.pool.http.maxPersistentPerHost, MAX_IDLE_PER_TARGET)
        self.state.settings.inventory = build_pooled(connections=10)
        self.pool.update(self.state)
        self.assertEqual(self.pool.http.maxPersistentPerHost, 4)

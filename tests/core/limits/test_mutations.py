"""Mutation tests of limits: each breaks one safety rule and expects a violation.

Without a mutation the same runs find no overshoot of a limit and no partition with two
holders.
"""

from __future__ import annotations

from unittest import TestCase, mock

from almondgap_core import reducer
from almondgap_core.effects import SendMessage
from almondgap_core.limits import leases, renewal, token_grants
from almondgap_core.limits.catalogue import compute_share
from almondgap_core.limits.messages import Promise, PromiseRequest
from almondgap_core.limits.pool import Pool
from almondgap_core.units import TOKEN, millis, seconds
from almondgap_testkit.builders import build_text
from almondgap_testkit.fakes.rates import RateWorld, build_rate_text
from almondgap_testkit.fakes.world import World
from tests.core.limits.test_leases import HOSTS as LEASE_HOSTS
from tests.core.limits.test_leases import list_holders
from tests.core.limits.test_rates import FOUR_DOMAINS, HOSTS, LIMITS

HOSTS_WITH_D = {**HOSTS, "d-1": "d"}


def run_load(world: RateWorld, steps: int) -> None:
    """Send more requests than the rate allows, from every host."""
    for _ in range(steps):
        for host in world.hosts:
            world.ask(host, "big")
        world.run(millis(10))


def build_world() -> RateWorld:
    """Return a world in which all buckets are full."""
    world = RateWorld(LIMITS, HOSTS_WITH_D, FOUR_DOMAINS)
    world.run(seconds(12))
    return world


def count_overshoot_over_slow_links() -> int:
    """Return the overshoot of bursts over slow links."""
    world = build_world()
    for one in FOUR_DOMAINS:
        for other in FOUR_DOMAINS:
            if one < other:
                world.network.slow[frozenset((one, other))] = millis(60)
    for host in world.hosts:
        for _ in range(20):
            world.ask(host, "big")
        world.run(millis(140))
        run_load(world, 30)
        world.run(seconds(3))
    return world.count_overshoot("big")


def count_overshoot_around_pauses() -> int:
    """Return the overshoot while each host in turn is paused."""
    world = build_world()
    for name in world.hosts:
        world.pause(name)
        run_load(world, 90)
        world.resume(name)
        run_load(world, 40)
        world.run(seconds(3))
    return world.count_overshoot("big")


def count_overshoot_around_cuts() -> int:
    """Return the overshoot while each failure domain in turn is isolated."""
    world = build_world()
    for domain in FOUR_DOMAINS:
        world.network.isolate(domain)
        run_load(world, 190)
        world.network.heal()
        world.run(seconds(8))
    return world.count_overshoot("big")


def count_overshoot_after_change() -> int:
    """Return the overshoot while a removed failure domain is isolated.

    Its host does not learn of the new configuration.
    """
    world = build_world()
    world.network.isolate("a")
    rest = {name: region for name, region in FOUR_DOMAINS.items() if name != "a"}
    world.apply(build_rate_text(LIMITS, rest))
    world.run(seconds(14))
    run_load(world, 200)
    return world.count_overshoot("big")


def count_double_holders_on_pause() -> int:
    """Return the number of partitions with two holders while one host is paused."""
    world = World(build_text(), LEASE_HOSTS)
    world.run(seconds(8))
    world.pause(list_holders(world, "a")[0][0][0])
    world.run(seconds(25))
    return sum(len(held) > 1 for held in list_holders(world, "a").values())


def count_double_holders_on_promises() -> int:
    """Return the number of partitions with two holders while one host has no store.

    That host extends its leases by promises of the witnesses.
    """
    world = World(build_text(), LEASE_HOSTS)
    world.run(seconds(8))
    holder = list_holders(world, "a")[0][0][0]
    original = world._transact

    def transact(name, state, effect):
        if name != holder:
            original(name, state, effect)

    world._transact = transact
    world.run(seconds(25))
    return sum(len(held) > 1 for held in list_holders(world, "a").values())


def ignore_loans(state, name, now):
    """Mutation: an owner uses its share regardless of loans."""
    held = token_grants.find_partition(state.inventory, state.failure_domain, name)
    lease = state.limits.leases.own.get(held)
    return None if lease is None else lease.valid_until


def ignore_reservations(pool):
    """Mutation: reserved tokens do not count against the burst."""
    pool.level = min(pool.level, pool.burst * TOKEN)


def forget_promise(state, host, message, now):
    """Mutation: a witness sends a promise without recording it."""
    promise = Promise(message.number, state.incarnation, message.indexes)
    state.perform(SendMessage(host, promise))


def use_newest_share(state, name):
    """Mutation: a share follows the newest version only."""
    return compute_share(state.inventory, state.failure_domain, name)


class MutationTests(TestCase):
    def test_no_violation_without_a_mutation(self):
        self.assertEqual(count_overshoot_over_slow_links(), 0)
        self.assertEqual(count_overshoot_around_pauses(), 0)
        self.assertEqual(count_overshoot_around_cuts(), 0)
        self.assertEqual(count_overshoot_after_change(), 0)
        self.assertEqual(count_double_holders_on_pause(), 0)
        self.assertEqual(count_double_holders_on_promises(), 0)

    def test_ignored_reservations_are_caught(self):
        with mock.patch.object(Pool, "_cap_level", ignore_reservations):
            self.assertGreater(count_overshoot_over_slow_links(), 0)

    def test_owner_that_uses_a_lent_share_is_caught(self):
        with mock.patch.object(token_grants, "_find_own_validity_end", ignore_loans):
            self.assertGreater(count_overshoot_around_cuts(), 0)

    def test_share_that_starts_full_is_caught(self):
        original = Pool.put

        def put(pool, name, source, tokens=0):
            original(pool, name, source, source.share.burst * TOKEN)

        with mock.patch.object(Pool, "put", put):
            self.assertGreater(count_overshoot_around_pauses(), 0)

    def test_share_that_grows_at_once_is_caught(self):
        with mock.patch.object(token_grants, "find_share", use_newest_share):
            self.assertGreater(count_overshoot_after_change(), 0)

    def test_lease_that_is_not_checked_at_use_is_caught(self):
        original = renewal._check_tick_gap

        def note_time(state, now):
            original(state, now)
            for lease in state.limits.leases.own.values():
                lease.valid_until = now + seconds(3600)

        with (
            mock.patch.object(renewal, "_check_tick_gap", note_time),
            mock.patch.object(leases, "MAX_TICK_GAP_US", seconds(3600)),
        ):
            self.assertGreater(count_double_holders_on_pause(), 0)

    def test_witness_that_breaks_its_promise_is_caught(self):
        lie = {PromiseRequest: forget_promise}
        with mock.patch.dict(reducer.MESSAGE_HANDLERS, lie):
            self.assertGreater(count_double_holders_on_promises(), 0)

"""Hosts that follow a store which falls silent while calls wait for its changes."""

from __future__ import annotations

from unittest import TestCase

from twisted.internet.task import Clock

from almondgap_core.gateway.events import StoreTable
from almondgap_core.gateway.reports import ClaimRefuted
from almondgap_core.gateway.store_views import CallPlan, find_monitor
from almondgap_core.units import millis, seconds
from almondgap_daemon.gateway.watcher import TableWatcher
from almondgap_daemon.platform.records import OPERATORS_TABLE, TARGETS_TABLE
from almondgap_testkit.gateways.followers import (
    Followers,
    ModelStore,
    ModelStoreClient,
    StoreCopy,
)

FLEET = {"h1": "a1", "h2": "a1", "h3": "a2", "h4": "b1", "h5": "b2"}

#: Bounds of the platform's operators: a host knows of a change within two seconds, and
#: of the end of a silence within one.
CHANGE_S, RETURN_S = 2.0, 1.0


class RestoreTests(TestCase):
    """A store that comes back from a copy, whose versions are given out again."""

    def test_host_that_was_cut_off_reads_rows_below_the_version_it_knew(self):
        for missed in ((), ("h2",), ("h5",), ("h2", "h3", "h4"), tuple(FLEET)):
            with self.subTest(missed=missed):
                followers = Followers.start(**FLEET)
                copy = followers.store.copy()
                for number in range(3):
                    followers.store.write(TARGETS_TABLE, f"t{number}", b"{}")
                followers.configure(2)
                followers.run(1.0)
                followers.store.silence(*missed)
                followers.store.restore(copy)
                followers.configure(2)
                followers.configure(3)
                for number in range(9):
                    followers.store.write(TARGETS_TABLE, f"t{number}", b"{}")
                followers.run(1.0)
                followers.store.silent.clear()
                # A call that was lost ends 2.7 s after it began at the latest.
                followers.run(2.7 + RETURN_S)
                self.assertEqual(
                    followers.list_versions(), dict.fromkeys(followers.hosts, 3)
                )

    def start_copied(self) -> tuple[Followers, StoreCopy]:
        """Return hosts that know more of the store than its copy has."""
        followers = Followers.start(**FLEET)
        copy = followers.store.copy()
        for version in range(2, 6):
            followers.configure(version)
        followers.run(1.5)
        return followers, copy

    def test_honest_hosts_are_not_distrusted(self):
        followers, copy = self.start_copied()
        followers.store.restore(copy)
        followers.configure(5)
        followers.run(8.0)
        for host, follower in followers.hosts.items():
            refuted = [x for x in follower.reports if isinstance(x, ClaimRefuted)]
            self.assertEqual(refuted, [], host)

    def test_host_hears_from_others_that_the_store_was_restored(self):
        followers, copy = self.start_copied()
        # The calls of all but h1 and h4 wait for an answer that is lost.
        followers.store.restore(copy)
        followers.configure(7)
        for host in ("h1", "h4"):
            followers.hosts[host].watcher.read_table(StoreTable.OPERATORS)
        followers.run(CHANGE_S)
        self.assertEqual(followers.list_versions(), dict.fromkeys(FLEET, 7))

    def test_all_tables_are_read_anew_when_one_call_tells_of_the_restore(self):
        followers = Followers.start(h1="a1")
        followers.store.write(TARGETS_TABLE, "t1", b"{}")
        followers.run(2.0)
        copy = followers.store.copy()
        followers.store.write(TARGETS_TABLE, "t2", b"{}")
        followers.run(2.0)
        # The calls that wait for changes are never answered.
        followers.store.restore(copy)
        followers.store.write(TARGETS_TABLE, "t3", b"{}")
        followers.hosts["h1"].watcher.read_table(StoreTable.OPERATORS)
        followers.run(CHANGE_S)
        knowledge = followers.hosts["h1"].state.store_knowledge
        self.assertEqual(knowledge.eras, dict.fromkeys(StoreTable, 2))


class SilenceTests(TestCase):
    def start(self, **failure_domains: str) -> Followers:
        return Followers.start(**(failure_domains or FLEET))

    def pass_silence(self, followers: Followers, length_s: float = 4.4) -> None:
        """Let the store be silent for all hosts for some time."""
        followers.store.silence(*FLEET)
        followers.run(length_s)
        followers.store.silent.clear()

    def assert_in_force(self, followers: Followers, version: int) -> None:
        expected = dict.fromkeys(followers.hosts, version)
        self.assertEqual(followers.list_versions(), expected)

    def test_change_before_the_silence(self):
        followers = self.start()
        followers.configure(2)
        self.pass_silence(followers)
        followers.run(RETURN_S)
        self.assert_in_force(followers, 2)

    def test_change_during_the_silence(self):
        for length_s in (0.4, 1.0, 2.5, 4.4, 9.0):
            with self.subTest(length_s=length_s):
                followers = self.start()
                followers.store.silence(*FLEET)
                followers.run(length_s / 2)
                followers.configure(2)
                followers.run(length_s / 2)
                followers.store.silent.clear()
                # The monitor's call that was lost ends 2.7 s after it began.
                followers.run(max(RETURN_S, 2.9 - length_s))
                self.assert_in_force(followers, 2)

    def test_change_just_after_the_return(self):
        followers = self.start()
        self.pass_silence(followers)
        followers.configure(2)
        followers.run(RETURN_S)
        self.assert_in_force(followers, 2)

    def test_change_long_after_the_return(self):
        followers = self.start()
        self.pass_silence(followers)
        followers.run(5.0)
        followers.configure(2)
        followers.run(0.1)
        self.assert_in_force(followers, 2)

    def test_one_host_hangs_beside_others(self):
        for host in FLEET:
            with self.subTest(host=host):
                followers = self.start()
                followers.store.silence(host)
                followers.run(1.0)
                followers.store.silent.clear()
                followers.configure(2)
                followers.run(CHANGE_S)
                self.assert_in_force(followers, 2)

    def test_host_that_is_alone_in_its_region_hangs(self):
        followers = self.start(h1="a1", h2="a2", h3="b1")
        followers.store.silence("h3")
        followers.run(1.0)
        followers.store.silent.clear()
        followers.configure(2)
        followers.run(CHANGE_S)
        self.assert_in_force(followers, 2)

    def assert_found_after_silence(self, followers: Followers, *hosts: str) -> None:
        """Assert that a change during a silence of 4.4 s is in force after it."""
        followers.store.silence(*hosts)
        followers.run(4.4)
        followers.configure(2)
        followers.store.silent.clear()
        followers.run(RETURN_S)
        self.assert_in_force(followers, 2)

    def test_only_host_of_the_fleet(self):
        followers = self.start(h1="a1")
        self.assert_found_after_silence(followers, "h1")

    def test_monitor_dies_as_the_store_falls_silent(self):
        followers = self.start()
        monitor = find_monitor(followers.hosts["h1"].state, followers.now())
        followers.store.silence(*FLEET)
        followers.hosts[monitor].watcher.stop()
        followers.muted.add(monitor)
        followers.run(4.4)
        followers.configure(2)
        followers.store.silent.clear()
        # Another host takes over when the heartbeats have been missing for 4.6 s.
        followers.run(RETURN_S + 1.5)
        versions = followers.list_versions()
        versions.pop(monitor)
        self.assertEqual(set(versions.values()), {2})

    def test_hosts_cut_off_from_each_other_find_out_alone(self):
        followers = self.start()
        followers.muted |= set(FLEET)
        followers.run(10.0)
        self.assert_found_after_silence(followers, *FLEET)

    def test_silence_that_begins_while_changes_are_gathered(self):
        followers = self.start()
        followers.store.write(TARGETS_TABLE, "t1", b"{}")
        followers.run(0.3)
        followers.store.silence(*FLEET)
        followers.run(4.0)
        followers.store.write(TARGETS_TABLE, "t2", b"{}")
        followers.store.silent.clear()
        followers.run(RETURN_S)
        for host, follower in followers.hosts.items():
            known = follower.state.store_knowledge.read_up_to[StoreTable.TARGETS]
            self.assertEqual(known, followers.store.version, host)

    def test_versions_that_count_anew(self):
        followers = self.start()
        for version in range(2, 9):
            followers.configure(version)
        followers.run(1.0)
        followers.store.restart()
        followers.run(30.0)
        followers.configure(9)
        followers.run(CHANGE_S)
        self.assert_in_force(followers, 9)


class CallTests(TestCase):
    def test_calm_minute_costs_few_calls(self):
        followers = Followers.start(**FLEET)
        before = dict(followers.store.calls)
        followers.run(60.0)
        calls = {
            host: count - before[host] for host, count in followers.store.calls.items()
        }
        monitor = find_monitor(followers.hosts["h1"].state, followers.now())
        self.assertLessEqual(calls.pop(monitor), 60 / 2 + 4)
        self.assertLessEqual(max(calls.values()), 6)

    def test_burst_of_changes_costs_no_more_calls_than_batches(self):
        followers = Followers.start(**FLEET)
        before = sum(followers.store.calls.values())
        for number in range(20):
            followers.store.write("servers", f"t{number}", b"{}")
            followers.run(0.2)
        calls = sum(followers.store.calls.values()) - before
        # One call for each batch of 0.8 s, and the monitor's.
        self.assertLessEqual(calls, len(FLEET) * (4.0 / 0.8 + 1) + 4)

    def test_liar_costs_few_calls(self):
        followers = Followers.start(**FLEET)
        liar = followers.hosts["h2"].state.store_knowledge
        before = followers.store.calls["h1"]
        for number in range(60):
            liar.newest_rows[StoreTable.OPERATORS] = 1_000_000 + number
            followers.run(1.0)
        self.assertLessEqual(followers.store.calls["h1"] - before, 60 / 2 + 4 + 12)


class InternalErrorTests(TestCase):
    def test_rows_that_cannot_be_handled_do_not_end_the_watch(self):
        clock = Clock()
        store = ModelStore(clock)
        store.write(OPERATORS_TABLE, "config", b"1")
        seen, errors = [], []

        def handle(rows, whole) -> None:
            if rows and rows[0].value == b"poison":
                raise RuntimeError("unexpected")
            seen.extend(row.value for row in rows)

        watcher = TableWatcher(
            clock,
            ModelStoreClient(store, "h1"),
            OPERATORS_TABLE,
            on_rows=handle,
            on_read=lambda *read: None,
            on_call_result=lambda error: None,
            on_internal_error=errors.append,
            plan_call=lambda failures: CallPlan(
                seconds(20), millis(1_500), millis(700)
            ),
            uniform=lambda: 0.0,
        )
        watcher.start()
        clock.pump([0.01] * 10)
        for value in (b"poison", b"2"):
            store.write(OPERATORS_TABLE, "config", value)
            clock.pump([0.1] * 20)
        self.assertEqual(seen, [b"1", b"2"])
        self.assertEqual(len(errors), 1)

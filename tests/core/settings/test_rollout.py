"""Greater versions come in force everywhere, and nothing else does."""

from __future__ import annotations

import json
from unittest import TestCase

from almondgap_core.platform import Transaction, Write, compute_object_name
from almondgap_core.settings.head import HEAD, Head
from almondgap_core.verdict import Reason, Verdict
from almondgap_testkit.fakes.network import PLATFORM
from almondgap_testkit.fakes.withdrawals import HOSTS, Withdrawals

#: Longest time until a change is in force on every host.
IN_FORCE_S = 12


class RolloutTests(TestCase):
    def setUp(self):
        self.fleet = Withdrawals()
        self.world = self.fleet.world

    def list_versions(self):
        """Return the version in force at each host that runs."""
        return {
            name: host.state.settings.version
            for name, host in self.world.hosts.items()
            if host.state is not None
        }

    def apply(self, text: str | None = None) -> None:
        self.world.apply(text or json.dumps(self.fleet.document))

    def publish(self, body: bytes, name: str | None = None, version: int = 2) -> None:
        """Move the head without any check, as a faulty tool would."""
        name = name or compute_object_name(body)
        self.world.platform.objects[name] = body
        text = Head(version, name, "someone", "", "").to_text()
        write = Write(HEAD.table, HEAD.key, text)
        self.world.platform.tables.apply(Transaction(writes=(write,)))

    def test_change_is_in_force_everywhere(self):
        self.apply()
        self.fleet.run(IN_FORCE_S)
        self.assertEqual(self.list_versions(), dict.fromkeys(HOSTS, 2))

    def test_failure_domain_without_store_takes_it_from_neighbours(self):
        self.world.network.cut("a", PLATFORM)
        self.fleet.run(10)
        filler = "// " + "long " * 60_000
        self.apply(f"{filler}\n{json.dumps(self.fleet.document)}")
        self.fleet.run(IN_FORCE_S)
        self.assertEqual(self.list_versions(), dict.fromkeys(HOSTS, 2))

    def test_host_that_starts_without_platform_takes_the_greatest_version(self):
        self.apply()
        self.fleet.run(IN_FORCE_S)
        self.world.platform.down = True
        for name in ("a-1", "c-1"):
            self.world.crash(name)
            self.fleet.run(2)
            self.world.start(name)
            self.fleet.run(IN_FORCE_S)
            self.assertEqual(self.list_versions()[name], 2, name)
            listed = self.world.hosts[name].state.members.listed
            self.assertEqual(set(listed), set(HOSTS))

    def test_host_without_platform_and_neighbours_is_not_ready(self):
        self.world.platform.down = True
        for name in HOSTS:
            self.world.crash(name)
        self.world.start("a-1")
        self.fleet.run(30)
        answer = self.fleet.ask("a-1")
        self.assertIs(answer.refusal.reason, Reason.NOT_READY)
        self.assertIs(answer.verdict, Verdict.NOT_RUN)

    def test_bad_bodies_take_no_host_down(self):
        for body in (b"\xff\xfe", b"{", b"[]", b"null", b'{"regions": 3}', b"{}"):
            self.publish(body, version=max(self.list_examined()) + 1)
            self.fleet.run(5)
        self.assertEqual(self.list_versions(), dict.fromkeys(HOSTS, 1))
        self.assertEqual(set(self.fleet.probe().values()), {True})
        self.publish(json.dumps(self.fleet.document).encode(), version=20)
        self.fleet.run(IN_FORCE_S)
        self.assertEqual(self.list_versions(), dict.fromkeys(HOSTS, 20))

    def list_examined(self):
        return [
            host.state.settings.examined_version for host in self.world.hosts.values()
        ]

    def test_key_missing_in_a_bad_body_is_withdrawn_all_the_same(self):
        self.fleet.document["accounts"]["one"]["keys"] = []
        self.fleet.document["unknown"] = 1
        self.publish(json.dumps(self.fleet.document).encode())
        self.fleet.run(5)
        self.assertEqual(self.list_versions(), dict.fromkeys(HOSTS, 1))
        self.assertEqual(set(self.fleet.probe().values()), {False})

    def test_body_that_is_not_the_named_one_is_refused(self):
        body = json.dumps(self.fleet.document).encode()
        self.publish(body, name="0" * 64)
        self.fleet.run(IN_FORCE_S)
        self.assertEqual(self.list_versions(), dict.fromkeys(HOSTS, 1))

    def test_smaller_version_is_never_applied(self):
        self.apply()
        self.fleet.run(IN_FORCE_S)
        self.publish(json.dumps(self.fleet.document).encode(), version=1)
        self.fleet.run(IN_FORCE_S)
        self.assertEqual(self.list_versions(), dict.fromkeys(HOSTS, 2))

    def test_broken_head_row_takes_no_host_down(self):
        for text in ("", "{", "[]", '{"version": 1}', "null"):
            write = Write(HEAD.table, HEAD.key, text)
            self.world.platform.tables.apply(Transaction(writes=(write,)))
            self.fleet.run(5)
        self.assertEqual(set(self.fleet.probe().values()), {True})

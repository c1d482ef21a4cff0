from __future__ import annotations

from unittest import TestCase

from attrs import evolve

from almondgap_core.gateway.configuration import Account
from almondgap_core.gateway.effects import Send
from almondgap_core.gateway.events import AttemptFailed, Failure, TargetAnswered
from almondgap_core.units import millis
from almondgap_core.verdict import Verdict
from almondgap_testkit.gateways.builders import (
    KEY,
    Bench,
    announce,
    build_configuration,
    build_route,
)

TARGETS = tuple(announce(f"t{number}") for number in range(8))


def answer(bench: Bench, send: Send, took: int, **changes) -> None:
    """Let a target answer an attempt after some time."""
    bench.now += took
    fields = {
        "status": 200,
        "not_executed": False,
        "misdirected": False,
        "sealed": True,
        "load": (0, 0),
    }
    bench.feed(TargetAnswered, send.call, send.attempt, **{**fields, **changes})


class PlacementTests(TestCase):
    def test_object_goes_to_the_same_target_from_every_host(self):
        chosen = set()
        for seed in range(5):
            bench = Bench.build(TARGETS, seed=seed)
            bench.call(thing="42")
            chosen.add(bench.find(Send)[0].target)
        self.assertEqual(len(chosen), 1)

    def test_objects_spread_over_targets(self):
        bench = Bench.build(TARGETS)
        chosen = set()
        for thing in range(100):
            bench.call(thing=str(thing))
            send = bench.find(Send)[0]
            chosen.add(send.target)
            answer(bench, send, millis(100))
        self.assertEqual(len(chosen), len(TARGETS))

    def test_full_target_is_passed_over(self):
        bench = Bench.build(TARGETS)
        chosen = []
        for _ in range(4):
            bench.call()
            chosen.append(bench.find(Send)[0].target)
        self.assertEqual(len(set(chosen[:2])), 1)
        self.assertNotIn(chosen[0], chosen[2:])

    def test_slow_target_is_avoided_and_tried_again(self):
        bench = Bench.build(TARGETS)
        bench.call()
        slow = bench.find(Send)[0]
        answer(bench, slow, millis(900))
        for _ in range(4):
            bench.call()
            send = bench.find(Send)[0]
            slow_took = send.target == slow.target
            answer(bench, send, millis(900 if slow_took else 150))
        bench.call()
        self.assertNotEqual(bench.find(Send)[0].target, slow.target)

    def test_failing_target_is_avoided(self):
        bench = Bench.build(TARGETS)
        bench.call()
        first = bench.find(Send)[0]
        answer(bench, first, millis(100), status=500)
        bench.call()
        self.assertNotEqual(bench.find(Send)[0].target, first.target)

    def test_target_without_connection_is_down(self):
        bench = Bench.build(TARGETS[:1])
        bench.call()
        send = bench.find(Send)[0]
        lost = (Failure.NOT_CONNECTED, Verdict.NOT_RUN)
        bench.feed(AttemptFailed, send.call, send.attempt, *lost)
        bench.call()
        self.assertEqual(bench.find(Send), [])


class HomeTests(TestCase):
    def test_route_with_homes_stays_there(self):
        route = build_route(regions=frozenset({"b"}))
        cfg = build_configuration(routes=(route,))
        targets = (*TARGETS, announce("home", failure_domain="b2"))
        bench = Bench.build(targets, cfg)
        for thing in range(20):
            bench.call(thing=str(thing))
            send = bench.find(Send)[0]
            self.assertEqual(send.target, "home")
            answer(bench, send, millis(50))

    def test_homes_of_route_and_account_both_bind(self):
        account = Account("one", frozenset({KEY}), regions=frozenset({"a"}))
        cfg = build_configuration(accounts={"one": account})
        far = announce("far", failure_domain="b1")
        bench = Bench.build((far,), cfg)
        bench.call()
        self.assertEqual(bench.find(Send), [])
        route = build_route(regions=frozenset({"b"}))
        both = evolve(
            build_configuration(2, routes=(route,)), accounts={"one": account}
        )
        bench = Bench.build((far, *TARGETS), both)
        bench.call()
        self.assertEqual(bench.find(Send), [])

"""Rows and datagrams of other writers with odd values, through all stages they pass.

Such a row names nothing to use, and the others hold: hosts follow the store, serve, and
become ready when they start anew, whatever else stands in the tables.
"""

from __future__ import annotations

import json
import random
from ipaddress import IPv4Address
from unittest import TestCase

import h11
import msgpack
from attrs import asdict
from hypothesis import example, given
from hypothesis import strategies as st

from almondgap_core.exceptions import MessageError
from almondgap_core.gateway.effects import (
    GatewayEffect,
    GrantTokens,
    Log,
    Relay,
    RequestTokens,
    Send,
    SendAdvertisedLimits,
    SendHeartbeat,
    SendStoreView,
    SendSuspects,
)
from almondgap_core.gateway.events import (
    HeartbeatReceived,
    StoreViewReceived,
    SuspectsReceived,
    TargetAnswered,
    Ticked,
    TokensGranted,
    TokensRequested,
)
from almondgap_core.gateway.fleet import list_caller_addresses, register_peers
from almondgap_core.gateway.heartbeats import (
    AdvertisedLimits,
    Heartbeat,
    HostLocation,
    StoreView,
)
from almondgap_core.gateway.reducer import step
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.store_views import plan_call
from almondgap_core.gateway.suspects import Crash, SuspectReport, Suspects
from almondgap_core.units import millis
from almondgap_daemon.gateway.messages import (
    TokenRequest,
    TokenResponse,
    decode_message,
    encode_message,
)
from almondgap_daemon.gateway.watcher import StoreWatcher
from almondgap_daemon.platform.headers import make_request_headers
from almondgap_daemon.platform.records import (
    StoreRow,
    decode_place,
    decode_suspect,
    encode_place,
    encode_suspect,
)
from almondgap_testkit.gateways.builders import (
    KEY,
    GatewayHarness,
    announce,
    build_location,
)
from tests.daemon.platform.odd_values import EXAMPLES, draw_odd_documents, replace

TARGET = {
    "address": "10.1.2.3:8080",
    "born": 1_700_000_000_000,
    "info": {"backend": "shop", "version": "v1", "zone": "a1", "slots": 6},
    "status": {"state": "ready", "seq": 4, "cold_left_s": 0},
}

CONFIGURATION = {
    "version": "0000000c",
    "routes": {
        "reads": {
            "host": "shop.example",
            "prefix": "/reads/",
            "kind": "safe",
            "timeout_s": 2,
            "target_latency_s": 0.6,
            "priority": 2,
            "traffic_split": [
                {"backend": "shop", "weight": 90},
                {"backend": "cellar", "weight": 10},
            ],
            "max_attempts": 2,
            "public": False,
            "sticky": True,
            "allowed_regions": ["a", "b"],
        },
        "orders": {
            "host": "shop.example",
            "prefix": "/orders/",
            "kind": "unsafe",
            "timeout_s": 2,
            "backend": "shop",
        },
    },
    "services": {
        "shop": {"health_check": "/health", "max_conns": 390, "cold_per_s": 5},
        "cellar": {"cold_s": 2.5},
    },
    "tenants": {
        "one": {"api_keys": [KEY], "rate_per_s": 500, "burst": 700, "priority": 1}
    },
    "limits": {"idle_timeout_s": 15, "max_body_bytes": 60_000},
}

PLACE = HostLocation("h2", "a2", "a", "10.8.0.2:80", "10.8.0.2:90")

PLACE_ROW = json.loads(encode_place(PLACE))

SUSPECT_ROW = json.loads(
    encode_suspect(SuspectReport("f" * 16, (Crash("i-1", 7),), (), 1), 1_000.0)
)

#: Nested as deeply as a parser follows, but not the text of an error.
DEEP = "[" * 960 + "]" * 960


class Host:
    """A host whose reducer takes events, and whose effects are encoded and checked."""

    def __init__(self):
        targets = tuple(announce(f"t{n}", address=f"10.9.0.{n}:80") for n in (1, 2))
        location = build_location(address="10.8.0.1")
        self.harness = GatewayHarness.build(targets, location=location)
        register_peers(self.state, [PLACE], self.harness.now)
        self.errors: list[str] = []
        self.watcher = StoreWatcher(
            None,
            None,
            self.feed,
            lambda: self.harness.now,
            random.random,
            self.errors.append,
            lambda table, failures: plan_call(self.harness.state, table, failures),
        )

    @property
    def state(self) -> GatewayState:
        return self.harness.state

    def feed(self, event) -> list[GatewayEffect]:
        """Feed an event, and check its effects as the process performs them."""
        effects = step(self.state, event)
        for effect in effects:
            self.check(effect)
        return effects

    def check(self, effect: GatewayEffect) -> None:
        """Check that an effect can be performed."""
        if isinstance(effect, Log):
            json.dumps(asdict(effect.report)).encode()
        elif isinstance(effect, SendHeartbeat):
            self.check_message(effect.heartbeat, *effect.addresses)
        elif isinstance(effect, SendStoreView):
            self.check_message(effect.view, *effect.addresses)
        elif isinstance(effect, SendAdvertisedLimits | SendSuspects):
            self.check_message(effect.message, *effect.addresses)
        elif isinstance(effect, RequestTokens):
            message = TokenRequest(
                "10.8.0.1:90", effect.account, effect.correlation_id, effect.tokens
            )
            self.check_message(message, effect.address)
        elif isinstance(effect, GrantTokens):
            message = TokenResponse(
                effect.account, effect.correlation_id, effect.tokens
            )
            self.check_message(message, effect.address)
        elif isinstance(effect, Send | Relay):
            check_address(effect.address)
            if isinstance(effect, Send):
                headers = make_request_headers(
                    [], effect.target, effect.account, effect.time_left, 0
                )
                request = h11.Request(
                    method="GET", target="/", headers=[("Host", "a"), *headers]
                )
                h11.Connection(h11.CLIENT).send(request)

    def check_message(self, message, *addresses: str) -> None:
        """Check that a message can be sent, and is understood."""
        decode_message(encode_message(message))
        for address in addresses:
            check_address(address)

    def serve(self, count: int = 12) -> None:
        """Check that the host serves, and goes on ticking."""
        harness = self.harness
        for number in range(count):
            harness.number += 1
            path = ("/reads/1", "/orders/1")[number % 2]
            harness.call(path, call=harness.number, affinity_key=str(number))
            for effect in harness.effects:
                self.check(effect)
            sends = harness.find(Send)
            if len(sends) != 1:
                raise AssertionError(f"not served: {harness.effects}")
            send = sends[0]
            harness.now += millis(20)
            answer = (send.call, send.attempt, 200, False, False, True)
            self.feed(TargetAnswered(harness.now, *answer, (1, 0), 1e4))
            harness.now += millis(250)
            self.feed(Ticked(harness.now))
        if not self.state.ready:
            raise AssertionError("host is not ready")


def check_address(address: str) -> None:
    """Check that an address can be connected to without a look-up."""
    host, _, port = address.rpartition(":")
    IPv4Address(host)
    if not 0 < int(port) < 65_536:
        raise AssertionError(f"port of {address}")


def make_row(key: str, value: bytes | None, version: int = 9) -> StoreRow:
    return StoreRow("servers", key, value, version)


class TargetRowTests(TestCase):
    @EXAMPLES
    @given(draw_odd_documents(TARGET), st.booleans(), st.sampled_from(("t1", "odd")))
    @example(replace(TARGET, ("address",), DEEP), True, "odd")
    @example(replace(TARGET, ("info", "slots"), "1" + "0" * 400), False, "odd")
    @example(replace(TARGET, ("info", "zone"), '"\\ud800"'), True, "odd")
    @example(replace(TARGET, ("born",), str(2**70)), False, "odd")
    def test_odd_target_hides_no_other(self, value, whole, key):
        # Guards against hosts that end, or follow the store no more.
        host = Host()
        rows = [
            make_row(name, replace(TARGET, ("address",), f'"10.9.0.{n}:80"'))
            for n, name in enumerate(("t3", "t4"), 3)
        ]
        if whole:
            rows += [make_row("t2", json.dumps(TARGET).encode())]
        host.watcher._handle_target_rows(
            (rows[0], make_row(key, value), *rows[1:]), whole
        )
        self.assertLessEqual({"t2", "t3", "t4"}, set(host.state.targets))
        host.serve()

    def test_odd_names_of_targets(self):
        # Guards against names that can't be sent in a header.
        for key in ("", "a b", "a\r\nb: c", "\u0000", "\u00e9", "\ud800", "a\ud800"):
            with self.subTest(key=key):
                host = Host()
                row = make_row(key, json.dumps(TARGET).encode())
                host.watcher._handle_target_rows((row,), False)
                self.assertNotIn(key, host.state.targets)
                host.serve()

    def test_error_in_one_row_hides_no_other(self):
        # Guards against a row that fails in a way which no check foresees.
        host = Host()
        bad, good = (
            make_row("odd", object()),
            make_row("t3", json.dumps(TARGET).encode()),
        )
        for whole in (False, True):
            host.watcher._handle_target_rows((bad, good), whole)
            self.assertIn("t3", host.state.targets)
        self.assertTrue(host.errors)


class OperatorRowTests(TestCase):
    @EXAMPLES
    @given(draw_odd_documents(CONFIGURATION))
    @example(replace(CONFIGURATION, ("version",), '"' + "f" * 64 + '"'))
    @example(replace(CONFIGURATION, ("tenants", "one", "rate_per_s"), "NaN"))
    @example(replace(CONFIGURATION, ("tenants", "one", "burst"), "1e400"))
    @example(
        replace(CONFIGURATION, ("routes", "reads", "traffic_split", 0, "weight"), "NaN")
    )
    @example(replace(CONFIGURATION, ("tenants", "one", "api_keys"), '"a"'))
    @example(replace(CONFIGURATION, ("routes", "reads", "public"), '"false"'))
    def test_odd_configuration_is_refused_or_can_be_used(self, value):
        # Guards against settings that decode, and fail in each request.
        host = Host()
        before = host.state.configuration
        host.watcher._handle_operator_rows((StoreRow("op", "config", value, 9),), False)
        after = host.state.configuration
        if after is before:
            host.serve()
            return
        for account in after.accounts.values():
            self.assertTrue(all(len(key) > 1 for key in account.keys))
        for name in ("reads", "orders"):
            for route in after.routes:
                if route.name == name:
                    self.assertIsInstance(route.public, bool)
        harness = host.harness
        for number in range(6):
            harness.call(("/reads/1", "/orders/1")[number % 2])
            for effect in harness.effects:
                host.check(effect)
            harness.now += millis(250)
            host.feed(Ticked(harness.now))

    def test_odd_evacuations_leave_the_others(self):
        host = Host()
        rows = [
            StoreRow("op", f"evacuate/{domain}", b"\xff", 9)
            for domain in ("", "\ud800", "b1", "x" * 190)
        ]
        host.watcher._handle_operator_rows(tuple(rows), True)
        self.assertIn("b1", host.state.evacuated)
        host.serve()


class HostRowTests(TestCase):
    @EXAMPLES
    @given(draw_odd_documents(PLACE_ROW))
    @example(replace(PLACE_ROW, ("peers",), '"10.8.0.2:99999999"'))
    @example(replace(PLACE_ROW, ("callers",), DEEP))
    def test_odd_host_leaves_the_others(self, value):
        # Guards against heartbeats that stop at one host's address.
        host = Host()
        places = [PLACE]
        try:
            places.insert(0, decode_place(value))
        except MessageError:
            pass
        register_peers(host.state, places, host.harness.now)
        self.assertIn("h2", host.state.peers)
        host.serve()

    @EXAMPLES
    @given(draw_odd_documents(SUSPECT_ROW))
    @example(replace(SUSPECT_ROW, ("trials",), str(2**70)))
    @example(replace(SUSPECT_ROW, ("crashes", 0, 0), '"\\ud800"'))
    @example(replace(SUSPECT_ROW, ("saved_at",), "1" + "0" * 400))
    def test_odd_suspect_leaves_the_others(self, value):
        host = Host()
        try:
            report, saved_at = decode_suspect("e" * 16, value)
        except MessageError:
            return
        self.assertIsInstance(1_000.0 - saved_at, float)
        host.feed(SuspectsReceived(host.harness.now, Suspects("store", (report,))))
        host.serve()


MESSAGES = (
    Heartbeat(PLACE, 1, 2, True, 3, False),
    TokenRequest("10.8.0.2:90", "one", 4, 3.0),
    TokenResponse("one", 4, 2.0),
    StoreView("h2", 1, (3, 4), 1, 2),
    AdvertisedLimits("h2", ()),
    Suspects("h2", (SuspectReport("f" * 16, (Crash("t1", 1_000),), (), 1),)),
)

ODD_FIELDS = st.sampled_from(
    (
        *(None, True, -1, 0, 2**63, 2**64 - 1, -(2**63), 1e300, float("nan")),
        *(float("inf"), float("-inf"), "", "10.8.0.2:99999999", ":", "x" * 300),
        *(b"\xff", [], {}, [[]], [1, 2], "9" * 400, "\u0661", "t1"),
    )
)


class DatagramTests(TestCase):
    @EXAMPLES
    @given(st.sampled_from(MESSAGES), st.integers(0, 9), ODD_FIELDS)
    def test_odd_field_leaves_the_others(self, message, place, value):
        host = Host()
        host.feed(HeartbeatReceived(host.harness.now, MESSAGES[0]))
        fields = msgpack.unpackb(encode_message(message))
        paths = [(n,) for n in range(2, len(fields))]
        paths += [(2, n) for n in range(5) if isinstance(fields[2], list)]
        path = paths[place % len(paths)]
        section = fields if len(path) == 1 else fields[path[0]]
        section[path[-1]] = value
        self.handle(host, msgpack.packb(fields))
        self.assertEqual(
            list_caller_addresses(host.state, "a1", "a", host.harness.now).count(""), 0
        )
        host.serve()

    @EXAMPLES
    @given(st.binary(max_size=80))
    def test_any_bytes(self, data):
        host = Host()
        self.handle(host, data)
        host.serve(2)

    def handle(self, host: Host, data: bytes) -> None:
        """Handle a datagram as the runtime does, unless it is refused."""
        try:
            message = decode_message(data)
        except MessageError:
            return
        now = host.harness.now
        if isinstance(message, Heartbeat):
            host.feed(HeartbeatReceived(now, message))
        elif isinstance(message, StoreView):
            host.feed(StoreViewReceived(now, message))
        elif isinstance(message, Suspects):
            host.feed(SuspectsReceived(now, message))
        elif isinstance(message, TokenRequest):
            fields = (message.account, message.correlation_id, message.tokens)
            host.feed(TokensRequested(now, message.reply_to, *fields))
        elif isinstance(message, TokenResponse):
            fields = (message.account, message.correlation_id, message.tokens)
            host.feed(TokensGranted(now, *fields))

from __future__ import annotations

import json
from unittest import TestCase

from almondgap_core.exceptions import MessageError
from almondgap_core.units import millis, seconds
from almondgap_daemon.platform.records import (
    decode_announcement,
    decode_configuration,
    decode_place,
    encode_place,
)
from almondgap_testkit.gateways.builders import build_location

TARGET = {
    "address": "10.1.2.3:8080",
    "born": 1_700_000_000_000,
    "info": {"backend": "shop", "version": "v1", "zone": "a1", "slots": 6},
    "status": {"state": "ready", "seq": 4, "cold_left_s": 1.5},
}

CONFIGURATION = {
    "version": "0000000c",
    "routes": {
        "reads": {
            "host": "shop.example",
            "prefix": "/r/",
            "kind": "safe",
            "timeout_s": 1.2,
            "target_latency_s": 0.6,
            "priority": 2,
            "traffic_split": [
                {"backend": "shop", "weight": 90},
                {"backend": "cellar", "weight": 10},
            ],
            "max_attempts": 2,
            "public": False,
            "sticky": True,
            "allowed_regions": ["a"],
        },
        "orders": {
            "host": "shop.example",
            "prefix": "/o/",
            "kind": "unsafe",
            "timeout_s": 1,
            "backend": "shop",
            "max_attempts": 2,
        },
    },
    "services": {"shop": {"health_check": "/health", "max_conns": 390}},
    "tenants": {"one": {"api_keys": ["k1", "k2"], "rate_per_s": 5, "burst": 7}},
    "limits": {"idle_timeout_s": 15},
}


def encode_changed(document: dict, path: str, value) -> bytes:
    """Return an encoded document with a field changed, or removed if value is None."""
    changed = json.loads(json.dumps(document))
    *parents, name = path.split(".")
    section = changed
    for parent in parents:
        section = section[parent]
    if value is None:
        del section[name]
    else:
        section[name] = value
    return json.dumps(changed).encode()


class AnnouncementTests(TestCase):
    def test_fields(self):
        announcement = decode_announcement("i-1", json.dumps(TARGET).encode())
        self.assertEqual(announcement.target, "i-1")
        self.assertEqual(announcement.service, "shop")
        self.assertEqual(announcement.warmup_left, millis(1_500))
        self.assertFalse(announcement.draining)

    def test_malformed_announcement_is_refused(self):
        malformed = [
            ("address", None),
            ("address", 7),
            ("address", "10.1.2.3"),
            ("address", "10.1.2.3:0"),
            ("address", "10.1.2.3:x"),
            ("born", None),
            ("born", 1.5),
            ("born", True),
            ("born", "1700000000000"),
            ("info", None),
            ("info", []),
            ("info.backend", None),
            ("info.slots", "6"),
            ("info.zone", 3),
            ("status.state", "sleeping"),
            ("status.state", ["ready"]),
            ("status.seq", -1),
            ("status.cold_left_s", "1"),
            ("status.cold_left_s", -1),
        ]
        for path, value in malformed:
            with self.assertRaises(MessageError, msg=(path, value)):
                decode_announcement("i-1", encode_changed(TARGET, path, value))
        for value in (b"", b"\xff\xfe", b"[]", b"null", b"[" * 100_000, b"7"):
            with self.assertRaises(MessageError, msg=value[:10]):
                decode_announcement("i-1", value)

    def test_unknown_fields_are_ignored(self):
        announcement = decode_announcement(
            "i-1", encode_changed(TARGET, "more", {"a": 1})
        )
        self.assertEqual(announcement.slots, 6)


class ConfigurationTests(TestCase):
    def test_fields(self):
        cfg = decode_configuration(json.dumps(CONFIGURATION).encode())
        self.assertEqual(cfg.version, 12)
        route = cfg.find_route("shop.example", "/r/x")
        self.assertTrue(route.idempotent)
        self.assertEqual(route.timeout, millis(1_200))
        self.assertEqual([each.weight for each in route.backends], [90, 10])
        self.assertEqual(route.regions, frozenset({"a"}))
        orders = cfg.find_route("shop.example", "/o/")
        self.assertFalse(orders.idempotent)
        self.assertEqual(orders.goal, seconds(1))
        self.assertEqual(cfg.find_account("k2").burst, 7)
        self.assertEqual(cfg.limits.idle_timeout, seconds(15))

    def test_malformed_configuration_is_refused_whole(self):
        malformed = [
            ("version", None),
            ("version", "xyz"),
            ("routes", None),
            ("routes", []),
            ("routes.reads.prefix", None),
            ("routes.reads.timeout_s", "1"),
            ("services.shop", 7),
            ("tenants.one.api_keys", 7),
        ]
        for path, value in malformed:
            with self.assertRaises(MessageError, msg=(path, value)):
                decode_configuration(encode_changed(CONFIGURATION, path, value))

    def test_missing_values_count_as_defaults(self):
        for path in ("routes.reads.public", "routes.reads.sticky"):
            value = encode_changed(CONFIGURATION, path, "null").replace(
                b'"null"', b"null"
            )
            route = decode_configuration(value).routes[0]
            self.assertFalse(getattr(route, path.rpartition(".")[2]))


class PlaceTests(TestCase):
    def test_decoding_reverses_encoding(self):
        place = build_location(address="10.8.0.1")
        self.assertEqual(decode_place(encode_place(place)), place)

    def test_malformed_rows_are_refused(self):
        for value in (b"{}", b"[]", b'{"host": 1}'):
            with self.assertRaises(MessageError):
                decode_place(value)

from __future__ import annotations

import json
from unittest import TestCase

from almondgap_core.platform import compute_object_name
from almondgap_core.steering.clientmap_codec import encode_delta, encode_map
from almondgap_core.steering.clientmap_delta import compute_delta
from almondgap_core.units import seconds
from almondgap_testkit.builders import build_document
from almondgap_testkit.fakes.world import World
from tests.core.steering.test_clientmap import build

HOSTS = {"a-1": "a", "b-1": "b"}
ADDRESS = "10.1.2.3"


class RolloutTests(TestCase):
    def setUp(self):
        self.document = build_document()
        self.world = World(json.dumps(self.document), HOSTS)
        self.old = build([("10.0.0.0/8", "port")])
        self.new = build([("10.0.0.0/8", "port"), ("10.1.0.0/16", "hill")])

    def put(self, body: bytes) -> str:
        name = compute_object_name(body)
        self.world.platform.objects[name] = body
        return name

    def name(self, body: str, deltas: tuple[str, ...] = ()) -> None:
        """Name a map in the inventory and let it reach the hosts."""
        self.document["client_map"] = {"body": body, "deltas": list(deltas)}
        self.world.apply(json.dumps(self.document))
        self.world.run(seconds(8))

    def find(self, address: str = ADDRESS) -> list[str | None]:
        """Return what the map of each host says of an address."""
        states = [host.state for host in self.world.hosts.values()]
        return [state.steering.client_map.find_site(address) for state in states]

    def test_body_then_delta(self):
        base = self.put(encode_map(self.old))
        self.name(base)
        self.assertEqual(self.find(), ["port", "port"])
        delta = self.put(encode_delta(compute_delta(self.old, self.new, base)))
        del self.world.platform.objects[base]
        self.name(base, (delta,))
        self.assertEqual(self.find(), ["hill", "hill"])
        self.assertEqual(self.find("10.2.0.0"), ["port", "port"])
        self.put(encode_map(self.old))
        self.name(base)
        self.assertEqual(self.find(), ["port", "port"])

    def test_new_host_reads_body_and_deltas(self):
        base = self.put(encode_map(self.old))
        delta = self.put(encode_delta(compute_delta(self.old, self.new, base)))
        self.name(base, (delta,))
        self.assertEqual(self.find(), ["hill", "hill"])

    def test_bad_body_leaves_the_old_map(self):
        base = self.put(encode_map(self.old))
        self.name(base)
        bad = self.put(b"no map")
        self.name(bad)
        self.assertEqual(self.find(), ["port", "port"])
        stray = self.put(encode_delta(compute_delta(self.old, self.new, "c" * 64)))
        self.name(base, (stray,))
        self.assertEqual(self.find(), ["port", "port"])
        good = self.put(encode_map(self.new))
        self.name(good)
        self.assertEqual(self.find(), ["hill", "hill"])

    def test_body_is_asked_for_again_after_an_outage(self):
        body = encode_map(self.old)
        self.name(compute_object_name(body))
        self.assertIsNone(self.world.hosts["a-1"].state.steering.client_map)
        self.put(body)
        self.world.run(seconds(6))
        self.assertEqual(self.find(), ["port", "port"])

from __future__ import annotations

from unittest import TestCase

from almondgap_core.settings.topology import ClientMapRef
from almondgap_core.units import seconds
from almondgap_testkit.builders import build_document, build_inventory
from tests.core.settings.test_inventory import find_faults


class TopologyTests(TestCase):
    def setUp(self):
        self.document = build_document()
        self.document["regions"]["south"] = {
            "failure_domains": ["c"],
            "capacity_per_s": 50,
            "draining": True,
        }

    def test_topology_is_read(self):
        self.document.update(
            sites={"port": {"position_ms": {"east": 1, "north": 2}}},
            links=[{"regions": ["south", "north"]}],
            client_map={"body": "a" * 64},
            steering={"interval_s": 20, "default_site": "port"},
        )
        inventory = build_inventory(self.document)
        topology = inventory.topology
        self.assertEqual(topology.sites["port"].position, (1, 2))
        self.assertEqual(topology.links["north", "south"].capacity, 4_000_000_000)
        self.assertEqual(topology.client_map, ClientMapRef("a" * 64))
        self.assertEqual(topology.rules.interval, seconds(20))
        self.assertTrue(inventory.regions["south"].draining)

    def test_faults_name_their_place(self):
        self.document.update(
            links=[{"regions": ["south", "nroth"]}],
            client_map={"deltas": ["b"]},
            steering={"interval_s": 6, "default_site": "prot"},
        )
        texts = "\n".join(find_faults(self.document))
        for path in ("links[0].regions", "client_map", "interval_s", "default_site"):
            self.assertIn(path, texts)

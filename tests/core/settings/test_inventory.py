from __future__ import annotations

from unittest import TestCase

from almondgap_core.exceptions import ConfigurationError
from almondgap_core.settings.inventory import Inventory
from almondgap_core.settings.parsing import parse_document
from almondgap_core.settings.reader import Report
from almondgap_testkit.builders import build_document, build_inventory


def find_faults(document) -> list[str]:
    """Return the texts of all errors in a document."""
    report = Report("f")
    Inventory.from_document(document, report)
    return [str(fault) for fault in report.errors]


class InventoryTests(TestCase):
    def test_small_inventory_is_sound(self):
        inventory = build_inventory()
        self.assertEqual(inventory.accounts["one"].rate, 10_000)
        self.assertEqual(inventory.services["shop"].targets, ("shop-1", "shop-2"))

    def test_unknown_field_names_the_nearest(self):
        document = build_document()
        document["accounts"]["one"]["bursts"] = 3
        (fault,) = find_faults(document)
        self.assertIn("accounts.one.bursts", fault)
        self.assertIn("'burst'", fault)

    def test_all_faults_are_reported_at_once(self):
        document = build_document()
        document["services"]["shop"]["targets"][0]["slots"] = 0
        document["services"]["shop"]["targets"][1]["failure_domain"] = "z"
        del document["regions"]["north"]["capacity_per_s"]
        faults = find_faults(document)
        self.assertEqual(len(faults), 3)
        self.assertIn("services.shop.targets[0].slots", faults[1])

    def test_broken_text_names_the_line(self):
        with self.assertRaises(ConfigurationError) as caught:
            parse_document('{\n  "a": 1,\n  "b": ]\n}', "f.json")
        self.assertIn("f.json: line 3", str(caught.exception))

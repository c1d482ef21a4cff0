"""Loopback addresses of tests that run at the same time."""

from __future__ import annotations

from unittest import TestCase

from almondgap_testkit import fleet
from almondgap_testkit.gateways import site


class PrefixTests(TestCase):
    def test_sites_and_fleets_share_no_prefix(self):
        fleets = range(fleet.FIRST_NET, fleet.LAST_NET)
        sites = range(site.FIRST_NET, site.LAST_NET)
        self.assertFalse(set(fleets) & set(sites))

"""Base class of tests that start real gateway processes."""

from __future__ import annotations

from unittest import TestCase

from almondgap_testkit.gateways.site import Site


class SiteTestCase(TestCase):
    """Starts sites and closes them after each test."""

    def start(self, hosts: tuple[str, ...] = ("h1",), **fields) -> Site:
        site = Site.start(**fields)
        self.addCleanup(site.close)
        for host in hosts:
            site.start_host(host)
        return site

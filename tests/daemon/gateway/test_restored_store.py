"""Real gateways while the store comes back from a copy."""

from __future__ import annotations

from almondgap_testkit.gateways.site import Site
from tests.daemon.gateway.site_case import SiteTestCase


def restore(site: Site) -> None:
    """Let the store go back to its copy."""
    site.post(f"http://{site.store}/control/restore", None)


def save(site: Site) -> None:
    """Let the store make a copy."""
    site.post(f"http://{site.store}/control/save", None)


class RestoredStoreTests(SiteTestCase):
    def test_restored_store_is_told_from_one_that_was_away(self):
        site = self.start()
        save(site)
        restore(site)

        def is_reported() -> bool:
            lines = [line for line in site.read_log("h1") if "state" in line]
            return any(line["state"] == "restored" for line in lines)

        site.wait_until(is_reported)

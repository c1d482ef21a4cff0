"""Real gateways while the store comes back from a copy."""

from __future__ import annotations

from almondgap_testkit.gateways.site import CONFIGURATION, Site
from tests.daemon.gateway.site_case import SiteTestCase


def restore(site: Site, *rows: dict) -> None:
    """Let the store go back to its copy, and write rows at once."""
    site.post(f"http://{site.store}/control/restore", list(rows))


def configure(version: int) -> dict:
    """Return the row of a configuration."""
    value = {**CONFIGURATION, "version": f"{version:08x}"}
    return {"table": "op", "key": "config", "value": value}


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

    def test_rows_below_the_version_that_was_known_are_read(self):
        site = self.start()
        save(site)
        site.write(configure(5))
        filler = [{"table": "servers", "key": f"x{n}", "value": "x"} for n in range(5)]
        for row in filler:
            site.write(row)
        restore(site, configure(6), *filler, *filler)

        def find_versions() -> list[int]:
            lines = site.read_log("h1")
            events = [x for x in lines if x["event"] == "configuration changed"]
            return [line["version"] for line in events]

        site.wait_until(lambda: 6 in find_versions(), timeout=4)

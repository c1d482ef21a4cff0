"""Real gateways while the store comes back from a copy."""

from __future__ import annotations

import json

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


def has_row(site: Site, host: str) -> bool:
    """Return whether the store has the row of a host."""
    state = json.loads(site.get(f"http://{site.store}/control/state").body)
    return f"almondgap-hosts//{host}" in state["rows"]


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

    def test_row_of_a_host_that_the_copy_lacks_is_written_again(self):
        site = self.start(())
        save(site)
        site.start_host("h1")
        restore(site)
        site.wait_until(lambda: has_row(site, "h1"), timeout=4)

    def test_row_of_a_host_that_stops_is_removed_again(self):
        site = self.start(("h1",))
        site.wait_until(lambda: has_row(site, "h1"))
        save(site)
        site.processes["h1"].terminate()
        site.wait_until(lambda: not has_row(site, "h1"), timeout=2)
        restore(site)
        self.assertEqual(site.processes["h1"].wait(5), 0)
        self.assertFalse(has_row(site, "h1"))

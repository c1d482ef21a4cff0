"""Real processes beside entries of targets that name none."""

from __future__ import annotations

import copy

from almondgap_testkit.gateways.site import CONFIGURATION, WORKERS_PORT, Site
from tests.daemon.gateway.site_case import SiteTestCase


class OddEntryTests(SiteTestCase):
    def write_odd_entries(self, site: Site) -> None:
        """Write entries beside those of the targets, and in the place of one."""
        address = f"{site.net}.0.1:{WORKERS_PORT}"
        info = {"backend": "shop", "version": "v1", "zone": "a1", "slots": 4}
        status = {"state": "ready", "seq": 1, "cold_left_s": 0}
        entry = {"address": address, "born": 1, "info": info, "status": status}
        deep = []
        for _ in range(400):
            deep = [deep]
        odd = {
            "odd-deep": {**entry, "address": deep},
            "odd-slots": {**entry, "info": {**info, "slots": 10**400}},
            "odd-born": {**entry, "born": 2**70},
            "odd-seq": {**entry, "status": {**status, "seq": 2**64}},
            "odd-zone": {**entry, "info": {**info, "zone": "\ud800"}},
            "odd-port": {**entry, "address": f"{site.net}.0.1:99999"},
            "odd\nname": entry,
            "odd-name-of-a-host": {**entry, "address": "shop.example:80"},
            "shop-1": {**entry, "info": {**info, "slots": 10**400}},
        }
        site.write(
            *(
                {"table": "servers", "key": key, "value": value}
                for key, value in odd.items()
            )
        )

    def assert_serves(self, site: Site, host: str) -> None:
        statuses = []
        for number in range(12):
            headers = {"X-Almondgap-Affinity-Key": str(number)}
            path = ("/reads/1", "/orders/1")[number % 2]
            name = f"{host}-{number}"
            statuses.append(site.call(host, path, request_id=name, **headers).status)
        self.assertEqual(statuses, [200] * 12)

    def test_hosts_serve_follow_and_start_beside_odd_entries(self):
        # Guards against hosts that end, refuse what they could serve, or follow the
        # store no more.
        site = self.start()
        self.write_odd_entries(site)
        site.wait_until(
            lambda: "odd-slots" in (site.folder / "h1.log").read_text(), timeout=5
        )
        self.assert_serves(site, "h1")
        site.start_host("h2")
        self.assert_serves(site, "h2")
        changed = copy.deepcopy(CONFIGURATION)
        changed["version"] = "00000002"
        changed["routes"]["new"] = {**changed["routes"]["reads"], "prefix": "/new/"}
        site.write({"table": "op", "key": "config", "value": changed})
        for host in ("h1", "h2"):
            site.wait_until(
                lambda host=host: site.call(host, "/new/1").status == 200, timeout=5
            )
            errors = [
                line
                for line in site.read_log(host)
                if line["event"] == "internal error"
            ]
            self.assertEqual(errors, [])
            self.assertIsNone(site.processes[host].poll())

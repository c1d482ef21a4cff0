"""Hand-over of requests between real gateway processes."""

from __future__ import annotations

import json
from base64 import b64decode

from almondgap_testkit.gateways.site import WORKERS_PORT, Site
from tests.daemon.gateway.site_case import SiteTestCase

TARGETS = 4
SECOND_STORE_PORT = 7_001

#: Port of the first target as the first host knows it; nothing listens there.
DEAD_PORT = 7_300


class RelayTests(SiteTestCase):
    def start_partitioned(self) -> Site:
        """Return a site whose first host reaches no target and whose second does.

        Each host reads a store of its own, with other addresses of the same targets.
        """
        site = self.start(
            (), workers=TARGETS, failure_domains="a1,a2", announced_port=DEAD_PORT
        )
        store = site.start_second_store(SECOND_STORE_PORT)
        for number in range(TARGETS):
            row = site.list_runs(number)["row"]
            row["value"]["address"] = f"{site.net}.0.1:{WORKERS_PORT + number}"
            site.write(row, store=store)
        site.start_host("h1")
        url = f"http://{site.store}/rows-get?table=almondgap-hosts&part="
        [row] = json.loads(site.get(url).body)["rows"]
        value = json.loads(b64decode(row["value"]))
        site.write({**row, "value": value}, store=store)
        site.start_host("h2", "a2", store=store)
        site.wait_until(lambda: site.call("h1", request_id="first").status == 200)
        return site

    def count_runs(self, site: Site, request_id: str) -> int:
        """Return how often a request ran at targets."""
        runs = [site.list_runs(number)["runs"] for number in range(TARGETS)]
        return sum(each.get(request_id, 0) for each in runs)

    def test_host_without_targets_answers_through_another(self):
        site = self.start_partitioned()
        for number in range(10):
            body = f"order {number}".encode() * 100
            request_id = f"o{number}"
            reply = site.call("h1", "/orders/1", "POST", body, request_id)
            self.assertEqual(reply.status, 200)
            self.assertTrue(reply.body.endswith(body))
            self.assertIn("x-almondgap-response-seal", reply.headers)
            self.assertEqual(self.count_runs(site, request_id), 1)
        events = [line["event"] for line in site.read_log("h1")]
        self.assertIn("reachability changed", events)
        self.assertEqual(events.count("relay answer forwarded"), 11)

    def test_key_and_mark_of_the_hand_over_reach_no_target(self):
        site = self.start_partitioned()
        reply = site.call("h1", "/orders/1", "POST", b"order", "o1")
        self.assertEqual(reply.status, 200)
        number = int(reply.headers["x-almondgap-response-seal"].split(".")[0][-1])
        seen = site.list_runs(number)["seen"]
        self.assertEqual(seen["x-almondgap-tenant"], "one")
        self.assertFalse({"authorization", "almondgap-relayed"} & set(seen))
        self.assertLess(int(seen["x-almondgap-deadline-ms"]), 3_000)

    def test_unknown_key_is_refused_through_another_host(self):
        site = self.start_partitioned()
        reply = site.call("h1", request_id="x", Authorization="Bearer none")
        self.assertEqual(reply.status, 401)

    def test_host_that_stops_before_it_answers_loses_no_order_twice(self):
        site = self.start_partitioned()
        site.processes["h2"].kill()
        reply = site.call("h1", "/orders/1", "POST", b"order", "o1")
        self.assertIn(reply.status, (502, 503))
        self.assertEqual(self.count_runs(site, "o1"), 0)

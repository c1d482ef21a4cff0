"""Targets that leave or want a pause, as real gateway processes treat them."""

from __future__ import annotations

import time

from almondgap_testkit.gateways.site import Site
from almondgap_testkit.standins.workers import PAUSE_S
from tests.daemon.gateway.site_case import SiteTestCase

REQUESTS = 30


class NoticeTests(SiteTestCase):
    def call(self, site: Site, name: str, count: int = REQUESTS) -> None:
        """Send requests of many objects, so that all targets are used."""
        for number in range(count):
            request = {"X-Almondgap-Affinity-Key": str(number)}
            reply = site.call(
                "h1", f"/reads/{number}", request_id=f"{name}{number}", **request
            )
            self.assertEqual(reply.status, 200)

    def count_runs(self, site: Site, target: int, name: str) -> int:
        runs = site.list_runs(target)["runs"]
        return sum(request_id.startswith(name) for request_id in runs)

    def test_leaving_target_is_used_again_after_its_next_start_only(self):
        site = self.start()
        site.set_mode(0, "leaving")
        self.call(site, "first")
        self.assertLessEqual(self.count_runs(site, 0, "first"), 1)
        site.write(site.list_runs(0)["row"])
        self.call(site, "second")
        self.assertEqual(self.count_runs(site, 0, "second"), 0)
        site.set_mode(0, "well")
        site.write(site.list_runs(0)["row"])
        time.sleep(1.5)
        self.call(site, "third")
        self.assertGreater(self.count_runs(site, 0, "third"), 0)

    def test_target_that_wants_a_pause_gets_nothing_until_its_end(self):
        site = self.start()
        site.set_mode(0, "pausing")
        self.call(site, "first")
        [(rejected_at, _)] = site.list_runs(0)["rejected"]
        self.assertLess(time.monotonic() - rejected_at, PAUSE_S)

        def is_used() -> bool:
            self.call(site, "second")
            return len(site.list_runs(0)["rejected"]) > 1

        site.wait_until(is_used)
        [(first_at, _), (second_at, _)] = site.list_runs(0)["rejected"]
        self.assertGreaterEqual(second_at - first_at, PAUSE_S)

    def test_targets_that_all_want_a_pause_are_waited_for(self):
        site = self.start()
        for target in range(2):
            site.set_mode(target, "pausing")
        replies = [site.call("h1", f"/reads/{number}") for number in range(4)]
        last = replies[-1]
        self.assertEqual(last.status, 503)
        self.assertIn(b"2 paused", last.body)
        self.assertEqual(last.headers["almondgap-reason"], "no-target")
        self.assertGreater(float(last.headers["retry-after"]), PAUSE_S / 2)
        rejected = [len(site.list_runs(target)["rejected"]) for target in range(2)]
        self.assertEqual(rejected, [1, 1])

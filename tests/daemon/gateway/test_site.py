"""End-to-end tests of gateway processes, with stand-ins for the platform."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from pathlib import Path

from almondgap_testkit.gateways.builders import HOST_NAME, KEY
from almondgap_testkit.gateways.site import CONFIGURATION, DIRECTORY_PORT, Site
from tests.daemon.gateway.site_case import SiteTestCase


class RequestTests(SiteTestCase):
    def test_request_reaches_a_target_and_its_answer_comes_back(self):
        site = self.start()
        reply = site.call("h1", "/orders/1?a=%20b", "POST", b"body")
        self.assertEqual(reply.status, 200)
        self.assertTrue(reply.body.endswith(b"POST /orders/1 body"))
        self.assertIn("x-almondgap-response-seal", reply.headers)
        runs = [site.list_runs(number) for number in range(2)]
        self.assertEqual(sum(each["runs"].get("r1", 0) for each in runs), 1)
        seen = next(each["seen"] for each in runs if each["seen"])
        self.assertEqual(seen["x-almondgap-tenant"], "one")
        self.assertNotIn("authorization", seen)
        self.assertLessEqual(int(seen["x-almondgap-deadline-ms"]), 2_000)

    def test_refusals_carry_a_verdict(self):
        site = self.start()
        self.assertEqual(site.call("h1", "/nothing/").status, 404)
        self.assertEqual(site.call("h1", Authorization="Bearer x").status, 401)
        for number in range(2):
            site.set_mode(number, "shedding")
        reply = site.call("h1", "/orders/1", request_id="r2")
        self.assertEqual(reply.status, 503)
        self.assertEqual(json.loads(reply.body)["verdict"], "not-run")
        self.assertGreater(float(reply.headers["retry-after"]), 0)

    def test_order_whose_answer_is_lost_runs_once(self):
        site = self.start()
        for number in range(2):
            site.set_mode(number, "cutting")
        reply = site.call("h1", "/orders/1", request_id="r3")
        self.assertEqual(reply.status, 502)
        runs = [site.list_runs(number)["runs"].get("r3", 0) for number in range(2)]
        self.assertEqual(sum(runs), 1)
        self.assertEqual(site.call("h1", "/reads/1", request_id="r4").status, 502)
        runs = [site.list_runs(number)["runs"].get("r4", 0) for number in range(2)]
        self.assertEqual(runs, [1, 1])

    def test_target_that_advertises_a_rate_limit_gets_no_more(self):
        site = self.start(("h1", "h2"), workers=1)
        site.set_mode(0, "limited")
        started = time.monotonic()
        for number in range(60):
            host = f"h{number % 2 + 1}"
            reply = site.call(host, request_id=f"l{number}")
            if reply.status != 200:
                self.assertEqual(reply.status, 503)
                self.assertEqual(json.loads(reply.body)["verdict"], "not-run")
                self.assertGreater(float(reply.headers["retry-after"]), 0)
        elapsed = time.monotonic() - started
        self.assertLessEqual(len(site.list_runs(0)["runs"]), 6 + 1.5 * elapsed)

    def test_answer_without_mark_is_not_passed_on(self):
        site = self.start()
        for number in range(2):
            site.set_mode(number, "unsealed")
        self.assertEqual(site.call("h1", "/orders/1").status, 502)

    def test_log_tells_the_story_without_the_key(self):
        site = self.start()
        site.call("h1", request_id="r5")
        site.wait_until(lambda: len(self.find_events(site, "r5")) >= 2)
        events = self.find_events(site, "r5")
        self.assertEqual(events[:2], ["request placed", "request answered"])
        self.assertNotIn(KEY, (site.folder / "h1.log").read_text())

    def find_events(self, site: Site, request_id: str) -> list[str]:
        return [
            line["event"]
            for line in site.read_log("h1")
            if line.get("request") == request_id
        ]


class StoreTests(SiteTestCase):
    def test_new_configuration_is_in_force_within_a_second(self):
        site = self.start()
        changed = json.loads(json.dumps(CONFIGURATION))
        changed["version"] = "00000009"
        changed["routes"]["more"] = {**changed["routes"]["reads"], "prefix": "/more/"}
        site.write({"table": "op", "key": "config", "value": changed})
        site.wait_until(lambda: site.call("h1", "/more/1").status == 200, 1.0)
        site.write({"table": "op", "key": "config", "value": CONFIGURATION})
        time.sleep(0.3)
        self.assertEqual(site.call("h1", "/more/1").status, 200)

    def test_withdrawn_key_stops_working(self):
        site = self.start()
        changed = json.loads(json.dumps(CONFIGURATION))
        changed["version"] = "00000002"
        changed["tenants"]["one"]["api_keys"] = ["another"]
        site.write({"table": "op", "key": "config", "value": changed})
        site.wait_until(lambda: site.call("h1").status == 401, 1.0)

    def test_leaving_and_evacuated_targets_get_nothing(self):
        site = self.start()
        site.write({"table": "servers", "key": "shop-0", "value": None})
        site.wait_until(lambda: site.call("h1").body.startswith(b"shop-1"), 1.5)
        site.write({"table": "op", "key": "evacuate/a1", "value": {}})
        site.wait_until(lambda: site.call("h1").status == 503, 1.5)
        site.write({"table": "op", "key": "evacuate/a1", "value": None})
        site.wait_until(lambda: site.call("h1").status == 200, 1.5)

    def test_rows_of_other_writers_do_no_harm(self):
        site = self.start()
        rows = [
            {"table": "servers", "key": "bad-1", "value": "no json"},
            {"table": "servers", "key": "bad-2", "value": {"address": 7}},
            {"table": "servers", "key": "bad-3", "value": []},
            {"table": "op", "key": "unknown/thing", "value": {}},
            {"table": "almondgap-hosts", "key": "bad-4", "value": "no json"},
        ]
        site.write(*rows)
        time.sleep(0.5)
        self.assertEqual(site.call("h1").status, 200)
        site.start_host("h2")
        self.assertEqual(site.call("h2").status, 200)
        site.write({"table": "op", "key": "config", "value": "no json"})
        time.sleep(0.3)
        self.assertEqual(site.call("h1").status, 200)

    def test_store_outage_changes_nothing_and_history_may_be_lost(self):
        site = self.start()
        faults = f"http://{site.store}/control/faults"
        site.post(faults, {"down": True})
        time.sleep(1.0)
        self.assertEqual(site.call("h1").status, 200)
        site.write({"table": "servers", "key": "shop-0", "value": None})
        site.post(f"http://{site.store}/control/forget", None)
        site.post(faults, {})
        site.wait_until(
            lambda: self.list_states(site, "store changed") == ["lost", "regained"]
        )
        # A target without a row counts as gone after the time allowed for its return.
        site.wait_until(
            lambda: "gone" in self.list_states(site, "target changed", "shop-0"), 5.0
        )
        for number in range(5):
            reply = site.call("h1", request_id=f"after-{number}")
            self.assertTrue(reply.body.startswith(b"shop-1"))
        states = self.list_states(site, "store changed")
        self.assertEqual(states, ["lost", "regained"])

    def list_states(self, site: Site, event: str, target: str = "") -> list[str]:
        """Return the states that a host reported, of one target if it is named."""
        return [
            line["state"]
            for line in site.read_log("h1")
            if line["event"] == event and line.get("target", "") == target
        ]

    def test_silent_store_is_noticed(self):
        site = self.start()
        faults = f"http://{site.store}/control/faults"
        site.post(faults, {"silent": True})
        site.write({"table": "op", "key": "evacuate/b2", "value": {}})
        self.assertEqual(site.call("h1").status, 200)
        # Calls made during the outage are never answered.
        site.post(faults, {})
        site.write({"table": "op", "key": "evacuate/a1", "value": {}})
        site.wait_until(lambda: site.call("h1").status == 503, 25.0)

    def test_call_made_while_the_store_is_silent_is_soon_made_again(self):
        site = self.start()
        faults = f"http://{site.store}/control/faults"
        site.post(faults, {"down": True})
        site.write({"table": "op", "key": "unknown", "value": {}})
        site.post(faults, {"silent": True})
        time.sleep(1.0)
        site.post(faults, {})
        site.write({"table": "op", "key": "evacuate/a1", "value": {}})
        site.wait_until(lambda: site.call("h1").status == 503, 3.0)

    def test_few_calls_while_nothing_changes(self):
        site = self.start()
        state = f"http://{site.store}/control/state"
        before = json.loads(site.get(state).body)["calls"]
        time.sleep(2.0)
        self.assertLessEqual(json.loads(site.get(state).body)["calls"] - before, 2)


class DirectoryTests(SiteTestCase):
    def resolve(self, site: Site, host: str) -> list[str]:
        address = site.address(host, DIRECTORY_PORT)
        query = f"name={HOST_NAME}&region=a&zone=a1"
        reply = site.get(f"http://{address}/resolve?{query}")
        return json.loads(reply.body)["addresses"] if reply.status == 200 else []

    def test_hosts_name_each_other_until_one_stops(self):
        site = self.start(("h1", "h2"))
        site.wait_until(lambda: len(self.resolve(site, "h1")) == 2, 4.0)
        site.processes["h2"].terminate()
        site.wait_until(lambda: len(self.resolve(site, "h1")) == 1, 1.0)
        site.wait_until(lambda: not self.resolve(site, "h2")[1:], 1.0)

    def test_killed_host_is_no_longer_named(self):
        site = self.start(("h1", "h2"))
        site.wait_until(lambda: len(self.resolve(site, "h1")) == 2, 4.0)
        site.processes["h2"].kill()
        site.wait_until(lambda: len(self.resolve(site, "h1")) == 1, 4.5)


class StartTests(SiteTestCase):
    #: Limit of a host's processor time until it is ready, relative to that of an
    #: interpreter that imports the same libraries: about a second against half of one
    #: on a processor of the users.
    MAX_START_RATIO = 2.0
    LIBRARIES = "attrs, h11, msgpack, structlog, twisted.internet.reactor"

    def test_host_is_ready_within_twice_the_cost_of_its_libraries(self):
        before = os.times()
        command = [sys.executable, "-c", f"import {self.LIBRARIES}"]
        subprocess.run(command, check=True)
        after = os.times()
        libraries_s = sum(after[2:4]) - sum(before[2:4])
        site = self.start()
        stat = Path(f"/proc/{site.processes['h1'].pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        start_s = ticks / os.sysconf("SC_CLK_TCK")
        self.assertLessEqual(start_s, self.MAX_START_RATIO * libraries_s)


class SettingsTests(SiteTestCase):
    def find(self, site: Site, event: str) -> list[dict]:
        return [line for line in site.read_log("h1") if line["event"] == event]

    def test_changed_file_is_read_without_a_signal(self):
        site = self.start()
        site.write_settings("h1", log_lines_per_s=5)
        site.wait_until(lambda: self.find(site, "settings read"), 3.0)
        self.assertTrue(self.find(site, "settings read")[0]["changed"])

    def test_wrong_file_is_ignored_and_said_so(self):
        site = self.start()
        (site.folder / "h1.json").write_text('{"host": ')
        site.wait_until(lambda: self.find(site, "settings kept"), 3.0)
        self.assertEqual(site.call("h1").status, 200)

    def test_metrics_are_told(self):
        site = self.start()
        site.call("h1")
        host = site.address("h1", 9464)
        text = site.get(f"http://{host}/metrics").body.decode()
        self.assertIn("almondgap_answer_seconds_bucket", text)
        self.assertIn('account="one"', text)

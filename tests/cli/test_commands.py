from __future__ import annotations

import json
import subprocess
import tempfile
from pathlib import Path
from unittest import TestCase

from almondgap_testkit.fleet import Fleet
from almondgap_testkit.sockets import build_request, exchange

HOSTS = ("akl-a-1", "wlg-a-1")
FIRST, SECOND = HOSTS
ACCOUNT = "city-towers"
REQUEST = build_request("/v1/call/climb-slots/x")


class CommandTests(TestCase):
    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.fleet = Fleet.from_example("trust", Path(folder.name), HOSTS)
        cls.addClassCleanup(cls.fleet.close)
        cls.fleet.start()
        cls.places = [cls.fleet.operators(name) for name in HOSTS]
        for name in HOSTS:
            exchange(cls.fleet.callers(name), REQUEST)

    def run_cli(self, *args: str, code: int = 0) -> subprocess.CompletedProcess:
        done = self.fleet.run_cli(*args, check=False)
        self.assertEqual(done.returncode, code, done.stderr)
        self.assertNotIn("Traceback", done.stderr)
        return done

    def read_json(self, *args: str):
        return json.loads(self.run_cli(*args, "--output", "json").stdout)

    def test_status_and_lookup(self):
        self.assertEqual(self.read_json("status", self.places[0])["host"], FIRST)
        place = self.fleet.callers(FIRST)
        self.assertTrue(self.read_json("lookup", place, "climb-slots")["hosts"])
        done = self.run_cli("lookup", place, "no such", code=1)
        self.assertIn("unknown-service", done.stderr)

    def test_histograms_are_summed_over_hosts(self):
        summary = self.read_json("histogram", *self.places)
        self.assertEqual(summary[ACCOUNT]["count"], 2)
        self.assertGreater(summary[ACCOUNT]["p50_ms"], 0)
        rows = self.read_json("account", "use", ACCOUNT, *self.places)["answers"]
        self.assertEqual(sum(row["count"] for row in rows), 2)

    def test_accounts_are_listed_without_digests(self):
        accounts = self.read_json("account", "list", "--platform", self.fleet.platform)
        self.assertEqual(len(accounts), 8)
        self.assertEqual(accounts[0]["rate_per_s"], 120)
        self.assertNotIn("digest", json.dumps(accounts))

    def test_conflict_has_its_own_code(self):
        self.run_cli(
            "apply",
            str(self.fleet.inventory_file),
            "--platform",
            self.fleet.platform,
            "--expect",
            "7",
            code=3,
        )

    def test_users_errors_are_one_line(self):
        for args in (
            ("status", "127.0.0.1:1"),
            ("account", "list", "--platform", "nowhere"),
            ("account", "list", "--platform", "127.0.0.1:1"),
        ):
            with self.subTest(args=args):
                done = self.run_cli(*args, code=1)
                self.assertEqual(len(done.stderr.splitlines()), 1, done.stderr)
                self.assertTrue(done.stderr.startswith("error: "))

    def test_wrong_call_has_its_own_code(self):
        self.run_cli("status", code=2)

    def test_completion_is_printed(self):
        self.assertIn("almondgap", self.run_cli("--completion", "generate").stdout)

    def test_request_identifier_stands_in_the_log(self):
        fleet = self.fleet
        for name in fleet.get(f"http://{fleet.target_control}/records"):
            body = {"status": 500}
            fleet.post(f"http://{fleet.target_control}/behaviour/{name}", body)
        answer = exchange(fleet.callers(FIRST), REQUEST)
        self.assertEqual(answer.status, 500)
        lines = (fleet.folder / f"{FIRST}.log").read_text().splitlines()
        entries = [json.loads(line) for line in lines]
        over = [e for e in entries if e["event"] == "request over"]
        req_id = answer.headers["almondgap-request"]
        self.assertIn(req_id, [entry["request"] for entry in over])
        self.assertNotIn("example-secret", "\n".join(lines))

    def test_zz_drain_stops_the_host(self):
        done = self.run_cli("drain", self.places[1], "--wait")
        self.assertIn("stopped", done.stdout)
        self.assertEqual(self.fleet.processes.pop(SECOND).wait(10), 0)

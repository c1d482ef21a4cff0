"""End-to-end tests of a fleet of host processes."""

from __future__ import annotations

import json
import tempfile
import threading
import urllib.error
import urllib.request
from pathlib import Path
from unittest import TestCase

from almondgap_testkit.fleet import Fleet

HOSTS = ("akl-a-1", "wlg-a-1", "chc-a-1")
KEY = "agk_citytowers_example-secret-of-city-towers"


def call(
    url: str,
    key: str | None = KEY,
    method: str = "GET",
    label: str = "",
    operation: str | None = None,
):
    """Send a caller's request and return the answer's status, headers and body."""
    headers = {"X-Label": label}
    if key is not None:
        headers["Almondgap-Key"] = key
    if operation is not None:
        headers["Idempotency-Key"] = operation
    request = urllib.request.Request(url, headers=headers, method=method)
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.status, response.headers, response.read()
    except urllib.error.HTTPError as exc:
        return exc.code, exc.headers, exc.read()


class FleetTests(TestCase):
    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(cls.folder.cleanup)
        cls.fleet = Fleet.from_example("trust", Path(cls.folder.name), HOSTS)
        cls.addClassCleanup(cls.fleet.close)
        cls.fleet.start()

    def url(self, host: str, service: str = "climb-slots") -> str:
        return f"http://{self.fleet.callers(host)}/v1/call/{service}/x?y=1"

    def test_lookup_then_call(self):
        lookup = self.fleet.get(
            f"http://{self.fleet.callers(HOSTS[0])}/v1/lookup?service=climb-slots"
        )
        first = lookup["hosts"][0]
        url = f"http://{first['address']}:{first['port']}/v1/call/climb-slots/x?y=1"
        status, headers, body = call(url)
        self.assertEqual(status, 200)
        self.assertEqual(headers["Almondgap-Verdict"], "ran")
        self.assertEqual(json.loads(body)["path"], "/x?y=1")

    def test_no_key_reaches_a_target(self):
        for host in HOSTS:
            self.assertEqual(call(self.url(host))[0], 200)
        records = self.fleet.get(f"http://{self.fleet.target_control}/records")
        self.assertGreater(sum(r["served"] for r in records.values()), 0)
        self.assertEqual(sum(r["keys_seen"] for r in records.values()), 0)

    def test_refusals_carry_the_verdict(self):
        status, headers, body = call(self.url(HOSTS[0]), key="agk_citytowers_no")
        self.assertEqual(status, 401)
        self.assertEqual(headers["Almondgap-Verdict"], "not-run")
        self.assertEqual(json.loads(body)["reason"], "key-unknown")

    def test_cut_short_answer_does_not_look_whole(self):
        control = self.fleet.target_control
        for name in self.fleet.get(f"http://{control}/records"):
            if name.startswith("tickets-"):
                url = f"http://{control}/behaviour/{name}"
                self.fleet.post(url, {"cut_short": True})
        with self.assertRaises(Exception) as caught:
            call(self.url(HOSTS[0], "tickets"))
        self.assertIn(
            type(caught.exception).__name__, ("IncompleteRead", "ConnectionResetError")
        )

    def test_applied_change_is_in_force_and_sigterm_cuts_nothing(self):
        fleet = self.fleet
        fleet.run_cli("apply", str(fleet.inventory_file), "--platform", fleet.platform)
        for host in HOSTS:
            fleet.wait_until(
                lambda host=host: (
                    fleet.get(f"http://{fleet.operators(host)}/v1/status")["version"]
                    >= 2
                ),
                f"version 2 at {host}",
            )
        records = fleet.get(f"http://{fleet.target_control}/records")
        for name in records:
            fleet.post(
                f"http://{fleet.target_control}/behaviour/{name}", {"delay_ms": 1_000}
            )
        answers = []
        url = self.url(HOSTS[2])
        threads = [
            threading.Thread(target=lambda: answers.append(call(url)[0]))
            for _ in range(5)
        ]
        for thread in threads:
            thread.start()
        status = f"http://{fleet.operators(HOSTS[2])}/v1/status"
        fleet.wait_until(lambda: fleet.get(status)["running"] >= 5, "five running")
        self.assertEqual(fleet.stop(HOSTS[2]), 0)
        for thread in threads:
            thread.join()
        self.assertEqual(answers, [200] * 5)
        fleet.start_host(HOSTS[2])
        fleet.wait_for_url(f"http://{fleet.operators(HOSTS[2])}/v1/ready")

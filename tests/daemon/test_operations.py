"""Operations, keys and configuration with a fleet of host processes."""

from __future__ import annotations

import json
import os
import signal
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from unittest import TestCase, mock

from almondgap_testkit.fleet import Fleet
from tests.daemon.test_fleet import KEY, call

HOSTS = ("akl-a-1", "akl-a-2", "wlg-a-1")
ACCOUNT = "city-towers"
PEPPER = "trust-example-pepper"


class OperationsFleetTests(TestCase):
    """Tests that share a fleet of three hosts."""

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.fleet = Fleet.from_example("trust", Path(folder.name), HOSTS)
        cls.addClassCleanup(cls.fleet.close)
        cls.fleet.start()
        cls.enterClassContext(mock.patch.dict(os.environ, ALMONDGAP_PEPPER=PEPPER))

    def url(self, host: str, service: str = "climb-slots") -> str:
        return f"http://{self.fleet.callers(host)}/v1/call/{service}/book"

    def cli(self, *args: str) -> dict:
        place = ("--platform", self.fleet.platform, "--output", "json")
        return json.loads(self.fleet.run_cli(*args, *place).stdout)

    def look_up(self, host: str) -> str:
        """Return an operation prefix."""
        url = f"http://{self.fleet.callers(host)}/v1/lookup?service=climb-slots"
        answers = []

        def has_prefix() -> bool:
            answers.append(self.fleet.get(url)["operation_prefix"])
            return bool(answers[-1])

        self.fleet.wait_until(has_prefix, f"prefix at {host}")
        return answers[-1]

    def count_served(self) -> int:
        records = self.fleet.get(f"http://{self.fleet.target_control}/records")
        return sum(record["served"] for record in records.values())

    def test_operation_sent_to_all_hosts_at_once_runs_once(self):
        operation = f"{self.look_up('akl-a-1')}.payment-1"
        before = self.count_served()

        def pay(host: str):
            return call(self.url(host), method="POST", operation=operation)

        with ThreadPoolExecutor(12) as pool:
            answers = list(pool.map(pay, HOSTS * 4))
        self.assertEqual({status for status, _, _ in answers}, {200})
        self.assertEqual({h["Almondgap-Verdict"] for _, h, _ in answers}, {"ran"})
        self.assertEqual(len({body for _, _, body in answers}), 1)
        self.assertEqual(self.count_served() - before, 1)
        known = [self.ask(host, operation) for host in HOSTS]
        self.assertIn(("ran", 200), {(k["verdict"], k["status"]) for k in known})

    def ask(self, host: str, operation: str) -> dict:
        args = ("operation", operation, self.fleet.operators(host), "--output", "json")
        return json.loads(self.fleet.run_cli(*args).stdout)

    def test_key_without_prefix_is_refused(self):
        for key in ("mine", "", "\xe4\xff", "ago.akl-a.0.1.0", "x" * 300):
            status, headers, body = call(
                self.url("akl-a-1"), method="POST", operation=key
            )
            self.assertEqual((status, headers["Almondgap-Verdict"]), (428, "not-run"))
            self.assertEqual(json.loads(body)["reason"], "operation-unknown")

    def test_repeat_with_another_path_is_refused(self):
        operation = f"{self.look_up('wlg-a-1')}.payment-2"
        url = self.url("wlg-a-1")
        self.assertEqual(call(url, method="POST", operation=operation)[0], 200)
        status, headers, _ = call(url + "2", method="POST", operation=operation)
        self.assertEqual((status, headers["Almondgap-Verdict"]), (422, "not-run"))

    def test_key_lives_from_issue_to_withdrawal_and_leaves_no_trace(self):
        first = self.cli("keys", "issue", ACCOUNT)
        self.wait_for_key(first["key"], 200)
        second = self.cli("keys", "rotate", first["id"])
        self.wait_for_key(second["key"], 200)
        self.assertEqual(call(self.url(HOSTS[0]), first["key"])[0], 200)
        self.cli("keys", "withdraw", first["id"])
        self.wait_for_key(first["key"], 401)
        self.assertEqual(call(self.url(HOSTS[0]), second["key"])[0], 200)
        self.assert_no_trace(first["key"], second["key"], KEY)

    def wait_for_key(self, key: str, status: int) -> None:
        for host in HOSTS:
            self.fleet.wait_until(
                lambda host=host: call(self.url(host), key)[0] == status,
                f"status {status} at {host}",
            )

    def assert_no_trace(self, *keys: str) -> None:
        """Check that logs, operators' pages and the platform's tables have no keys."""
        fleet = self.fleet
        texts = {path.name: path.read_text() for path in fleet.folder.glob("*.log")}
        self.assertGreaterEqual(len(texts), len(HOSTS) + 2)
        for host in HOSTS:
            for page in ("status", "histograms"):
                url = f"http://{fleet.operators(host)}/v1/{page}"
                texts[url] = json.dumps(fleet.get(url))
        for table in ("config", "leases"):
            url = f"http://{fleet.platform}/v1/tables/{table}?prefix="
            texts[url] = json.dumps(fleet.get(url))
        records = f"http://{fleet.target_control}/records"
        texts["records"] = json.dumps(fleet.get(records))
        for name, text in texts.items():
            for key in keys:
                secret = key.split("_", 2)[2]
                self.assertNotIn(secret, text, name)

    def test_apply_waits_until_all_hosts_have_it(self):
        file = str(self.fleet.inventory_file)
        rollout = self.cli("apply", file, "--wait", "--note", "again")
        self.assertEqual(set(rollout["in_force"]), set(HOSTS))
        self.assertEqual(rollout["missing"], {})
        version = rollout["version"]
        self.assertEqual(self.cli("history")[0]["note"], "again")
        again = self.cli("rollback", "1")
        self.assertEqual(again["version"], version + 1)
        self.assertEqual(self.cli("diff", "--from", "1"), [])

    def test_missing_host_is_named(self):
        self.fleet.signal("wlg-a-1", signal.SIGSTOP)
        self.addCleanup(self.fleet.signal, "wlg-a-1", signal.SIGCONT)
        file = str(self.fleet.inventory_file)
        args = ("apply", file, "--wait", "--timeout", "5")
        done = self.fleet.run_cli(*args, "--platform", self.fleet.platform, check=False)
        self.assertEqual(done.returncode, 4)
        self.assertIn("missing: wlg-a-1", done.stderr)
        self.assertNotIn("missing: akl", done.stderr)

from __future__ import annotations

import tempfile
from pathlib import Path
from unittest import TestCase

from almondgap_testkit.fleet import EXAMPLES, Fleet
from almondgap_testkit.sockets import build_request, exchange

HOST = "site-1"
KEY = "agk_cornershop_example-secret-of-corner-shop"


class SingleSiteTests(TestCase):
    def test_one_host_serves_with_a_folder_for_a_platform(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        fleet = Fleet.from_example("single-site", Path(folder.name))
        self.addCleanup(fleet.close)
        state = fleet.folder / "state"
        state.mkdir()
        hosts = (EXAMPLES / "single-site" / "hosts.json").read_text()
        (state / "hosts.json").write_text(hosts.replace("127.10.", fleet.net))
        file = fleet.folder / f"{HOST}.json"
        file.write_text(file.read_text().replace('"state"', f'"{state}"'))
        fleet.start_targets()
        fleet.run_cli("apply", str(fleet.inventory_file), "--platform", str(state))
        fleet.start_host(HOST)
        fleet.wait_for_url(f"http://{fleet.operators(HOST)}/v1/ready")
        answer = exchange(
            fleet.callers(HOST), build_request("/v1/call/shop/x", key=KEY)
        )
        self.assertEqual(answer.status, 200, answer.data)
        self.assertEqual(fleet.stop(HOST), 0)
        self.assertTrue(state.exists())

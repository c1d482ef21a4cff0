from __future__ import annotations

import json
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from unittest import TestCase

from almondgap_core.settings.parsing import parse_document
from almondgap_testkit.fleet import Fleet
from almondgap_testkit.sockets import RawAnswer, build_request, exchange

HOSTS = ("akl-a-1", "wlg-a-1", "chc-a-1")
STOPPED = HOSTS[0]
REQUESTS = 200
DELAY_MS = 4_000
REQUEST = build_request("/v1/call/climb-slots/x")


class PlannedStopTests(TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = Fleet.from_example("trust", Path(folder.name), HOSTS)
        self.addCleanup(self.fleet.close)
        self._give_room()
        self.fleet.start()
        self._slow_down()

    def _give_room(self):
        path = self.fleet.inventory_file
        document = parse_document(path.read_text(), str(path))
        document["accounts"]["city-towers"].update(rate_per_s=10_000, burst=10_000)
        service = document["services"]["climb-slots"]
        service["deadline_ms"] = 30_000
        for target in service["targets"]:
            target["slots"] = REQUESTS
        path.write_text(json.dumps(document))

    def _slow_down(self):
        control = f"http://{self.fleet.target_control}"
        for name in self.fleet.get(f"{control}/records"):
            self.fleet.post(f"{control}/behaviour/{name}", {"delay_ms": DELAY_MS})

    def _count_running(self) -> int:
        status = self.fleet.get(f"http://{self.fleet.operators(STOPPED)}/v1/status")
        return status["running"]

    def test_sigterm_cuts_none_of_200_slow_requests(self):
        place = self.fleet.callers(STOPPED)

        def call(_number: int) -> RawAnswer:
            return exchange(place, REQUEST)

        with ThreadPoolExecutor(REQUESTS) as pool:
            answers = pool.map(call, range(REQUESTS))
            self.fleet.wait_until(
                lambda: self._count_running() >= REQUESTS, f"{REQUESTS} running"
            )
            self.assertEqual(self.fleet.stop(STOPPED), 0)
            answers = list(answers)
        wrong = [answer for answer in answers if answer.status != 200 or answer.reset]
        self.assertEqual(wrong, [], f"{len(wrong)} of {REQUESTS} cut or refused")

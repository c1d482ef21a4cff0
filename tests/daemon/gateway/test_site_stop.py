"""Planned stops of real gateway processes under load."""

from __future__ import annotations

import json
import signal
import socket
import threading
import time

from almondgap_testkit.gateways.builders import HOST_NAME, KEY
from almondgap_testkit.gateways.site import CALLERS_PORT, READY_PORT, Site
from tests.daemon.gateway.site_case import SiteTestCase


class StopTests(SiteTestCase):
    def test_planned_stop_cuts_no_request(self):
        site = self.start(work_s=0.5)
        replies = []

        def call(number: int) -> None:
            replies.append(site.call("h1", "/orders/1", request_id=f"s{number}"))

        threads = [threading.Thread(target=call, args=(n,)) for n in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(0.2)
        process = site.processes["h1"]
        process.terminate()
        asked = time.monotonic()
        time.sleep(0.1)
        late = site.call("h1", request_id="late")
        self.assertEqual(late.status, 200)
        self.assertEqual(late.headers["connection"], "close")
        ready = site.get(f"http://{site.address('h1', READY_PORT)}/ready")
        self.assertEqual(ready.status, 503)
        for thread in threads:
            thread.join()
        self.assertEqual([reply.status for reply in replies], [200] * 4)
        # The port closes after 0.58 of the grace period of 3 s, and the process checks
        # the time every 0.5 s.
        left = asked + 0.58 * 3.0 + 0.5 + 0.2 - time.monotonic()
        site.wait_until(lambda: self.is_refused(site), left)
        self.assertEqual(process.wait(5), 0)
        self.assertEqual(site.read_log("h1")[-1]["cut"], 0)
        state = json.loads(site.get(f"http://{site.store}/control/state").body)
        self.assertNotIn("almondgap-hosts//h1", state["rows"])

    def is_refused(self, site: Site) -> bool:
        """Return whether the host refuses connections."""
        try:
            site.call("h1", request_id="too late")
        except ConnectionRefusedError:
            return True
        except ConnectionResetError:
            # The connection was still in the listen queue when the port closed.
            return False
        return False

    def test_process_lingers_after_its_last_answer(self):
        # After the process ends, lost packets are no longer retransmitted.
        site = self.start(work_s=2.0)
        ended = []

        def call() -> None:
            site.call("h1", "/orders/1", request_id="last")
            ended.append(time.monotonic())

        thread = threading.Thread(target=call)
        thread.start()
        time.sleep(0.2)
        process = site.processes["h1"]
        process.terminate()
        self.assertEqual(process.wait(10), 0)
        gone = time.monotonic()
        thread.join()
        self.assertGreaterEqual(gone - ended[0], 0.6)

    def test_connections_that_wait_to_be_accepted_are_answered(self):
        site = self.start(work_s=0.05, grace_s=6)
        process = site.processes["h1"]
        process.terminate()
        # Frozen over the moment at which the port closes, with callers in its queue.
        time.sleep(3.2)
        process.send_signal(signal.SIGSTOP)
        replies = {}

        def call(number: int) -> None:
            # Every other one may still be at its target when the process ends.
            deadline = "3000" if number % 2 else "1000"
            headers = {"X-Almondgap-Deadline-Ms": deadline}
            name = f"q{number}"
            replies[number] = site.call("h1", "/orders/1", request_id=name, **headers)

        threads = [threading.Thread(target=call, args=(n,)) for n in range(12)]
        for thread in threads:
            thread.start()
        time.sleep(0.6)
        process.send_signal(signal.SIGCONT)
        for thread in threads:
            thread.join()
        statuses = [replies[number].status for number in range(12)]
        self.assertEqual(statuses, [200, 503] * 6)
        for number in range(1, 12, 2):
            self.assertIn(b'"not-run"', replies[number].body)
        self.assertEqual(process.wait(5), 0)

    def test_body_that_is_still_read_delays_the_end(self):
        site = self.start(work_s=0.1, grace_s=6)
        reply = self.send_body_over_4_s(site, deadline_ms=1_000)
        self.assertTrue(reply.startswith(b"HTTP/1.1 200"), reply)
        self.assertEqual(site.processes["h1"].wait(5), 0)

    def test_request_that_the_end_may_cut_is_not_sent(self):
        # Guards against the loss of requests that come late in a stop.
        site = self.start(work_s=1.9, grace_s=6)
        reply = self.send_body_over_4_s(site, deadline_ms=3_000)
        self.assertTrue(reply.startswith(b"HTTP/1.1 503"), reply)
        self.assertIn(b'"not-run"', reply)
        self.assertEqual(site.list_runs(0)["runs"], {})
        self.assertEqual(site.processes["h1"].wait(5), 0)

    def send_body_over_4_s(self, site: Site, deadline_ms: int) -> bytes:
        """Stop a host while it reads a request, and return what it answers."""
        host, _, port = site.address("h1", CALLERS_PORT).rpartition(":")
        body = b"a" * 400
        head = (
            f"POST /orders/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            f"Authorization: Bearer {KEY}\r\n"
            "X-Almondgap-Request-Attempt-Id: slow\r\n"
            f"X-Almondgap-Deadline-Ms: {deadline_ms}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        with socket.create_connection((host, int(port)), timeout=5) as conn:
            conn.sendall(head.encode())
            site.processes["h1"].terminate()
            for start in range(0, len(body), 100):
                time.sleep(1.0)
                conn.sendall(body[start : start + 100])
            return conn.recv(4_096)

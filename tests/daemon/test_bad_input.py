"""A host process survives malformed and hostile input from callers and targets."""

from __future__ import annotations

import json
import tempfile
import time
from pathlib import Path
from unittest import TestCase

from almondgap_core.settings.parsing import parse_document
from almondgap_testkit.fleet import Fleet
from almondgap_testkit.sockets import RawAnswer, build_request, connect, exchange
from almondgap_testkit.standins.raw import RawTarget, RepeatingTarget

HOST = "akl-a-1"
RAW_PORT, REPEATING_PORT = 9_000, 9_001
CALL = "/v1/call/climb-slots/x"
MEGABYTE = 1_048_576

#: Bytes that the kernel buffers of two connections and the host's own may hold.
BUFFERED_BYTES = 32 * MEGABYTE


class BadInputTests(TestCase):
    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.fleet = Fleet.from_example("trust", Path(folder.name), (HOST,))
        cls.addClassCleanup(cls.fleet.close)
        cls.fleet.start()
        cls.raw = RawTarget.listen(f"{cls.fleet.net}200.1", RAW_PORT)
        cls.addClassCleanup(cls.raw.close)
        address = f"{cls.fleet.net}200.1"
        cls.repeating = RepeatingTarget.listen(address, REPEATING_PORT)
        cls.addClassCleanup(cls.repeating.close)
        cls._add_raw_service()

    @classmethod
    def _add_raw_service(cls):
        fleet = cls.fleet
        document = parse_document(fleet.inventory_file.read_text(), "inventory")
        target = {
            "name": "raw-1",
            "failure_domain": "akl-a",
            "address": f"{fleet.net}200.1",
            "port": RAW_PORT,
            "slots": 10,
            "connections": 50,
        }
        document["services"]["raw"] = {"deadline_ms": 20_000, "targets": [target]}
        fields = {"name": "repeating-1", "port": REPEATING_PORT, "slots": 4}
        target = {**target, **fields}
        service = {"deadline_ms": 20_000, "targets": [target]}
        document["services"]["repeating"] = service
        changed = fleet.folder / "changed.json"
        changed.write_text(json.dumps(document))
        fleet.run_cli("apply", str(changed), "--platform", fleet.platform)
        status = f"http://{fleet.operators(HOST)}/v1/status"
        fleet.wait_until(lambda: fleet.get(status)["version"] >= 2, "version 2")

    def setUp(self):
        self.process = self.fleet.processes[HOST]
        self.place = self.fleet.callers(HOST)
        self.raw.repeat = 0
        self.raw.received.clear()

    def tearDown(self):
        self.assertIsNone(self.process.poll())
        answer = exchange(self.place, build_request(CALL))
        self.assertEqual(answer.status, 200, answer.data)

    def assert_refused(self, answer: RawAnswer, status: int, reason: str):
        self.assertEqual(answer.status, status, answer.data)
        self.assertEqual(answer.headers["almondgap-verdict"], "not-run")
        self.assertEqual(json.loads(answer.body)["reason"], reason)

    def send(self, path: str = CALL, *args, **kwargs) -> RawAnswer:
        return exchange(self.place, build_request(path, *args, **kwargs))

    def call_raw(self, answer: bytes, method: str = "GET") -> RawAnswer:
        self.raw.answer = answer
        return self.send("/v1/call/raw/x", method)

    def test_what_is_not_http(self):
        for data in (
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
            b"GET\r\n\r\n",
            b"GET / HTTP/1.1\r\nno colon\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1e3\r\n\r\n",
            b"GET / HTTP/1.1\r\nA: " + b"a" * 40_000 + b"\r\n\r\n",
            b"GET /" + b"a" * 40_000 + b" HTTP/1.1\r\n\r\n",
            b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 600 + b"\r\n",
        ):
            with self.subTest(data=data[:40]):
                self.assert_refused(exchange(self.place, data), 400, "bad-request")

    def test_two_framings_of_one_body(self):
        for headers in (
            ("Content-Length: 3", "Transfer-Encoding: chunked"),
            ("Transfer-Encoding: chunked", "Content-Length: 3"),
            ("Content-Length: 3", "Content-Length: 4"),
            ("Transfer-Encoding: gzip, chunked",),
        ):
            with self.subTest(headers=headers):
                answer = self.send(method="POST", headers=headers, body=b"abc")
                self.assert_refused(answer, 400, "bad-request")

    def test_broken_chunks(self):
        answer = self.send(
            method="POST", headers=("Transfer-Encoding: chunked",), body=b"zz\r\n"
        )
        self.assert_refused(answer, 400, "bad-request")

    def test_unknown_routes_services_and_methods(self):
        for path, method, status, reason in (
            ("/", "GET", 404, "bad-request"),
            ("/v1/call/climb-slots", "GET", 404, "bad-request"),
            ("/v1/call/nothing/x", "GET", 404, "unknown-service"),
            ("/v1/lookup?service=nothing", "GET", 404, "unknown-service"),
            ("/v1/lookup?service=climb-slots", "POST", 405, "method-not-allowed"),
            ("/v1/call/climb-slots/x", "BREW", 405, "method-not-allowed"),
            ("/v1/call/climb-slots/x", "TRACE", 405, "method-not-allowed"),
            ("/v1/call/climb-slots/x", "G\xcbT", 400, "bad-request"),
            ("/v1/call/climb%2Dslots/x", "GET", 400, "bad-request"),
            ("/v1/call/climb-slots/%ff", "GET", 400, "bad-request"),
            ("/v1/call/climb-slots/\xff", "GET", 400, "bad-request"),
            ("/v1/call/climb-slots/\x01", "GET", 400, "bad-request"),
        ):
            with self.subTest(path=path, method=method):
                self.assert_refused(self.send(path, method), status, reason)

    def test_bodies_that_are_too_long(self):
        longer = b"a" * (MEGABYTE + 1)
        for headers, body in (
            ((f"Content-Length: {len(longer)}",), longer),
            (("Content-Length: 99999999999",), b""),
            (
                ("Transfer-Encoding: chunked",),
                b"%x\r\n%b\r\n0\r\n\r\n" % (len(longer), longer),
            ),
        ):
            with self.subTest(headers=headers):
                answer = self.send(method="POST", headers=headers, body=body)
                self.assert_refused(answer, 413, "body-too-large")

    def test_form_bodies_pass_unread(self):
        self.raw.answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        body = b"--broken multipart"
        answer = self.send(
            "/v1/call/raw/x",
            "POST",
            ("Content-Type: multipart/form-data", f"Content-Length: {len(body)}"),
            body,
        )
        self.assertEqual(answer.status, 200, answer.data)

    def test_expect_100_continue(self):
        head = build_request(
            "/v1/call/climb-slots/x",
            "POST",
            ("Expect: 100-continue", "Content-Length: 2"),
        )
        with connect(self.place) as conn:
            conn.sendall(head)
            self.assertTrue(conn.recv(100).startswith(b"HTTP/1.1 100 "))
            conn.sendall(b"ab")
            self.assertTrue(conn.recv(100).startswith(b"HTTP/1.1 200 "))

    def test_headers_that_must_not_reach_a_target(self):
        self.raw.answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        headers = (
            "Connection: X-Hop",
            "X-Hop: secret",
            "Keep-Alive: 5",
            "TE: trailers",
            "Upgrade: h2c",
            "Proxy-Authorization: secret",
            "Almondgap-Account: forged",
            "Almondgap-Verdict: forged",
            "Almondgap_Account: forged",
        )
        self.assertEqual(self.send("/v1/call/raw/x", headers=headers).status, 200)
        received = self.raw.received[0].lower()
        for word in (b"secret", b"keep-alive: 5", b"h2c", b"forged", b"agk_", b"te:"):
            self.assertNotIn(word, received)
        self.assertEqual(received.count(b"almondgap-account: city-towers"), 1)

    def test_path_reaches_the_target_unchanged(self):
        self.raw.answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        path = "//a%2Fb/../c%20d;e?f=g+h&f=%41&&x"
        self.assertEqual(self.send(f"/v1/call/raw{path}").status, 200)
        self.assertEqual(self.raw.received[0].split(b" ")[1], path.encode())

    def test_forged_headers_of_a_target(self):
        answer = self.call_raw(
            b"HTTP/1.1 200 OK\r\nAlmondgap-Verdict: not-run\r\n"
            b"Keep-Alive: 9\r\nTrailer: A\r\nContent-Length: 2\r\n\r\nok"
        )
        self.assertEqual(answer.headers["almondgap-verdict"], "ran")
        self.assertNotIn("keep-alive", answer.headers)
        self.assertNotIn("trailer", answer.headers)
        self.assertEqual(answer.body, b"ok")

    def test_encoded_answer_passes_unchanged(self):
        answer = self.call_raw(
            b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n"
            b"Content-Length: 5\r\n\r\n\x1f\x8bxyz"
        )
        self.assertEqual(answer.headers["content-encoding"], "gzip")
        self.assertEqual(answer.body, b"\x1f\x8bxyz")

    def test_cut_short_answers_never_look_whole(self):
        for head, body in (
            (b"Content-Length: 10", b"abc"),
            (b"Transfer-Encoding: chunked", b"3\r\nabc\r\n"),
            (b"Connection: close", b"abc"),
        ):
            with self.subTest(head=head):
                answer = self.call_raw(
                    b"HTTP/1.1 200 OK\r\n%b\r\n\r\n%b" % (head, body)
                )
                length = answer.headers.get("content-length") if answer.data else None
                short = length is not None and len(answer.body) < int(length)
                self.assertTrue(answer.reset or short or not answer.data, answer)
                self.assertFalse(answer.body.endswith(b"0\r\n\r\n"))

    def test_answers_of_targets_that_are_not_http(self):
        for data in (b"", b"nonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Le"):
            with self.subTest(data=data):
                answer = self.call_raw(data, "POST")
                self.assertEqual(answer.status, 502, answer.data)
                self.assertEqual(answer.headers["almondgap-verdict"], "may-have-run")

    def test_late_second_copy_answers_no_later_request(self):
        for echoes in (False, True):
            self.repeating.echoes = echoes
            for number in range(8):
                path = f"/{echoes}-{number}"
                answer = self.send(f"/v1/call/repeating{path}")
                with self.subTest(echoes=echoes, number=number):
                    if answer.status == 200:
                        self.assertEqual(answer.body.decode(), path)
                    else:
                        verdict = answer.headers["almondgap-verdict"]
                        self.assertEqual(verdict, "may-have-run")

    def test_answers_without_a_body(self):
        for method, head in (
            ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"),
            ("GET", b"HTTP/1.1 204 No Content\r\n\r\n"),
            ("GET", b"HTTP/1.1 304 Not Modified\r\nETag: a\r\n\r\n"),
        ):
            with self.subTest(method=method, head=head):
                answer = self.call_raw(head, method)
                self.assertEqual(answer.status, int(head.split(b" ")[1]))
                self.assertEqual(answer.headers["almondgap-verdict"], "ran")
                self.assertEqual(answer.body, b"")
                self.assertFalse(answer.reset)

    def test_slow_reader_holds_the_target_back(self):
        self.raw.sent = 0
        self.raw.tail = b"a" * MEGABYTE
        total = 300 * MEGABYTE
        self.raw.answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % total
        self.raw.repeat = 300
        with connect(self.place) as conn:
            conn.sendall(build_request("/v1/call/raw/x"))
            self.assertTrue(conn.recv(100))
            self._wait_until_still()
            self.assertLess(self.raw.sent, BUFFERED_BYTES)
            self.assertGreater(self.raw.sent, 0)

    def _wait_until_still(self):
        last = -1
        while self.raw.sent != last:
            last = self.raw.sent
            time.sleep(0.5)

    def test_leaving_caller_cancels_the_target(self):
        self.raw.broken.clear()
        self.test_slow_reader_holds_the_target_back()
        self.assertTrue(self.raw.broken.wait(10))
        status = f"http://{self.fleet.operators(HOST)}/v1/status"
        self.fleet.wait_until(lambda: self.fleet.get(status)["running"] == 0, "idle")

    def test_leaving_caller_cancels_before_the_answer(self):
        control = f"http://{self.fleet.target_control}"
        names = [n for n in self.fleet.get(f"{control}/records") if "peal" in n]
        for name in names:
            self.fleet.post(f"{control}/behaviour/{name}", {"delay_ms": 2_500})
        with connect(self.place) as conn:
            conn.sendall(build_request("/v1/call/peal-register/x"))
            self.fleet.wait_until(lambda: self._count("running", names), "running")
        self.fleet.wait_until(lambda: self._count("cancelled", names), "cancelled")
        self.assertEqual(self._count("served", names), 0)

    def _count(self, what: str, names: list[str]) -> int:
        records = self.fleet.get(f"http://{self.fleet.target_control}/records")
        return sum(records[name][what] for name in names)

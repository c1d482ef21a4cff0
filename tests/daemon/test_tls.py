from __future__ import annotations

import json
import os
import socket
import ssl
import struct
import tempfile
from pathlib import Path
from unittest import TestCase, mock

from almondgap_core.messages import Hello, encode
from almondgap_core.settings.reader import Report
from almondgap_daemon.peers import compute_proof
from almondgap_daemon.settings import Settings
from almondgap_testkit.certificates import Authority, Pair
from almondgap_testkit.fleet import Fleet
from almondgap_testkit.sockets import build_request, connect, exchange

HOSTS = ("akl-a-1", "wlg-a-1", "chc-a-1")
FIRST, SECOND, STRANGER = HOSTS
REQUEST = build_request("/v1/call/climb-slots/x")


class TlsTests(TestCase):
    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = Path(folder.name)
        cls.authority = Authority()
        cls.authority_file = cls.folder / "authority.crt"
        cls.authority_file.write_bytes(cls.authority.certificate)
        cls.fleet = Fleet.from_example("trust", cls.folder, HOSTS)
        cls.addClassCleanup(cls.fleet.close)
        for name in HOSTS:
            cls._secure(name)
        cls.fleet.start()

    @classmethod
    def _secure(cls, name: str):
        cfg = cls.fleet.settings[name]
        pair = cls._issue("nobody" if name == STRANGER else name, name)
        files = pair.write(cls.folder, name)
        for listener in ("callers", "peers"):
            del cfg[listener]["plain"]
            cfg[listener]["tls"] = dict(files)
        cfg["peers"]["tls"]["authority"] = str(cls.authority_file)
        (cls.folder / f"{name}.json").write_text(json.dumps(cfg))

    @classmethod
    def _issue(cls, subject: str, host: str) -> Pair:
        address = cls.fleet.settings[host]["callers"]["address"]
        return cls.authority.issue(subject, address)

    def open(self, place: str, pair: Pair | None = None) -> ssl.SSLSocket:
        context = ssl.create_default_context(cafile=str(self.authority_file))
        if pair is not None:
            files = pair.write(self.folder, "client")
            context.load_cert_chain(files["certificate"], files["key"])
            context.check_hostname = False
        conn = context.wrap_socket(connect(place), server_hostname=place.split(":")[0])
        self.addCleanup(conn.close)
        return conn

    def peers(self, host: str) -> list[str]:
        status = self.fleet.get(f"http://{self.fleet.operators(host)}/v1/status")
        return list(status["peers"])

    def read_serial(self) -> bytes:
        with self.open(self.fleet.callers(FIRST)) as conn:
            return conn.getpeercert()["serialNumber"]

    def test_caller_is_answered_over_tls_only(self):
        place = self.fleet.callers(FIRST)
        with self.open(place) as conn:
            conn.sendall(REQUEST)
            self.assertTrue(conn.recv(100).startswith(b"HTTP/1.1 200 "))
        self.assertFalse(exchange(place, REQUEST).data.startswith(b"HTTP"))

    def test_operators_command_trusts_the_authority_it_is_given(self):
        place = f"https://{self.fleet.callers(FIRST)}"
        args = ("lookup", place, "climb-slots", "--output", "json")
        trusting = {"ALMONDGAP_TLS_AUTHORITY": str(self.authority_file)}
        with mock.patch.dict(os.environ, trusting):
            done = self.fleet.run_cli(*args, check=False)
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertTrue(json.loads(done.stdout)["hosts"])
        done = self.fleet.run_cli(*args, check=False)
        self.assertEqual(done.returncode, 1)
        self.assertNotIn("Traceback", done.stderr)

    def test_hosts_hear_only_hosts_with_their_own_name(self):
        self.fleet.wait_until(lambda: SECOND in self.peers(FIRST), "second heard")
        self.fleet.wait_until(lambda: FIRST in self.peers(SECOND), "first heard")
        self.assertNotIn(STRANGER, self.peers(FIRST))
        self.assertNotIn(STRANGER, self.peers(SECOND))
        self.assertEqual(self.peers(STRANGER), [])

    def test_certificate_must_name_the_host_that_the_hello_names(self):
        for subject, heard in ((SECOND, True), ("other", False)):
            with self.subTest(subject=subject):
                conn = self._say_hello(self._issue(subject, SECOND))
                if heard:
                    with self.assertRaises(TimeoutError):
                        conn.recv(1)
                else:
                    self.assertEqual(self._read_end(conn), b"")

    def test_certificate_of_another_authority_is_refused(self):
        conn_pair = Authority("another").issue(SECOND)
        with self.assertRaises((ssl.SSLError, ConnectionError)):
            conn = self._say_hello(conn_pair)
            if conn.recv(1) == b"":
                raise ConnectionError("closed")

    def test_peer_without_a_certificate_is_refused(self):
        with self.assertRaises((ssl.SSLError, ConnectionError)):
            conn = self.open(self._peer_place())
            if conn.recv(1) == b"":
                raise ConnectionError("closed")

    def test_new_certificate_serves_without_a_restart(self):
        process = self.fleet.processes[FIRST]
        before = self.read_serial()
        self._issue(FIRST, FIRST).write(self.folder, FIRST)
        self.fleet.wait_until(lambda: self.read_serial() != before, "new certificate")
        after = self.read_serial()
        (self.folder / f"{FIRST}.key").write_text("broken")
        self.assertEqual(self.read_serial(), after)
        self.assertIsNone(process.poll())
        self._issue(FIRST, FIRST).write(self.folder, FIRST)

    def _peer_place(self) -> str:
        peers = self.fleet.settings[FIRST]["peers"]
        return f"{peers['address']}:{peers['port']}"

    def _say_hello(self, pair: Pair) -> ssl.SSLSocket:
        cfg = self.fleet.settings[FIRST]
        proof = compute_proof(cfg["peer_secret"], cfg["cluster"], SECOND, 1)
        hello = encode(Hello(cfg["cluster"], SECOND, 1, proof, 8_082))
        conn = self.open(self._peer_place(), pair)
        conn.settimeout(1.0)
        conn.sendall(struct.pack("!I", len(hello)) + hello)
        return conn

    def _read_end(self, conn: socket.socket) -> bytes:
        try:
            return conn.recv(1)
        except (ssl.SSLError, ConnectionError):
            return b""


class TlsSettingsTests(TestCase):
    def find_faults(self, **listener) -> list[str]:
        cfg = {"address": "127.0.0.1", "port": 1, "plain": True}
        document = {
            "host": "a-1",
            "cluster": "c",
            "failure_domain": "a",
            "callers": cfg,
            "operators": cfg,
            "peers": {"address": "127.0.0.1", "port": 1, **listener},
            "platform": {"kind": "http", "address": "127.0.0.1", "port": 2},
            "pepper": "p",
            "peer_secret": "s",
        }
        report = Report("f")
        Settings.from_document(document, report)
        return [str(fault) for fault in report.errors]

    def test_plain_must_be_said(self):
        self.assertIn("peers.tls", self.find_faults()[0])
        self.assertEqual(self.find_faults(plain=True), [])

    def test_mutual_tls_needs_an_authority(self):
        faults = self.find_faults(tls={"certificate": "a", "key": "b"})
        self.assertEqual(
            faults, ["peers.tls.authority: found nothing, expected a value"]
        )

    def test_missing_and_mismatched_files_are_named(self):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            authority = Authority()
            files = authority.issue("a-1").write(folder, "a-1")
            other = authority.issue("a-1").write(folder, "other")
            files["authority"] = str(folder / "missing.crt")
            self.assertIn("missing.crt", self.find_faults(tls=files)[0])
            (folder / "missing.crt").write_bytes(authority.certificate)
            self.assertEqual(self.find_faults(tls=files), [])
            files["key"] = other["key"]
            self.assertIn("does not belong", self.find_faults(tls=files)[0])

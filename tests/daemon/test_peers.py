from __future__ import annotations

import struct
from typing import ClassVar
from unittest import TestCase

import msgpack
from attrs import frozen
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from almondgap_core.messages import (
    MAX_MESSAGE_BYTES,
    Hello,
    Message,
    encode,
    integer,
    register,
)
from almondgap_daemon.peers import (
    HELLO_TIMEOUT_S,
    PeerReceiver,
    compute_proof,
)
from almondgap_daemon.settings import Listener
from almondgap_testkit.fakes.transport import RecordingTransport

SECRET = "peer secret"
CLUSTER = "trust"


@register
@frozen
class Probe(Message):
    """A message that only this test knows."""

    kind: ClassVar[str] = "test-probe"

    number: int = integer()


@frozen
class PeerSettings:
    """The settings that a stream needs."""

    peer_secret: str = SECRET
    cluster: str = CLUSTER
    peers: Listener = Listener("127.0.0.1", 1)


def frame(data: bytes) -> bytes:
    """Return a message behind its length."""
    return struct.pack("!I", len(data)) + data


PEER_PORT = 8_082


def build_hello(cluster: str = CLUSTER, secret: str = SECRET) -> bytes:
    """Return the hello of another host."""
    proof = compute_proof(secret, cluster, "b-1", 7)
    return frame(encode(Hello(cluster, "b-1", 7, proof, PEER_PORT)))


class PeerReceiverTests(TestCase):
    def setUp(self):
        self.clock = Clock()
        self.heard = []
        self.added = []
        self.open()

    def open(self):
        self.receiver = PeerReceiver(
            PeerSettings(),
            lambda host, message: self.heard.append((host, message)),
            lambda host, address, port: self.added.append((host, port)),
        )
        self.receiver.callLater = self.clock.callLater
        self.transport = RecordingTransport()
        self.receiver.makeConnection(self.transport)

    def assert_refused(self):
        self.assertTrue(self.transport.disconnecting)
        self.assertEqual(self.heard, [])

    def test_peer_of_the_fleet_is_heard(self):
        message = Probe(3)
        self.receiver.dataReceived(build_hello() + frame(encode(message)))
        self.assertEqual(self.heard, [("b-1", message)])
        self.assertEqual(self.added, [("b-1", PEER_PORT)])
        self.clock.advance(HELLO_TIMEOUT_S * 10)
        self.assertFalse(self.transport.disconnecting)

    def test_message_before_the_hello_is_refused(self):
        self.receiver.dataReceived(frame(encode(Probe(3))))
        self.assert_refused()

    def test_wrong_secret_and_other_fleet_are_refused(self):
        for hello in (build_hello(secret="guess"), build_hello(cluster="other")):
            self.open()
            self.receiver.dataReceived(hello)
            self.assert_refused()

    def test_broken_messages_are_refused(self):
        for data in (
            b"\xc1",
            b"\x91",
            msgpack.packb("hello"),
            msgpack.packb(["unknown", 1]),
            msgpack.packb(["hello"]),
            msgpack.packb(["hello", CLUSTER, "b-1", "7", b""]),
            msgpack.packb(["hello", {}, [], None, 1.5]),
            b"\x91" * 5_000,
        ):
            with self.subTest(data=data[:20]):
                self.open()
                self.receiver.dataReceived(frame(data))
                self.assert_refused()

    def test_length_beyond_the_limit_is_refused_unread(self):
        self.receiver.dataReceived(struct.pack("!I", MAX_MESSAGE_BYTES + 1))
        self.assert_refused()

    def test_silent_peer_is_dropped(self):
        self.clock.advance(HELLO_TIMEOUT_S + 1)
        self.assert_refused()

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.binary(max_size=200))
    def test_no_bytes_are_taken_for_a_peer(self, data):
        self.open()
        self.receiver.dataReceived(frame(data))
        self.assert_refused()

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
    """A message type for these tests."""

    kind: ClassVar[str] = "test-probe"

    number: int = integer()


@frozen
class PeerSettings:
    """The settings that a stream reads."""

    peer_secret: str = SECRET
    cluster: str = CLUSTER
    peers: Listener = Listener("127.0.0.1", 1)


def add_length_prefix(data: bytes) -> bytes:
    """Return an encoded message with its length prefix."""
    return struct.pack("!I", len(data)) + data


PEER_PORT = 8_082


def build_hello(cluster: str = CLUSTER, secret: str = SECRET) -> bytes:
    """Return the framed hello of another host."""
    proof = compute_proof(secret, cluster, "b-1", 7)
    return add_length_prefix(encode(Hello(cluster, "b-1", 7, proof, PEER_PORT)))


class PeerReceiverTests(TestCase):
    def setUp(self):
        self.clock = Clock()
        self.received = []
        self.added = []
        self.open()

    def open(self):
        self.receiver = PeerReceiver(
            PeerSettings(),
            lambda host, message: self.received.append((host, message)),
            lambda host, address, port: self.added.append((host, port)),
        )
        self.receiver.callLater = self.clock.callLater
        self.transport = RecordingTransport()
        self.receiver.makeConnection(self.transport)

    def assert_refused(self):
        self.assertTrue(self.transport.disconnecting)
        self.assertEqual(self.received, [])

    def test_messages_of_a_fleet_member_are_received(self):
        message = Probe(3)
        self.receiver.dataReceived(build_hello() + add_length_prefix(encode(message)))
        self.assertEqual(self.received, [("b-1", message)])
        self.assertEqual(self.added, [("b-1", PEER_PORT)])
        self.clock.advance(HELLO_TIMEOUT_S * 10)
        self.assertFalse(self.transport.disconnecting)

    def test_message_before_the_hello_is_refused(self):
        self.receiver.dataReceived(add_length_prefix(encode(Probe(3))))
        self.assert_refused()

    def test_wrong_secret_and_other_fleet_are_refused(self):
        for hello in (build_hello(secret="guess"), build_hello(cluster="other")):
            self.open()
            self.receiver.dataReceived(hello)
            self.assert_refused()

    def test_malformed_messages_are_refused(self):
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
                self.receiver.dataReceived(add_length_prefix(data))
                self.assert_refused()

    def test_oversized_length_prefix_is_refused(self):
        self.receiver.dataReceived(struct.pack("!I", MAX_MESSAGE_BYTES + 1))
        self.assert_refused()

    def test_peer_without_a_hello_is_disconnected(self):
        self.clock.advance(HELLO_TIMEOUT_S + 1)
        self.assert_refused()

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_refused(self, data):
        self.open()
        self.receiver.dataReceived(add_length_prefix(data))
        self.assert_refused()

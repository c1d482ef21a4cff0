from __future__ import annotations

import random
from unittest import TestCase

import msgpack

from almondgap_core.exceptions import MessageError
from almondgap_core.gateway.heartbeats import Heartbeat
from almondgap_daemon.gateway.messages import (
    TokenRequest,
    TokenResponse,
    decode_message,
    encode_message,
)
from almondgap_testkit.gateways.builders import build_location


class MessageTests(TestCase):
    def test_there_and_back(self):
        for message in (
            Heartbeat(build_location(), 5, 6, True, 7),
            TokenRequest("h1:90", "one", 4, 3.0),
            TokenResponse("one", 4, 0.0),
        ):
            self.assertEqual(decode_message(encode_message(message)), message)

    def test_other_datagrams_are_refused(self):
        beat = encode_message(Heartbeat(build_location(), 5, 6, True, 7))
        rng = random.Random(1)
        broken = [b"", b"\xc1", msgpack.packb([2, 0]), msgpack.packb([1, 9, 1])]
        broken += [beat[:length] for length in range(len(beat))]
        broken += [rng.randbytes(40) for _ in range(200)]
        for data in broken:
            with self.assertRaises(MessageError, msg=data):
                decode_message(data)

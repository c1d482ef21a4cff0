from __future__ import annotations

import random
from math import inf, nan
from unittest import TestCase

import msgpack

from almondgap_core.exceptions import MessageError
from almondgap_core.gateway.heartbeats import (
    AdvertisedLimit,
    AdvertisedLimits,
    Heartbeat,
    StoreView,
)
from almondgap_core.gateway.suspects import Crash, SuspectReport, Suspects
from almondgap_daemon.gateway.messages import (
    TokenRequest,
    TokenResponse,
    decode_message,
    encode_message,
)
from almondgap_testkit.gateways.builders import build_location


class MessageTests(TestCase):
    def test_decoding_reverses_encoding(self):
        for message in (
            Heartbeat(build_location(), 5, 6, True, 7),
            Heartbeat(build_location(), 5, 6, True, 7, False),
            TokenRequest("h1:90", "one", 4, 3.0),
            TokenResponse("one", 4, 0.0),
            StoreView("h1", 5, (6, 7), 8, 2),
            AdvertisedLimits(
                "h1",
                (AdvertisedLimit("t1", 5, 2.5, 6), AdvertisedLimit("t2", 5, inf, 0)),
            ),
            AdvertisedLimits("h1", ()),
            Suspects(
                "h1",
                (
                    SuspectReport("f1", (Crash("t1", 5), Crash("t2", 6)), (), 0),
                    SuspectReport("f2", (Crash("t1", 5),), (Crash("t1", 5),), 2),
                ),
            ),
        ):
            self.assertEqual(decode_message(encode_message(message)), message)

    def test_malformed_datagrams_are_refused(self):
        heartbeat = encode_message(Heartbeat(build_location(), 5, 6, True, 7))
        rng = random.Random(1)
        broken = [b"", b"\xc1", msgpack.packb([2, 0]), msgpack.packb([1, 9, 1])]
        broken += [
            msgpack.packb([1, 4, "h1", [["t1", 5, rate, age]]])
            for rate, age in ((nan, 0), (-1.0, 0), (2.0, -1), ("x", 0), (None, 0))
        ]
        broken += [
            msgpack.packb([1, 5, "h1", [report]])
            for report in (5, ["f"], ["f", "x", []], ["f", 0, [["t1"]]], ["f", 0, 7])
        ]
        broken += [heartbeat[:length] for length in range(len(heartbeat))]
        broken += [rng.randbytes(40) for _ in range(200)]
        for data in broken:
            with self.assertRaises(MessageError, msg=data):
                decode_message(data)

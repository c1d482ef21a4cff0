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

LOCATION = build_location(address="10.8.0.1")


class MessageTests(TestCase):
    def test_decoding_reverses_encoding(self):
        for message in (
            Heartbeat(LOCATION, 5, 6, True, 7),
            Heartbeat(LOCATION, 5, 6, True, 7, False),
            TokenRequest("10.8.0.1:90", "one", 4, 3.0),
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

    def test_messages_of_the_previous_build(self):
        # Guards against builds that can't run side by side during an upgrade.
        suspects = (
            SuspectReport("f1", (Crash("t1", 5), Crash("t2", 6)), (), 0),
            SuspectReport("f2", (Crash("t1", 5),), (Crash("t1", 5),), 2),
        )
        limits = (AdvertisedLimit("t1", 5, 2.5, 6), AdvertisedLimit("t2", 5, inf, 0))
        for data, message in (
            (
                "97010095a26831a26131a161ab31302e382e302e313a3830"
                "ab31302e382e302e313a39300506c307",
                Heartbeat(LOCATION, 5, 6, True, 7),
            ),
            (
                "98010095a26831a26131a161ab31302e382e302e313a3830"
                "ab31302e382e302e313a39300506c307c2",
                Heartbeat(LOCATION, 5, 6, True, 7, False),
            ),
            (
                "960101ab31302e382e302e313a3930a36f6e6504ca40400000",
                TokenRequest("10.8.0.1:90", "one", 4, 3.0),
            ),
            ("950102a36f6e6504ca00000000", TokenResponse("one", 4, 0.0)),
            ("970103a26831059206070802", StoreView("h1", 5, (6, 7), 8, 2)),
            (
                "940104a268319294a2743105ca402000000694a2743205ca7f80000000",
                AdvertisedLimits("h1", limits),
            ),
            (
                "940105a268319293a26631009293a2743105c293a2743206c2"
                "93a26632029193a2743105c3",
                Suspects("h1", suspects),
            ),
        ):
            self.assertEqual(decode_message(bytes.fromhex(data)), message)
            self.assertEqual(encode_message(message).hex(), data)

    def test_malformed_datagrams_are_refused(self):
        heartbeat = encode_message(Heartbeat(LOCATION, 5, 6, True, 7))
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

"""A caller's key is neither in a host's event log nor in its messages to others."""

from __future__ import annotations

from types import SimpleNamespace
from unittest import TestCase, mock

from twisted.internet.task import Clock

from almondgap_core import effects
from almondgap_core.eventlog import EventLog
from almondgap_core.events import PeerMessage
from almondgap_core.keys.credential import Credential
from almondgap_core.limits.messages import HoldingsNotice
from almondgap_core.messages import encode
from almondgap_core.reducer import step
from almondgap_core.units import MICROS_PER_SECOND
from almondgap_daemon.callers import CallerApi
from almondgap_testkit.builders import (
    DOMAIN,
    HOST,
    KEY,
    build_entry,
    build_inventory,
    build_state,
)
from almondgap_testkit.memory_transport import connect

SECRET = KEY.rsplit("_", 1)[1]

#: Names a partition that another failure domain holds.
OPERATION = "ago.b.0.1.0.mine"


class RecordingRuntime:
    """Feeds a reducer and keeps its events and its messages to other hosts."""

    def __init__(self) -> None:
        self.reactor = Clock()
        self.state = build_state(build_inventory())
        for name in ("b-1", "b-2"):
            self.state.members.listed[name] = build_entry(name, "b")
        self.log = EventLog(HOST, DOMAIN, 1, 1)
        self.requests: dict[str, object] = {}
        self.messages: list[bytes] = []
        self.answers = 0

    def now(self) -> int:
        """Return the time in microseconds."""
        return int(self.reactor.seconds() * MICROS_PER_SECOND)

    def feed(self, event) -> None:
        """Handle one event."""
        self.log.events.append(event)
        for effect in step(self.state, event):
            if isinstance(effect, effects.SendMessage):
                self.messages.append(encode(effect.message))
            elif hasattr(effect, "req_id") and effect.req_id in self.requests:
                self.requests[effect.req_id].perform(effect)


class KeyTraceTests(TestCase):
    def send(self, *headers: str) -> RecordingRuntime:
        """Let a caller send a request with its key, and return what is left of it."""
        runtime = RecordingRuntime()
        notice = HoldingsNotice("b", (0,), (1,), 1)
        runtime.feed(PeerMessage(runtime.now(), "b-1", notice))
        cfg = SimpleNamespace(
            pepper="pepper", body_limit=1_024, body_memory=4_096, host=HOST
        )
        protocol, _ = connect(CallerApi(runtime, cfg).make_site())
        lines = ["POST /v1/call/shop/pay HTTP/1.1", "Host: x", "Content-Length: 0"]
        lines += [f"Almondgap-Key: {KEY}", *headers, "", ""]
        protocol.dataReceived("\r\n".join(lines).encode())
        return runtime

    def assert_no_trace(self, runtime: RecordingRuntime) -> None:
        """Check that events and messages hold the key's identifier at the most."""
        written = "\n".join(runtime.log.to_lines()).encode()
        self.assertIn(b"RequestArrived", written)
        self.assertNotIn(SECRET.encode(), written)
        for message in runtime.messages:
            self.assertNotIn(SECRET.encode(), message)

    def test_request(self):
        self.assert_no_trace(self.send())

    def test_operation_that_another_host_answers_for(self):
        runtime = self.send(f"Idempotency-Key: {OPERATION}")
        self.assert_no_trace(runtime)
        self.assertTrue(runtime.messages)

    def test_key_in_the_place_of_its_digest_is_seen(self):
        leaky = Credential("one", KEY)
        with mock.patch.object(Credential, "from_key", lambda key, pepper: leaky):
            runtime = self.send()
        with self.assertRaises(AssertionError):
            self.assert_no_trace(runtime)

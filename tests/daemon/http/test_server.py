from __future__ import annotations

from unittest import TestCase

from twisted.internet.task import Clock

from almondgap_daemon.http.server import ServerConnection, ServerFactory, ServerLimits
from almondgap_testkit.gateways.transport import PipeTransport

GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


class ServedConnection:
    """An in-memory connection of a caller, recording what its handler receives."""

    def __init__(self, limits: ServerLimits | None = None) -> None:
        self.clock = Clock()
        self.exchanges = []
        self.disconnected = []
        self.errors = []
        self.factory = ServerFactory(
            self.clock, self, self.errors.append, limits or ServerLimits()
        )
        self.conn: ServerConnection = self.factory.buildProtocol(None)
        self.transport = PipeTransport.connect(self.conn)

    def handle_request(self, exchange) -> None:
        self.exchanges.append(exchange)

    def handle_disconnect(self, exchange) -> None:
        self.disconnected.append(exchange)

    def respond(self, body: bytes = b"ok", **fields) -> bytes:
        """Respond to the latest request and return the bytes written."""
        headers = [(b"Content-Length", str(len(body)).encode())]
        self.exchanges[-1].respond(200, b"OK", headers, body)
        return self.transport.take()


class RequestTests(TestCase):
    def test_pipelined_requests_are_answered_in_turn(self):
        served = ServedConnection()
        served.transport.receive(GET + GET.replace(b"/a", b"/b"))
        self.assertEqual([each.target for each in served.exchanges], [b"/a"])
        self.assertTrue(served.respond().endswith(b"ok"))
        self.assertEqual([each.target for each in served.exchanges], [b"/a", b"/b"])

    def test_body_with_length_and_in_chunks(self):
        for head, body in (
            (b"Content-Length: 3", b"abc"),
            (b"Transfer-Encoding: chunked", b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"),
        ):
            served = ServedConnection()
            data = b"POST /a HTTP/1.1\r\nHost: x\r\n" + head + b"\r\n\r\n" + body
            for byte in data:
                served.transport.receive(bytes([byte]))
            self.assertEqual(served.exchanges[0].body, b"abc")

    def test_expect_100_continue_is_answered(self):
        served = ServedConnection()
        head = b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n"
        served.transport.receive(b"POST /a HTTP/1.1\r\nHost: x\r\n" + head)
        self.assertIn(b"100", served.transport.take())
        served.transport.receive(b"abc")
        self.assertEqual(served.exchanges[0].body, b"abc")

    def test_disconnect_of_a_caller_is_reported(self):
        served = ServedConnection()
        served.transport.receive(GET)
        served.transport.end()
        self.assertEqual(served.disconnected, served.exchanges)
        self.assertEqual(served.respond(), b"")


class BadInputTests(TestCase):
    def test_ambiguous_framing_is_refused(self):
        for head in (
            b"Content-Length: 3\r\nTransfer-Encoding: chunked",
            b"Content-Length: 3\r\nContent-Length: 4",
            b"Content-Length: -1",
            b"Transfer-Encoding: gzip, chunked",
        ):
            served = ServedConnection()
            data = b"POST /a HTTP/1.1\r\nHost: x\r\n" + head + b"\r\n\r\nabc"
            served.transport.receive(data)
            self.assertEqual(served.exchanges, [], head)
            status = int(served.transport.take().split()[1])
            self.assertIn(status, (400, 501), head)
            self.assertEqual(served.transport.ended, "closed")

    def test_malformed_bytes_are_refused_and_reported(self):
        served = ServedConnection()
        served.transport.receive(b"\x16\x03\x01 nonsense\r\n\r\n")
        self.assertEqual(served.exchanges, [])
        self.assertEqual(len(served.errors), 1)

    def test_oversized_header_and_body_are_refused(self):
        limits = ServerLimits(header_bytes=200, body_bytes=10)
        served = ServedConnection(limits)
        served.transport.receive(b"GET /a HTTP/1.1\r\nX: " + b"y" * 500)
        self.assertTrue(served.transport.take().startswith(b"HTTP/1.1 431"))
        served = ServedConnection(limits)
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n"
        served.transport.receive(head + b"x" * 11)
        self.assertEqual(served.exchanges, [])
        self.assertTrue(served.transport.take().startswith(b"HTTP/1.1 413"))


class TimeoutTests(TestCase):
    def test_idle_connection_is_closed(self):
        served = ServedConnection()
        served.clock.advance(14)
        self.assertEqual(served.transport.ended, "")
        served.clock.advance(2)
        self.assertEqual(served.transport.ended, "closed")

    def test_idle_time_counts_from_the_response(self):
        served = ServedConnection()
        served.clock.advance(10)
        served.transport.receive(GET)
        served.clock.advance(20)
        served.respond()
        served.clock.advance(14)
        self.assertEqual(served.transport.ended, "")

    def test_slow_header_times_out(self):
        served = ServedConnection()
        served.transport.receive(b"GET /a HT")
        served.clock.advance(2)
        served.transport.receive(b"TP/1.1\r\nHo")
        served.clock.advance(2)
        self.assertTrue(served.transport.take().startswith(b"HTTP/1.1 408"))


class StopTests(TestCase):
    def test_response_while_stopping_closes_the_connection(self):
        served = ServedConnection()
        served.transport.receive(GET)
        served.factory.closing = True
        self.assertIn(b"Connection: close", served.respond())
        self.assertEqual(served.transport.ended, "closed")

    def test_only_idle_connections_are_closed(self):
        served = ServedConnection()
        served.transport.receive(
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n"
        )
        served.factory.close_idle()
        self.assertEqual(served.transport.ended, "")
        served.transport.receive(b"ab")
        served.factory.close_idle()
        self.assertEqual(served.transport.ended, "")
        served.respond()
        served.factory.close_idle()
        self.assertEqual(served.transport.ended, "closed")


class CrowdedServerTests(TestCase):
    def test_connection_closes_after_its_response(self):
        served = ServedConnection()
        served.factory.connections.limit = 1
        served.transport.receive(GET)
        self.assertIn(b"Connection: close", served.respond())
        self.assertEqual(served.transport.ended, "closed")

    def test_new_connection_is_ended_at_once_while_all_are_busy(self):
        served = ServedConnection()
        served.factory.connections.limit = 1
        served.transport.receive(GET)
        late = PipeTransport.connect(served.factory.buildProtocol(None))
        self.assertEqual(late.ended, "aborted")
        late.end(clean=False)
        self.assertEqual(len(served.factory.connections), 1)
        self.assertTrue(served.respond().endswith(b"ok"))

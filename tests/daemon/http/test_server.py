from __future__ import annotations

from unittest import TestCase

from twisted.internet.task import Clock

from almondgap_daemon.http.server import ServerConnection, ServerFactory, ServerLimits
from almondgap_testkit.gateways.transport import PipeTransport

GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


class Served:
    """A caller's connection in memory, and the requests that were read."""

    def __init__(self, limits: ServerLimits | None = None) -> None:
        self.clock = Clock()
        self.exchanges = []
        self.gone = []
        self.errors = []
        self.factory = ServerFactory(
            self.clock, self, self.errors.append, limits or ServerLimits()
        )
        self.conn: ServerConnection = self.factory.buildProtocol(None)
        self.transport = PipeTransport.connect(self.conn)

    def handle_request(self, exchange) -> None:
        self.exchanges.append(exchange)

    def handle_disconnect(self, exchange) -> None:
        self.gone.append(exchange)

    def answer(self, body: bytes = b"ok", **fields) -> bytes:
        """Answer the newest request; return what was written."""
        headers = [(b"Content-Length", str(len(body)).encode())]
        self.exchanges[-1].respond(200, b"OK", headers, body)
        return self.transport.take()


class RequestTests(TestCase):
    def test_requests_in_one_piece_are_answered_in_turn(self):
        served = Served()
        served.transport.receive(GET + GET.replace(b"/a", b"/b"))
        self.assertEqual([each.target for each in served.exchanges], [b"/a"])
        self.assertTrue(served.answer().endswith(b"ok"))
        self.assertEqual([each.target for each in served.exchanges], [b"/a", b"/b"])

    def test_body_with_length_and_in_chunks(self):
        for head, body in (
            (b"Content-Length: 3", b"abc"),
            (b"Transfer-Encoding: chunked", b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"),
        ):
            served = Served()
            data = b"POST /a HTTP/1.1\r\nHost: x\r\n" + head + b"\r\n\r\n" + body
            for byte in data:
                served.transport.receive(bytes([byte]))
            self.assertEqual(served.exchanges[0].body, b"abc")

    def test_caller_that_waits_to_send_its_body_is_asked_for_it(self):
        served = Served()
        head = b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n"
        served.transport.receive(b"POST /a HTTP/1.1\r\nHost: x\r\n" + head)
        self.assertIn(b"100", served.transport.take())
        served.transport.receive(b"abc")
        self.assertEqual(served.exchanges[0].body, b"abc")

    def test_caller_that_leaves_is_told_of(self):
        served = Served()
        served.transport.receive(GET)
        served.transport.end()
        self.assertEqual(served.gone, served.exchanges)
        self.assertEqual(served.answer(), b"")


class BadInputTests(TestCase):
    def test_smuggled_request_is_refused(self):
        for head in (
            b"Content-Length: 3\r\nTransfer-Encoding: chunked",
            b"Content-Length: 3\r\nContent-Length: 4",
            b"Content-Length: -1",
            b"Transfer-Encoding: gzip, chunked",
        ):
            served = Served()
            data = b"POST /a HTTP/1.1\r\nHost: x\r\n" + head + b"\r\n\r\nabc"
            served.transport.receive(data)
            self.assertEqual(served.exchanges, [], head)
            status = int(served.transport.take().split()[1])
            self.assertIn(status, (400, 501), head)
            self.assertEqual(served.transport.ended, "closed")

    def test_broken_bytes_are_refused_and_noted(self):
        served = Served()
        served.transport.receive(b"\x16\x03\x01 nonsense\r\n\r\n")
        self.assertEqual(served.exchanges, [])
        self.assertEqual(len(served.errors), 1)

    def test_long_header_and_body(self):
        limits = ServerLimits(header_bytes=200, body_bytes=10)
        served = Served(limits)
        served.transport.receive(b"GET /a HTTP/1.1\r\nX: " + b"y" * 500)
        self.assertTrue(served.transport.take().startswith(b"HTTP/1.1 431"))
        served = Served(limits)
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n"
        served.transport.receive(head + b"x" * 11)
        self.assertEqual(served.exchanges, [])
        self.assertTrue(served.transport.take().startswith(b"HTTP/1.1 413"))


class TimeTests(TestCase):
    def test_idle_connection_is_closed(self):
        served = Served()
        served.clock.advance(14)
        self.assertEqual(served.transport.ended, "")
        served.clock.advance(2)
        self.assertEqual(served.transport.ended, "closed")

    def test_idle_time_counts_from_the_answer(self):
        served = Served()
        served.clock.advance(10)
        served.transport.receive(GET)
        served.clock.advance(20)
        served.answer()
        served.clock.advance(14)
        self.assertEqual(served.transport.ended, "")

    def test_slow_header_is_refused(self):
        served = Served()
        served.transport.receive(b"GET /a HT")
        served.clock.advance(2)
        served.transport.receive(b"TP/1.1\r\nHo")
        served.clock.advance(2)
        self.assertTrue(served.transport.take().startswith(b"HTTP/1.1 408"))


class StopTests(TestCase):
    def test_answer_while_stopping_says_close(self):
        served = Served()
        served.transport.receive(GET)
        served.factory.closing = True
        self.assertIn(b"Connection: close", served.answer())
        self.assertEqual(served.transport.ended, "closed")

    def test_only_idle_connections_are_closed(self):
        served = Served()
        served.transport.receive(
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n"
        )
        served.factory.close_idle()
        self.assertEqual(served.transport.ended, "")
        served.transport.receive(b"ab")
        served.factory.close_idle()
        self.assertEqual(served.transport.ended, "")
        served.answer()
        served.factory.close_idle()
        self.assertEqual(served.transport.ended, "closed")

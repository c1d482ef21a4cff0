from __future__ import annotations

from unittest import TestCase

from almondgap_daemon.http.connection import ClientConnection, Request
from almondgap_daemon.http.response import (
    IncompleteResponse,
    InvalidResponse,
    Response,
    find_header,
)
from almondgap_testkit.gateways.transport import PipeTransport

WHOLE = b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello"
OTHER = b"HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 5\r\n\r\nother"


def matches(headers) -> bool:
    """Return whether an answer is to request 1."""
    return find_header(headers, b"id") == b"1"


class Sent:
    """A request on a connection in memory, and its outcome."""

    def __init__(self, body: bytes = b"", **fields) -> None:
        self.conn = ClientConnection()
        self.transport = PipeTransport.connect(self.conn)
        self.send(body, **fields)

    def send(self, body: bytes = b"", **fields) -> None:
        """Send a request and keep its outcome."""
        self.outcome = None
        headers = [(b"Host", b"t"), (b"Content-Length", str(len(body)).encode())]
        request = Request(b"POST", b"/a?b=%20c", headers, body, **fields)
        self.conn.send(request).addBoth(self._keep)

    def _keep(self, outcome) -> None:
        self.outcome = getattr(outcome, "value", outcome)


class ResponseTests(TestCase):
    def test_whole_answer_in_pieces(self):
        sent = Sent()
        for byte in WHOLE:
            self.assertIsNone(sent.outcome)
            sent.transport.receive(bytes([byte]))
        self.assertEqual(sent.outcome.body, b"hello")
        self.assertTrue(sent.conn.reusable)

    def test_request_is_sent_as_it_is(self):
        sent = Sent(b"body")
        written = sent.transport.take()
        self.assertTrue(written.startswith(b"POST /a?b=%20c HTTP/1.1\r\n"))
        self.assertTrue(written.endswith(b"\r\n\r\nbody"))

    def test_cut_answer_is_no_answer(self):
        for clean in (True, False):
            sent = Sent()
            sent.transport.receive(WHOLE[:-1])
            sent.transport.end(clean)
            self.assertIsInstance(sent.outcome, Exception)
            self.assertFalse(sent.conn.reusable)

    def test_answer_that_ends_with_its_connection(self):
        endless = b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhello"
        sent = Sent()
        sent.transport.receive(endless)
        sent.transport.end(clean=True)
        self.assertIsInstance(sent.outcome, Response)
        self.assertEqual(sent.outcome.body, b"hello")
        self.assertFalse(sent.conn.reusable)

    def test_answer_without_length_that_is_reset_is_not_whole(self):
        sent = Sent()
        sent.transport.receive(b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhel")
        sent.transport.end(clean=False)
        self.assertIsInstance(sent.outcome, IncompleteResponse)

    def test_bytes_that_are_no_answer(self):
        for data in (b"\x00\x01\x02\r\n\r\n", b"HTTP/1.1 abc\r\n\r\n"):
            sent = Sent()
            sent.transport.receive(data)
            self.assertIsInstance(sent.outcome, InvalidResponse)
            self.assertEqual(sent.transport.ended, "aborted")

    def test_interim_answer_is_passed_over(self):
        sent = Sent()
        sent.transport.receive(b"HTTP/1.1 103 Early Hints\r\n\r\n" + WHOLE)
        self.assertEqual(sent.outcome.status, 200)


class SurplusTests(TestCase):
    def test_connection_with_surplus_bytes_is_not_used_again(self):
        sent = Sent()
        sent.transport.receive(WHOLE + b"more")
        self.assertEqual(sent.outcome.body, b"hello")
        self.assertFalse(sent.conn.reusable)

    def test_connection_with_late_bytes_is_not_used_again(self):
        sent = Sent()
        sent.transport.receive(WHOLE)
        sent.transport.receive(OTHER)
        self.assertFalse(sent.conn.reusable)
        self.assertEqual(sent.transport.ended, "aborted")

    def test_late_answer_to_another_request_is_passed_over(self):
        sent = Sent(matches=matches)
        sent.transport.receive(OTHER)
        self.assertIsNone(sent.outcome)
        sent.transport.receive(WHOLE)
        self.assertEqual(sent.outcome.body, b"hello")

    def test_both_answers_in_one_piece(self):
        sent = Sent(matches=matches)
        sent.transport.receive(OTHER + WHOLE)
        self.assertEqual(sent.outcome.body, b"hello")

    def test_endless_answer_to_another_request_is_no_answer(self):
        sent = Sent(matches=matches)
        sent.transport.receive(b"HTTP/1.1 200 OK\r\nId: 9\r\n\r\nhel")
        sent.transport.end(clean=True)
        self.assertIsInstance(sent.outcome, Exception)

    def test_early_answer_to_a_long_body_ends_the_connection(self):
        sent = Sent(b"x" * 100_000)
        sent.transport.receive(WHOLE)
        self.assertEqual(sent.outcome.status, 200)
        self.assertFalse(sent.conn.reusable)

    def test_connection_that_says_close_is_not_used_again(self):
        sent = Sent()
        sent.transport.receive(WHOLE.replace(b"Id: 1", b"Connection: close"))
        self.assertFalse(sent.conn.reusable)


class AbortTests(TestCase):
    def test_aborted_request_has_no_outcome(self):
        sent = Sent()
        sent.conn.abort()
        sent.transport.end(clean=False)
        self.assertIsNone(sent.outcome)
        self.assertEqual(sent.transport.ended, "aborted")

from __future__ import annotations

import socket
from unittest import TestCase

from almondgap_daemon.http.connection import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    USER_TIMEOUT_MS,
    ClientConnection,
    Request,
    set_socket_timeouts,
)
from almondgap_daemon.http.response import (
    IncompleteResponse,
    InvalidResponse,
    Response,
    find_header,
)
from almondgap_testkit.gateways.transport import PipeTransport

COMPLETE = b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello"
FOREIGN = b"HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 5\r\n\r\nother"


def matches(headers) -> bool:
    """Return whether a response belongs to request 1."""
    return find_header(headers, b"id") == b"1"


class SentRequest:
    """A request on an in-memory connection, and its outcome."""

    def __init__(self, body: bytes = b"", **fields) -> None:
        self.conn = ClientConnection()
        self.transport = PipeTransport.connect(self.conn)
        self.send(body, **fields)

    def send(self, body: bytes = b"", **fields) -> None:
        """Send a request and store its outcome."""
        self.outcome = None
        headers = [(b"Host", b"t"), (b"Content-Length", str(len(body)).encode())]
        request = Request(b"POST", b"/a?b=%20c", headers, body, **fields)
        self.conn.send(request).addBoth(self._store)

    def _store(self, outcome) -> None:
        self.outcome = getattr(outcome, "value", outcome)


class ResponseTests(TestCase):
    def test_complete_response_in_pieces(self):
        sent = SentRequest()
        for byte in COMPLETE:
            self.assertIsNone(sent.outcome)
            sent.transport.receive(bytes([byte]))
        self.assertEqual(sent.outcome.body, b"hello")
        self.assertTrue(sent.conn.reusable)

    def test_request_is_sent_unchanged(self):
        sent = SentRequest(b"body")
        written = sent.transport.take()
        self.assertTrue(written.startswith(b"POST /a?b=%20c HTTP/1.1\r\n"))
        self.assertTrue(written.endswith(b"\r\n\r\nbody"))

    def test_truncated_response_fails(self):
        for clean in (True, False):
            sent = SentRequest()
            sent.transport.receive(COMPLETE[:-1])
            sent.transport.end(clean)
            self.assertIsInstance(sent.outcome, Exception)
            self.assertFalse(sent.conn.reusable)

    def test_response_delimited_by_connection_close(self):
        unframed = b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhello"
        sent = SentRequest()
        sent.transport.receive(unframed)
        sent.transport.end(clean=True)
        self.assertIsInstance(sent.outcome, Response)
        self.assertEqual(sent.outcome.body, b"hello")
        self.assertFalse(sent.conn.reusable)

    def test_reset_of_response_without_length_is_incomplete(self):
        sent = SentRequest()
        sent.transport.receive(b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhel")
        sent.transport.end(clean=False)
        self.assertIsInstance(sent.outcome, IncompleteResponse)

    def test_malformed_response_fails(self):
        for data in (b"\x00\x01\x02\r\n\r\n", b"HTTP/1.1 abc\r\n\r\n"):
            sent = SentRequest()
            sent.transport.receive(data)
            self.assertIsInstance(sent.outcome, InvalidResponse)
            self.assertEqual(sent.transport.ended, "aborted")

    def test_interim_response_is_skipped(self):
        sent = SentRequest()
        sent.transport.receive(b"HTTP/1.1 103 Early Hints\r\n\r\n" + COMPLETE)
        self.assertEqual(sent.outcome.status, 200)


class ExtraDataTests(TestCase):
    def test_connection_with_extra_bytes_is_not_reused(self):
        sent = SentRequest()
        sent.transport.receive(COMPLETE + b"more")
        self.assertEqual(sent.outcome.body, b"hello")
        self.assertFalse(sent.conn.reusable)

    def test_connection_with_late_bytes_is_not_reused(self):
        sent = SentRequest()
        sent.transport.receive(COMPLETE)
        sent.transport.receive(FOREIGN)
        self.assertFalse(sent.conn.reusable)
        self.assertEqual(sent.transport.ended, "aborted")

    def test_late_response_to_another_request_is_skipped(self):
        sent = SentRequest(matches=matches)
        sent.transport.receive(FOREIGN)
        self.assertIsNone(sent.outcome)
        sent.transport.receive(COMPLETE)
        self.assertEqual(sent.outcome.body, b"hello")

    def test_both_responses_in_one_piece(self):
        sent = SentRequest(matches=matches)
        sent.transport.receive(FOREIGN + COMPLETE)
        self.assertEqual(sent.outcome.body, b"hello")

    def test_unframed_response_to_another_request_fails(self):
        sent = SentRequest(matches=matches)
        sent.transport.receive(b"HTTP/1.1 200 OK\r\nId: 9\r\n\r\nhel")
        sent.transport.end(clean=True)
        self.assertIsInstance(sent.outcome, Exception)

    def test_early_response_to_a_long_body_prevents_reuse(self):
        sent = SentRequest(b"x" * 100_000)
        sent.transport.receive(COMPLETE)
        self.assertEqual(sent.outcome.status, 200)
        self.assertFalse(sent.conn.reusable)

    def test_connection_close_header_prevents_reuse(self):
        sent = SentRequest()
        sent.transport.receive(COMPLETE.replace(b"Id: 1", b"Connection: close"))
        self.assertFalse(sent.conn.reusable)


ANONYMOUS = COMPLETE.replace(b"Id: 1\r\n", b"")


def find_claim(headers) -> bool | None:
    """Return whether a response belongs to request 1, None if it does not say."""
    found = find_header(headers, b"id")
    return None if found is None else found == b"1"


class LateCopyTests(TestCase):
    """A server sends a second copy of a response where the next one is due."""

    def test_copy_that_names_no_request_is_skipped_on_a_used_connection(self):
        sent = SentRequest(matches=find_claim)
        sent.transport.receive(COMPLETE)
        self.assertTrue(sent.conn.reusable)
        sent.send(matches=find_claim)
        sent.transport.receive(ANONYMOUS.replace(b"hello", b"other"))
        self.assertIsNone(sent.outcome)
        sent.transport.receive(COMPLETE)
        self.assertEqual(sent.outcome.body, b"hello")

    def test_connection_whose_response_named_no_request_is_not_reused(self):
        sent = SentRequest(matches=find_claim)
        sent.transport.receive(ANONYMOUS)
        self.assertEqual(sent.outcome.body, b"hello")
        self.assertFalse(sent.conn.reusable)

    def test_copy_of_the_previous_response_is_skipped(self):
        sent = SentRequest(matches=find_claim)
        sent.transport.receive(COMPLETE)
        sent.send(matches=lambda headers: find_header(headers, b"id") == b"9")
        sent.transport.receive(COMPLETE)
        self.assertIsNone(sent.outcome)
        sent.transport.receive(FOREIGN)
        self.assertEqual(sent.outcome.body, b"other")


class EndlessResponseTests(TestCase):
    """A server sends bytes without end, until its peer closes."""

    #: Bytes after which the connection must have been closed.
    MAX_BYTES = 20 * 1024 * 1024

    def assert_cut(self, head: bytes, part: bytes, max_bytes: int = MAX_BYTES) -> None:
        """Assert that a response is given up, and its connection closed."""
        sent = SentRequest()
        sent.transport.receive(head)
        received = 0
        while not sent.transport.ended:
            sent.transport.receive(part)
            received += len(part)
            self.assertLessEqual(received, max_bytes)
        self.assertIsInstance(sent.outcome, InvalidResponse)
        self.assertEqual(sent.conn.ledger.total, 0)

    def test_head(self):
        self.assert_cut(b"HTTP/1.1 200 OK\r\n", b"X-A: " + b"a" * 995 + b"\r\n", 65_536)
        self.assert_cut(b"HTTP/1.1 200 OK\r\nX-A: ", b"a" * 1_000, 65_536)

    def test_interim_responses(self):
        self.assert_cut(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n", 65_536)

    def test_body_without_length(self):
        self.assert_cut(b"HTTP/1.1 200 OK\r\n\r\n", b"a" * 65_536)

    def test_body_with_a_huge_length(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"
        self.assert_cut(head, b"a" * 65_536)

    def test_chunked_body(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assert_cut(head, b"8000\r\n" + b"a" * 32_768 + b"\r\n")
        self.assert_cut(head + b"5;", b"a" * 1_000, 65_536)

    def test_trailing_bytes_end_the_connection_and_keep_the_answer(self):
        sent = SentRequest()
        sent.transport.receive(COMPLETE + b"a" * 65_536)
        self.assertEqual(sent.outcome.body, b"hello")
        self.assertTrue(sent.transport.ended)


class AbortTests(TestCase):
    def test_aborted_request_has_no_outcome(self):
        sent = SentRequest()
        sent.conn.abort()
        sent.transport.end(clean=False)
        self.assertIsNone(sent.outcome)
        self.assertEqual(sent.transport.ended, "aborted")


class SecondCopyTests(TestCase):
    """A server that writes an earlier refusal once more on a kept connection."""

    REFUSAL = b"HTTP/1.1 503 Busy\r\nId: %b\r\nContent-Length: 2\r\n\r\nno"
    UNNAMED = b"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno"
    RUN = b"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nran"

    def start(self) -> SentRequest:
        """Return a kept connection on which request 1 was refused and 2 was sent."""
        sent = SentRequest(matches=lambda headers: self.names(headers, b"1"))
        sent.transport.receive(self.REFUSAL % b"1")
        self.assertEqual(sent.outcome.status, 503)
        sent.send(matches=lambda headers: self.names(headers, b"2"))
        return sent

    def names(self, headers, request_id: bytes) -> bool | None:
        """Return whether a response names a request, None if it names none."""
        named = find_header(headers, b"id")
        return None if named is None else named == request_id

    def test_second_copy_of_a_refusal_answers_no_later_request(self):
        for copy in (self.REFUSAL % b"1", self.UNNAMED):
            for size in (1, len(copy), len(copy) + 5):
                sent = self.start()
                data = copy + self.RUN
                for start in range(0, len(data), size):
                    sent.transport.receive(data[start : start + size])
                self.assertEqual(
                    (sent.outcome.status, sent.outcome.body), (200, b"ran")
                )

    def test_second_copy_before_the_end_of_a_connection_proves_nothing(self):
        for copy in (self.REFUSAL % b"1", self.UNNAMED):
            sent = self.start()
            sent.transport.receive(copy)
            sent.transport.end()
            self.assertIsInstance(sent.outcome, IncompleteResponse)


class TruncatedHeadTests(TestCase):
    def test_response_that_ends_in_its_head_is_incomplete(self):
        heads = (
            COMPLETE.partition(b"hello")[0],
            b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
        )
        for head in heads:
            for length in range(len(head)):
                for clean in (True, False):
                    sent = SentRequest(matches=matches)
                    if length:
                        sent.transport.receive(head[:length])
                    sent.transport.end(clean)
                    with self.subTest(head=head[:length], clean=clean):
                        self.assertIsInstance(
                            sent.outcome, IncompleteResponse | InvalidResponse
                        )


class SocketTimeoutTests(TestCase):
    """Silent links: ``TCP_USER_TIMEOUT`` also decides when probes give up.

    A probe follows each second without a byte. The kernel breaks the connection at the
    first probe that is due after the time-out, if one is unanswered.
    """

    #: Time within which hosts must notice a silent link.
    CONTACT_MS = 3_000

    def test_one_lost_probe_breaks_no_connection(self):
        second_probe_ms = (KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S) * 1_000
        self.assertGreater(USER_TIMEOUT_MS, second_probe_ms)

    def test_silent_link_is_noticed_in_time_with_and_without_bytes_under_way(self):
        idle_ms, interval_ms = KEEPALIVE_IDLE_S * 1_000, KEEPALIVE_INTERVAL_S * 1_000
        probes = range(idle_ms, 10_000, interval_ms)
        noticed_ms = next(at for at in probes if at >= USER_TIMEOUT_MS)
        self.assertLessEqual(noticed_ms, self.CONTACT_MS)
        self.assertLess(USER_TIMEOUT_MS, self.CONTACT_MS)

    def test_options_are_set(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            near = socket.create_connection(server.getsockname())
            with near:
                set_socket_timeouts(SocketTransport(near))
                for level, option, value in (
                    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
                    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
                    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
                    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
                ):
                    self.assertEqual(near.getsockopt(level, option), value)


class SocketTransport:
    """A transport around a socket, as far as time-outs are concerned."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, enabled)

    def getHandle(self) -> socket.socket:  # noqa: N802
        return self.sock

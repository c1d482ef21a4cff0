from __future__ import annotations

from math import inf
from unittest import TestCase

from almondgap_core.units import millis, seconds
from almondgap_core.verdict import Reason
from almondgap_daemon.platform.headers import (
    RELAYED,
    make_relay_headers,
    make_request_headers,
    make_response_headers,
    parse_caller_headers,
    parse_leaving,
    parse_load,
    parse_rate_limit,
    parse_reason,
    parse_retry_after,
    parse_warm_up_left,
)

CALLER = [
    (b"Host", b"Shop.Example:8080"),
    (b"X-Almondgap-Request-Attempt-Id", b"abc"),
    (b"X-Almondgap-Affinity-Key", b"17"),
    (b"X-Almondgap-Deadline-Ms", b"2500"),
    (b"Authorization", b"Bearer secret"),
    (b"X-Almondgap-Tenant", b"somebody"),
    (b"x-almondgap-expect-instance", b"elsewhere"),
    (b"Connection", b"keep-alive, X-Private"),
    (b"X-Private", b"1"),
    (b"Keep-Alive", b"timeout=5"),
    (b"Accept", b"*/*"),
    (b"Content-Length", b"3"),
]


class CallerTests(TestCase):
    def test_caller_headers(self):
        parsed = parse_caller_headers(CALLER)
        self.assertEqual(parsed.host, "shop.example")
        self.assertEqual(parsed.request_id, "abc")
        self.assertEqual(parsed.affinity_key, "17")
        self.assertEqual(parsed.key, "secret")
        self.assertEqual(parsed.timeout, millis(2_500))

    def test_invalid_timeouts_become_the_default(self):
        for value in (b"", b"soon", b"nan", b"inf", b"-1"):
            parsed = parse_caller_headers([(b"X-Almondgap-Deadline-Ms", value)])
            self.assertEqual(parsed.timeout, seconds(30), value)

    def test_other_schemes_have_no_key(self):
        parsed = parse_caller_headers([(b"Authorization", b"Basic c2VjcmV0")])
        self.assertEqual(parsed.key, "")


class NoticeTests(TestCase):
    """What targets say of themselves in their answers."""

    def test_only_one_says_that_a_target_leaves(self):
        self.assertTrue(parse_leaving([(b"Server-Leaving", b" 1 ")]))
        for value in (b"", b"0", b"2", b"01", b"yes", b"1" * 500):
            self.assertFalse(parse_leaving([(b"Server-Leaving", value)]), value)
        self.assertFalse(parse_leaving([]))

    def test_first_of_two_headers_counts(self):
        twice = [(b"Server-Leaving", b"0"), (b"Server-Leaving", b"1")]
        self.assertFalse(parse_leaving(twice))
        twice = [(b"Retry-After", b"2"), (b"Retry-After", b"9")]
        self.assertEqual(parse_retry_after(503, twice), seconds(2))

    def test_decimal_numbers_are_delays(self):
        for value, delay in (
            (b"0", 0),
            (b"0.3", millis(300)),
            (b" 20 ", seconds(20)),
            (b"3600", seconds(3_600)),
            (b"999999999", seconds(86_400)),
        ):
            self.assertEqual(parse_retry_after(503, [(b"Retry-After", value)]), delay)

    def test_other_values_say_nothing(self):
        date = b"Fri, 31 Dec 1999 23:59:59 GMT"
        for value in (b"", date, b"-1", b"1e9", b"nan", b"+1", b"1,5", b"9" * 400):
            headers = [(b"Retry-After", value)]
            self.assertIsNone(parse_retry_after(503, headers), value)
        self.assertIsNone(parse_retry_after(503, []))

    def test_delay_counts_only_if_a_request_was_turned_away(self):
        for status in (200, 429, 500, 502):
            self.assertIsNone(parse_retry_after(status, [(b"Retry-After", b"5")]))


class RelayTests(TestCase):
    def test_attempts_and_version_reach_the_other_host(self):
        sent = make_relay_headers(CALLER, 2, 2**40, millis(1_234), 3)
        parsed = parse_caller_headers(sent)
        self.assertEqual((parsed.prior_attempts, parsed.min_version), (2, 2**40))
        self.assertEqual(parsed.key, "secret")
        self.assertEqual(parsed.timeout, millis(1_234))

    def test_malformed_marks_count_no_attempt_and_need_no_version(self):
        for value in (
            b"",
            b"2",
            b"-1 0",
            b"1 2 3",
            b"1,2",
            b"9999 1",
            b"1 " + b"9" * 21,
        ):
            parsed = parse_caller_headers([(b"Almondgap-Relayed", value)])
            self.assertEqual((parsed.prior_attempts, parsed.min_version), (0, 0))
        parsed = parse_caller_headers(CALLER)
        self.assertEqual((parsed.prior_attempts, parsed.min_version), (None, 0))

    def test_mark_of_a_caller_is_replaced(self):
        marked = [*CALLER, (b"almondgap-relayed", b"7 7")]
        sent = make_relay_headers(marked, 0, 1, millis(5), 3)
        marks = [value for name, value in sent if name.lower() == RELAYED]
        self.assertEqual(marks, [b"0 1"])


class RefusalTests(TestCase):
    def test_only_known_reasons_are_read(self):
        reason = parse_reason([(b"Almondgap-Reason", b"no-target")])
        self.assertIs(reason, Reason.NO_TARGET)
        for headers in ([], [(b"Almondgap-Reason", b"x" * 500)]):
            self.assertIsNone(parse_reason(headers))


class RequestTests(TestCase):
    def test_target_sees_its_name_account_and_time_but_no_key(self):
        forwarded = make_request_headers(CALLER, "i-1", "one", millis(1_234), 3)
        names = dict((name.lower(), value) for name, value in forwarded)
        self.assertEqual(names[b"x-almondgap-expect-instance"], b"i-1")
        self.assertEqual(names[b"x-almondgap-tenant"], b"one")
        self.assertEqual(names[b"x-almondgap-deadline-ms"], b"1234")
        self.assertEqual(names[b"x-almondgap-request-attempt-id"], b"abc")
        self.assertEqual(names[b"accept"], b"*/*")
        self.assertNotIn(b"authorization", names)
        self.assertNotIn(b"x-private", names)
        self.assertNotIn(b"keep-alive", names)
        self.assertEqual(len(names), len(forwarded))

    def test_account_header_of_a_caller_is_dropped(self):
        forwarded = make_request_headers(CALLER, "i-1", "", 0, 3)
        self.assertNotIn(b"x-almondgap-tenant", {name.lower() for name, _ in forwarded})

    def test_chunked_body_gets_a_length(self):
        headers = [(b"Host", b"x"), (b"Transfer-Encoding", b"chunked")]
        forwarded = make_request_headers(headers, "i-1", "", 0, 42)
        self.assertIn((b"Content-Length", b"42"), forwarded)
        self.assertNotIn(b"transfer-encoding", {name.lower() for name, _ in forwarded})


class ResponseTests(TestCase):
    def test_length_is_that_of_the_body(self):
        headers = [(b"Content-Length", b"9"), (b"Connection", b"close"), (b"A", b"b")]
        self.assertEqual(
            make_response_headers(headers, 5), [(b"A", b"b"), (b"Content-Length", b"5")]
        )

    def test_load_and_warm_up_time(self):
        self.assertEqual(parse_load([(b"X-Almondgap-Server-Load", b"3,1,8")]), (3, 1))
        self.assertIsNone(parse_load([(b"X-Almondgap-Server-Load", b"many")]))
        self.assertIsNone(parse_load([]))

    def test_load_that_no_target_can_have(self):
        # Guards against a load too large for arithmetic with fractions.
        for value in (b"9" * 400, b"9" * 5_000, b"1e9", b"-1", b"\xb2"):
            load = parse_load([(b"X-Almondgap-Server-Load", value + b",0,8")])
            self.assertIsNone(load, value[:10])
        for value in (b"1e300", b"1e400", b"nan", b"-1", b"9" * 5_000):
            left = parse_warm_up_left([(b"X-Almondgap-Cold-Ms", value)])
            self.assertLessEqual(left, seconds(86_400))
        self.assertEqual(
            parse_warm_up_left([(b"X-Almondgap-Cold-Ms", b"250")]), 250_000
        )
        self.assertEqual(parse_warm_up_left([(b"X-Almondgap-Cold-Ms", b"inf")]), 0)
        self.assertEqual(parse_warm_up_left([]), 0)

    def test_malformed_rate_limits_are_neither_a_limit_nor_its_end(self):
        for value in (
            b"",
            b"nan",
            b"inf",
            b"-1",
            b"+1",
            b"1_0",
            b"1e3",
            b"2,5",
            b"9" * 99,
        ):
            self.assertIsNone(parse_rate_limit([(b"Server-Limit", value)]), value)
        for value, rate in (
            (b"2.5", 2.5),
            (b" 0 ", 0.0),
            (b"100", 100.0),
            (b".5", 0.5),
        ):
            self.assertEqual(parse_rate_limit([(b"Server-Limit", value)]), rate)
        self.assertEqual(parse_rate_limit([]), inf)

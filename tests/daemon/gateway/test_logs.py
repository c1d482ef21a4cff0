from __future__ import annotations

import json
import os
from unittest import TestCase

from almondgap_core.gateway.reports import (
    ConfigurationChanged,
    RequestAnswered,
    RetryDenied,
)
from almondgap_daemon.gateway.logs import MAX_BUFFERED_BYTES, LineWriter, ReportLog

ANSWERED = RequestAnswered(
    "r1", "one", "shop", True, "t1", 200, 12, 10, False, 0, False, 1
)


class LogPipe:
    """A report log that writes into a pipe, with a clock that the test sets."""

    def __init__(self, lines_per_s: int = 10) -> None:
        self.reader, self.fd = os.pipe()
        os.set_blocking(self.reader, False)
        self.now = 100.0
        self.tail = b""
        self.writer = LineWriter(self.fd)
        self.log = ReportLog(self.writer, "h1", lines_per_s, lambda: self.now)

    def read(self) -> list[dict]:
        """Return the lines written since the last call."""
        data, self.tail = self.tail, b""
        try:
            while chunk := os.read(self.reader, 65_536):
                data += chunk
        except BlockingIOError:
            pass
        complete, _, self.tail = data.rpartition(b"\n")
        return [json.loads(line) for line in complete.splitlines()]

    def close(self) -> None:
        """Close both ends of the pipe."""
        os.close(self.reader)
        os.close(self.fd)


class LogTests(TestCase):
    def build(self, **fields) -> LogPipe:
        pipe = LogPipe(**fields)
        self.addCleanup(pipe.close)
        return pipe

    def test_line_has_event_host_and_fields(self):
        pipe = self.build()
        pipe.log.write_report(ANSWERED)
        (line,) = pipe.read()
        self.assertEqual(line["event"], "request answered")
        self.assertEqual(line["host"], "h1")
        self.assertEqual(line["took_ms"], 12)

    def test_lines_about_requests_are_limited_and_counted(self):
        pipe = self.build(lines_per_s=10)
        for _ in range(50):
            pipe.log.write_report(ANSWERED)
        pipe.log.write_report(ConfigurationChanged(2, 1, 3, 4))
        pipe.log.tick()
        lines = pipe.read()
        events = [line["event"] for line in lines]
        self.assertEqual(events.count("request answered"), 7)
        self.assertEqual(events.count("configuration changed"), 1)
        self.assertEqual(lines[-1]["bounded"], 43)

    def test_some_lines_are_reserved_for_failed_requests(self):
        pipe = self.build(lines_per_s=10)
        for _ in range(50):
            pipe.log.write_report(ANSWERED)
        pipe.log.write_report(RetryDenied("r2", "shop", 0.5))
        self.assertEqual(pipe.read()[-1]["event"], "retry denied")

    def test_limit_resets_every_second(self):
        pipe = self.build(lines_per_s=10)
        for _ in range(3):
            for _ in range(50):
                pipe.log.write_report(ANSWERED)
            pipe.now += 1
        self.assertEqual(len(pipe.read()), 21)

    def test_stalled_reader_does_not_block_the_writer(self):
        pipe = self.build()
        written = 0
        while pipe.writer.dropped < 100:
            pipe.log.write("filler", text="x" * 1_000)
            written += 1
            self.assertLess(written, 2_000)
        buffered = pipe.writer._buffer
        self.assertLessEqual(len(buffered), MAX_BUFFERED_BYTES)
        tail = []
        for _ in range(12):
            tail += pipe.read()
            pipe.log.tick()
        tail += pipe.read()
        dropped = [line for line in tail if line["event"] == "lines left out"]
        self.assertEqual(dropped[0]["unread"], 100)

"""JSON log lines on standard output, rate-limited and written without blocking.

When the reader of the log falls behind, lines are dropped and counted instead of
delaying requests. Lines about single requests are limited per second; lines about the
state of the host are not, since there are few of them.
"""

from __future__ import annotations

import os
import re
from collections.abc import Callable

import structlog
from attrs import asdict, define

from almondgap_core.gateway.reports import (
    AttemptLost,
    CallerGone,
    Report,
    RequestAnswered,
    RequestPlaced,
    RequestRefused,
    RequestRetried,
    RetryDenied,
)

#: Size of the output buffer, in bytes; lines that do not fit are dropped.
MAX_BUFFERED_BYTES = 256 * 1024

#: Reports that are limited per second, since there are several for each request.
REQUEST_REPORTS = (
    AttemptLost,
    CallerGone,
    RequestAnswered,
    RequestPlaced,
    RequestRefused,
    RequestRetried,
    RetryDenied,
)

#: Share of a second's lines that successful requests may use; the rest is reserved for
#: requests that failed.
ROUTINE_SHARE = 0.7


def format_event_name(kind: type[Report]) -> str:
    """Return a report's event name: ``RequestPlaced`` is ``request placed``."""
    return re.sub(r"(?<!^)([A-Z])", r" \1", kind.__name__).lower()


@define
class LineWriter:
    """Writes lines to a non-blocking file descriptor through a bounded buffer.

    :ivar dropped: lines dropped since the last report of dropped lines.
    """

    fd: int
    dropped: int = 0
    _buffer: bytes = b""

    def __attrs_post_init__(self) -> None:
        os.set_blocking(self.fd, False)

    def write(self, line: str) -> None:
        """Write or buffer a line; drop it when the buffer is full."""
        data = line.encode() + b"\n"
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffer += data
        self.flush()

    @property
    def congested(self) -> bool:
        """Whether the buffer is more than half full."""
        return len(self._buffer) > MAX_BUFFERED_BYTES // 2

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        try:
            while self._buffer:
                count = os.write(self.fd, self._buffer)
                self._buffer = self._buffer[count:]
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, and there is no other place to report it.
            self._buffer = b""

    # The method names that structlog calls on a logger.
    msg = info = warning = error = debug = write


@define
class ReportLog:
    """Writes reports as JSON lines.

    :ivar lines_per_s: limit of lines about requests, per second.
    :ivar clock: returns the Unix time in seconds.
    """

    writer: LineWriter
    host: str
    lines_per_s: int
    clock: Callable[[], float]
    _render: Callable = structlog.processors.JSONRenderer()
    _second: int = 0
    _lines_this_second: int = 0
    _suppressed: int = 0

    def write_report(self, report: Report) -> None:
        """Write a report, unless the limit of lines per second is reached."""
        if isinstance(report, REQUEST_REPORTS) and not self._within_rate(report):
            self._suppressed += 1
            return
        self.write(format_event_name(type(report)), **asdict(report))

    def write(self, event: str, **fields) -> None:
        """Write a line with named fields."""
        now = round(self.clock(), 3)
        line = {"at": now, "host": self.host, "event": event, **fields}
        self.writer.write(self._render(None, "info", line))

    def tick(self) -> None:
        """Flush the buffer and report the number of lines dropped since the last call.

        Called periodically.
        """
        self.writer.flush()
        if self.writer.congested:
            # This line could be dropped too, and the count would be lost with it.
            return
        dropped, self.writer.dropped = self.writer.dropped, 0
        suppressed, self._suppressed = self._suppressed, 0
        if dropped or suppressed:
            self.write("lines left out", bounded=suppressed, unread=dropped)

    def _within_rate(self, report: Report) -> bool:
        second = int(self.clock())
        if second != self._second:
            self._second = second
            self._lines_this_second = 0
        routine = isinstance(report, RequestPlaced | RequestAnswered)
        limit = self.lines_per_s * (ROUTINE_SHARE if routine else 1.0)
        if self._lines_this_second >= limit:
            return False
        self._lines_this_second += 1
        return True

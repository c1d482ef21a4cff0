"""Lines of the log on standard output: bounded in number, and never in the way.

A reader that stops reading costs lines, not time: what does not fit is dropped and
counted. Lines about single requests are bounded by second; lines about what the host
believes are not, since they are few.
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

#: Bytes that wait for a reader before lines are dropped.
MAX_BUFFERED_BYTES = 256 * 1024

#: Reports about a single request.
REQUEST_REPORTS = (
    AttemptLost,
    CallerGone,
    RequestAnswered,
    RequestPlaced,
    RequestRefused,
    RequestRetried,
    RetryDenied,
)

#: Part of the lines of a second that is kept for requests that failed.
ROUTINE_SHARE = 0.7


def format_event_name(kind: type[Report]) -> str:
    """Return the name of an event: ``RequestPlaced`` is ``request placed``."""
    return re.sub(r"(?<!^)([A-Z])", r" \1", kind.__name__).lower()


@define
class LineWriter:
    """Writes to a file descriptor without ever waiting for its reader.

    :ivar dropped: lines that did not fit and were not yet reported.
    """

    fd: int
    dropped: int = 0
    _buffer: bytes = b""

    def __attrs_post_init__(self) -> None:
        os.set_blocking(self.fd, False)

    def write(self, line: str) -> None:
        """Write a line, or keep it for later, or drop it."""
        data = line.encode() + b"\n"
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffer += data
        self.flush()

    @property
    def congested(self) -> bool:
        """Whether the reader is so far behind that lines may be dropped."""
        return len(self._buffer) > MAX_BUFFERED_BYTES // 2

    def flush(self) -> None:
        """Write what the reader has room for."""
        try:
            while self._buffer:
                count = os.write(self.fd, self._buffer)
                self._buffer = self._buffer[count:]
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more, and there is no other place to say so.
            self._buffer = b""

    # structlog's name for writing a line.
    msg = info = warning = error = debug = write


@define
class ReportLog:
    """Writes reports as JSON lines.

    :ivar lines_per_s: lines about requests that are written in a second.
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
        """Write a report, unless there were too many of its kind this second."""
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
        """Write what is left, and how many lines were left out."""
        self.writer.flush()
        if self.writer.congested:
            # The line would be dropped as well, and the count with it.
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

"""Timeline of one request, assembled from the logs of several hosts.

It holds the lines about the request, and for each of its hosts the latest earlier
state changes that can affect its routing.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

from attrs import Factory, define, frozen

#: Events that change the state of a whole host and so can affect any request.
HOST_WIDE_EVENTS = frozenset(
    {
        "configuration changed",
        "evacuation changed",
        "store changed",
        "table behind",
        "settings read",
        "settings kept",
        "stop begun",
        "host started",
        "lines left out",
    }
)

#: Fields that are on every line and not repeated in its description.
COMMON_FIELDS = frozenset({"at", "host", "event", "request"})


@frozen
class LogLine:
    """A line of a host's log.

    :ivar at: seconds since 1970 on the host's clock.
    """

    at: float
    host: str
    event: str
    fields: dict[str, Any]

    def describe(self, since: float) -> str:
        """Return the line as text, with its offset from ``since`` in seconds."""
        parts = [
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in COMMON_FIELDS and value not in (None, "")
        ]
        return f"{self.at - since:+9.3f} s  {self.host}  {self.event}: " + " ".join(
            parts
        )


@define
class RequestTimeline:
    """Log lines about one request, with the state changes that precede them.

    :ivar lines: lines about the request, by time.
    :ivar context: the latest state changes of its hosts up to its last line that can
        affect the request, by time.
    """

    request: str
    lines: list[LogLine] = Factory(list)
    context: list[LogLine] = Factory(list)

    @classmethod
    def from_lines(cls, request: str, texts: Iterable[str]) -> RequestTimeline:
        """Return the timeline of a request; other texts are skipped."""
        lines = sorted(read_lines(texts), key=lambda line: line.at)
        about = [line for line in lines if line.fields.get("request") == request]
        timeline = cls(request, about)
        if about:
            timeline.context = _find_context(about, lines)
        return timeline

    def describe(self) -> Iterator[str]:
        """Yield the timeline as text."""
        if not self.lines:
            yield f"no line about request {self.request}"
            return
        since = self.lines[0].at
        if self.context:
            yield "State of the hosts before the request:"
            yield from (line.describe(since) for line in self.context)
        yield f"Request {self.request}:"
        yield from (line.describe(since) for line in self.lines)


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines among texts; a prefix before the JSON is ignored."""
    for text in texts:
        start = text.find('{"at":')
        if start < 0:
            continue
        try:
            node = json.loads(text[start:])
            yield LogLine(float(node["at"]), node["host"], node["event"], node)
        except (ValueError, TypeError, KeyError):
            continue


def _find_context(about: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    """Return the latest relevant state changes on the hosts of a request."""
    hosts = {line.host for line in about}
    targets = {line.fields.get("target") for line in about}
    latest: dict[tuple, LogLine] = {}
    for line in lines:
        if line.at > about[-1].at or line.host not in hosts:
            continue
        if line.event in HOST_WIDE_EVENTS:
            latest[line.host, line.event] = line
        elif line.event == "target changed" and line.fields.get("target") in targets:
            latest[line.host, line.event, line.fields["target"]] = line
    return sorted(latest.values(), key=lambda line: line.at)

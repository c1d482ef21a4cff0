"""What requests were lost to, or late by, from the logs of hosts on the platform."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

from attrs import Factory, define

from almondgap_cli.stories import LogLine

#: Length of the periods of the table, in seconds.
PERIOD_S = 2.0

#: Causes of late answers, in the order in which they are looked for.
LATE_CAUSES = ("retried", "fetched", "queued", "slow")


@define
class LossTable:
    """Requests by outcome and cause, for each period and service.

    :ivar counts: number of requests by start of the period in seconds after the first
        line, service and outcome.
    :ivar suppressed: lines that hosts left out, so that requests are missing here.
    """

    counts: dict[tuple[float, str], Counter] = Factory(lambda: defaultdict(Counter))
    suppressed: int = 0

    @classmethod
    def from_lines(cls, lines: Iterable[LogLine]) -> LossTable:
        """Return the table of all requests that the lines tell of."""
        table = cls()
        ordered = sorted(lines, key=lambda line: line.at)
        for line in ordered:
            since = line.at - ordered[0].at
            period = since // PERIOD_S * PERIOD_S
            service = line.fields.get("service") or "-"
            if line.event == "request answered":
                table.counts[period, service][classify_answer(line.fields)] += 1
            elif line.event == "request refused":
                reason = line.fields.get("reason", "unknown")
                table.counts[period, service][f"refused {reason}"] += 1
            elif line.event == "lines left out":
                table.suppressed += line.fields.get("bounded", 0)
                table.suppressed += line.fields.get("unread", 0)
        return table

    def describe(self) -> Iterator[str]:
        """Yield the table as text, each period and service with its causes."""
        for (period, service), counts in sorted(self.counts.items()):
            causes = ", ".join(
                f"{outcome} {number}" for outcome, number in sorted(counts.items())
            )
            yield f"{period:6.1f} s  {service}: {causes}"
        total = Counter()
        for counts in self.counts.values():
            total.update(counts)
        yield "all: " + ", ".join(
            f"{outcome} {number}" for outcome, number in sorted(total.items())
        )
        if self.suppressed:
            yield f"{self.suppressed} lines were left out by the hosts"


def classify_answer(fields: dict) -> str:
    """Return the outcome of an answered request, with the cause if it was late."""
    if fields.get("status", 0) >= 400:
        return f"status {fields['status']}"
    if not fields.get("late"):
        return "on time"
    found = {
        "retried": fields.get("attempts", 1) > 1,
        "fetched": fields.get("fetched", False),
        "queued": fields.get("waiting", 0) > 0,
        "slow": True,
    }
    return "late " + next(cause for cause in LATE_CAUSES if found[cause])

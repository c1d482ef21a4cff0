"""Metrics: counters by statsd, latency histograms per client account."""

from __future__ import annotations

from attrs import Factory, define
from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from almondgap_core.effects import Finished
from almondgap_core.units import MICROS_PER_MILLI
from almondgap_daemon.rim import MetricsSink

HIGHEST_MICROS = 600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

#: Name under which requests without a client account are counted.
NO_ACCOUNT = "-"


class NullSink:
    """A metrics sink that forgets everything."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Forget a count."""

    def timing(self, stat: str, delta: float) -> None:
        """Forget a duration."""


def make_sink(cfg) -> MetricsSink:
    """Return the sink that the settings name."""
    if cfg.statsd is None:
        return NullSink()
    return StatsClient(cfg.statsd.address, cfg.statsd.port, prefix="almondgap")


@define
class Metrics:
    """Counts and histograms of one host.

    :ivar histograms: time from arrival to the end of the answer, in microseconds.
    :ivar counts: answers by account, status and verdict.
    """

    sink: MetricsSink
    histograms: dict[str, HdrHistogram] = Factory(dict)
    counts: dict[tuple[str, int, str], int] = Factory(dict)

    def record(self, end: Finished) -> None:
        """Count one request that is over."""
        account = end.account or NO_ACCOUNT
        key = (account, end.status, end.verdict.value)
        self.counts[key] = self.counts.get(key, 0) + 1
        histogram = self.histograms.get(account)
        if histogram is None:
            histogram = HdrHistogram(1, HIGHEST_MICROS, SIGNIFICANT_DIGITS)
            self.histograms[account] = histogram
        histogram.record_value(min(max(end.elapsed, 1), HIGHEST_MICROS))
        self.sink.incr(f"requests.{account}.{end.status}")
        self.sink.timing(f"latency.{account}", end.elapsed / MICROS_PER_MILLI)

    def summarize(self) -> dict[str, dict[str, float]]:
        """Return percentiles per client account, in milliseconds."""
        return {
            account: _summarize(histogram)
            for account, histogram in sorted(self.histograms.items())
        }


def _summarize(histogram: HdrHistogram) -> dict[str, float]:
    summary = {"count": histogram.get_total_count()}
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile)
        summary[f"p{percentile:g}_ms"] = value / MICROS_PER_MILLI
    return summary

"""Metrics: statsd counters, and latency histograms per client account."""

from __future__ import annotations

from attrs import Factory, define
from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from almondgap_core.effects import Finished
from almondgap_core.units import MICROS_PER_MILLI
from almondgap_daemon.interfaces import MetricsSink

MAX_LATENCY_MICROS = 600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

#: Label of requests without a client account.
NO_ACCOUNT = "-"


class NullSink:
    """A metrics sink that discards everything."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Discard a count."""

    def timing(self, stat: str, delta: float) -> None:
        """Discard a duration."""


def make_sink(cfg) -> MetricsSink:
    """Return a statsd client, or a null sink if none is configured."""
    if cfg.statsd is None:
        return NullSink()
    return StatsClient(cfg.statsd.address, cfg.statsd.port, prefix="almondgap")


@define
class Metrics:
    """Counters and histograms of one host.

    :ivar histograms: time from arrival to the end of the answer by client account, in
        microseconds.
    :ivar counts: answers by client account, status and verdict.
    """

    sink: MetricsSink
    histograms: dict[str, HdrHistogram] = Factory(dict)
    counts: dict[tuple[str, int, str], int] = Factory(dict)

    def record(self, finished: Finished) -> None:
        """Record a finished request."""
        account = finished.account or NO_ACCOUNT
        key = (account, finished.status, finished.verdict.value)
        self.counts[key] = self.counts.get(key, 0) + 1
        histogram = self.histograms.get(account)
        if histogram is None:
            histogram = _make_histogram()
            self.histograms[account] = histogram
        histogram.record_value(min(max(finished.elapsed, 1), MAX_LATENCY_MICROS))
        name = account.replace(".", "_")
        self.sink.incr(f"requests.{name}.{finished.status}")
        self.sink.incr(f"verdicts.{finished.verdict.value}")
        self.sink.timing(f"latency.{name}", finished.elapsed / MICROS_PER_MILLI)

    def encode(self) -> dict[str, str]:
        """Return the histograms in an encoding that can be merged across hosts."""
        return {
            account: histogram.encode().decode()
            for account, histogram in sorted(self.histograms.items())
        }

    def summarize(self) -> dict[str, dict[str, float]]:
        """Return percentiles per client account, in milliseconds."""
        return {
            account: summarize(histogram)
            for account, histogram in sorted(self.histograms.items())
        }


def merge_histograms(parts: list[dict[str, str]]) -> dict[str, HdrHistogram]:
    """Return the sum of several hosts' encoded histograms, per client account."""
    merged: dict[str, HdrHistogram] = {}
    for part in parts:
        for account, encoded in part.items():
            if account not in merged:
                merged[account] = _make_histogram()
            merged[account].decode_and_add(encoded)
    return merged


def summarize(histogram: HdrHistogram) -> dict[str, float]:
    """Return a histogram's count, and its percentiles in milliseconds."""
    summary = {"count": histogram.get_total_count()}
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile)
        summary[f"p{percentile:g}_ms"] = value / MICROS_PER_MILLI
    return summary


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)

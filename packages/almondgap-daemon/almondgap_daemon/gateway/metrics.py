"""Prometheus metrics by client account, kind of request and service.

Latency histograms count requests that a target answered; counters count refusals by
reason.
"""

from __future__ import annotations

from bisect import bisect_left

from attrs import Factory, define, field, frozen

from almondgap_core.gateway.reports import Report, RequestAnswered, RequestRefused

#: Upper bounds of the histogram buckets, in seconds, chosen to resolve the current
#: latency goals of 0.25 to 0.8 s and time-outs of up to 6 s.
LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0)


@frozen
class Labels:
    """Labels of a time series.

    :ivar kind: ``idempotent`` or ``once``.
    """

    account: str
    kind: str
    service: str


@define
class Histogram:
    """Counts of latencies by bucket; the last bucket has no upper bound.

    :ivar sum_s: sum of all latencies, in seconds.
    """

    counts: list[int] = Factory(lambda: [0] * (len(LATENCY_BUCKETS_S) + 1))
    sum_s: float = 0.0

    def add(self, latency_s: float) -> None:
        """Record a latency in seconds."""
        self.counts[bisect_left(LATENCY_BUCKETS_S, latency_s)] += 1
        self.sum_s += latency_s


@define(eq=False)
class GatewayMetrics:
    """Metrics of one host since its start."""

    latencies: dict[Labels, Histogram] = Factory(dict)
    refusals: dict[tuple[Labels, str], int] = Factory(dict)
    gauges: dict[str, float] = Factory(dict)
    _registry: object = field(init=False, default=None)

    def record_report(self, report: Report) -> None:
        """Record an answered or refused request; other reports are ignored."""
        if isinstance(report, RequestAnswered):
            labels = _make_labels(report)
            histogram = self.latencies.get(labels)
            if histogram is None:
                histogram = self.latencies[labels] = Histogram()
            histogram.add(report.took_ms / 1000)
        elif isinstance(report, RequestRefused):
            key = (_make_labels(report), report.reason)
            self.refusals[key] = self.refusals.get(key, 0) + 1

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # Imported on the first scrape, since the import would delay the host's start.
        from prometheus_client import CollectorRegistry, generate_latest

        if self._registry is None:
            self._registry = CollectorRegistry()
            self._registry.register(self)
        return generate_latest(self._registry)

    def collect(self):
        """Yield the metric families; called by the Prometheus registry."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        names = ["account", "kind", "service"]
        answers = HistogramMetricFamily(
            "almondgap_answer_seconds",
            "Time from a request to its answer by a target.",
            labels=names,
        )
        for labels, histogram in self.latencies.items():
            buckets, cumulative = [], 0
            for bound, count in zip(
                (*map(str, LATENCY_BUCKETS_S), "+Inf"), histogram.counts, strict=True
            ):
                cumulative += count
                buckets.append((bound, cumulative))
            answers.add_metric(_label_values(labels), buckets, histogram.sum_s)
        yield answers
        refusals = CounterMetricFamily(
            "almondgap_refusals",
            "Answers of the host's own, by reason.",
            labels=[*names, "reason"],
        )
        for (labels, reason), count in self.refusals.items():
            refusals.add_metric([*_label_values(labels), reason], count)
        yield refusals
        for name, value in self.gauges.items():
            yield GaugeMetricFamily(f"almondgap_{name}", name, value=value)


def _make_labels(report: RequestAnswered | RequestRefused) -> Labels:
    kind = "idempotent" if report.idempotent else "once"
    return Labels(report.account, kind, report.service)


def _label_values(labels: Labels) -> list[str]:
    return [labels.account, labels.kind, labels.service]

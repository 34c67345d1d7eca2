"""Counters, gauges and histograms of one process.

Values are kept as plain numbers and converted by `prometheus_client` only when they are rendered:
importing that library takes a tenth of the start-up time of a small host, and updating metrics
through it a tenth of the cost of a request.
"""

from __future__ import annotations

import bisect

import attrs

from flamingoramp import value_classes

LATENCY_BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.74, 1, 2.5, 5, 10, 30, 60, 120)
PROMPT_LENGTH_BOUNDS_TOKENS = (4_000, 16_000, 64_000, 100_000, 250_000, 500_000, 1_000_000)
METRIC_NAME_PREFIX = "flamingoramp_"

Labels = tuple[tuple[str, str], ...]


def prompt_length_bucket(tokens: int) -> str:
    """Return the label of the length bucket of a prompt, such as ``<=4000`` tokens."""
    for bound in PROMPT_LENGTH_BOUNDS_TOKENS:
        if tokens <= bound:
            return f"<={bound}"
    return f">{PROMPT_LENGTH_BOUNDS_TOKENS[-1]}"


@attrs.define(eq=False, repr=False)
class _Histogram(value_classes.MutableValue):
    counts: list[int] = attrs.field(factory=lambda: [0] * (len(LATENCY_BUCKETS_SECONDS) + 1))
    sum_seconds: float = 0.0

    def observe(self, seconds: float) -> None:
        """Add an observation."""
        self.counts[bisect.bisect_left(LATENCY_BUCKETS_SECONDS, seconds)] += 1
        self.sum_seconds += seconds

    def buckets(self) -> list[tuple[str, float]]:
        """Return each upper bound with the number of observations up to it."""
        bounds = [*(str(float(bound)) for bound in LATENCY_BUCKETS_SECONDS), "+Inf"]
        buckets = []
        cumulative_count = 0
        for bound, count in zip(bounds, self.counts, strict=True):
            cumulative_count += count
            buckets.append((bound, cumulative_count))
        return buckets


class Metrics:
    """Metrics of one process; each series is created by its first update."""

    def __init__(self):
        self._counters: dict[str, dict[Labels, float]] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, dict[Labels, _Histogram]] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add an amount to a counter."""
        series = self._counters.setdefault(name, {})
        key = tuple(labels.items())
        series[key] = series.get(key, 0) + amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge to a value."""
        self._gauges[name] = value

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add an observation to a histogram of durations in seconds."""
        series = self._histograms.setdefault(name, {})
        key = tuple(labels.items())
        histogram = series.get(key)
        if histogram is None:
            histogram = series[key] = _Histogram()
        histogram.observe(seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # Imported on first use, since the import would delay the start of the process.
        import prometheus_client
        from prometheus_client import registry

        collector_registry = registry.CollectorRegistry()
        collector_registry.register(self)
        return prometheus_client.generate_latest(collector_registry)

    def collect(self) -> list:
        """Return all metrics as `prometheus_client` metric families."""
        from prometheus_client import core

        families = []
        for name, counters in self._counters.items():
            family = core.CounterMetricFamily(
                METRIC_NAME_PREFIX + name, name, labels=_label_names(counters)
            )
            for labels, value in counters.items():
                family.add_metric([label_value for _, label_value in labels], value)
            families.append(family)
        for name, value in self._gauges.items():
            families.append(core.GaugeMetricFamily(METRIC_NAME_PREFIX + name, name, value=value))
        for name, histograms in self._histograms.items():
            family = core.HistogramMetricFamily(
                METRIC_NAME_PREFIX + name, name, labels=_label_names(histograms)
            )
            for labels, histogram in histograms.items():
                family.add_metric(
                    [label_value for _, label_value in labels],
                    histogram.buckets(),
                    histogram.sum_seconds,
                )
            families.append(family)
        return families


def _label_names(series: dict[Labels, object]) -> list[str]:
    return [label_name for label_name, _ in next(iter(series))]

"""Counters, gauges and histograms of one process.

They are kept as plain numbers and handed to `prometheus_client` when they are asked for: loading
that library takes a tenth of a small host's start, and counting through it a tenth of a request.
"""

from __future__ import annotations

import bisect

import attrs

LATENCY_BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.74, 1, 2.5, 5, 10, 30, 60, 120)
LENGTH_BOUNDS_TOKENS = (4_000, 16_000, 64_000, 100_000, 250_000, 500_000, 1_000_000)
PREFIX = "flamingoramp_"

Labels = tuple[tuple[str, str], ...]


def prompt_length_bucket(tokens: int) -> str:
    """Return the label of a prompt's length, such as ``<=4000``."""
    for bound in LENGTH_BOUNDS_TOKENS:
        if tokens <= bound:
            return f"<={bound}"
    return f">{LENGTH_BOUNDS_TOKENS[-1]}"


@attrs.define
class _Histogram:
    counts: list[int] = attrs.field(factory=lambda: [0] * (len(LATENCY_BUCKETS_SECONDS) + 1))
    total: float = 0.0

    def observe(self, seconds: float) -> None:
        """Count an observation."""
        self.counts[bisect.bisect_left(LATENCY_BUCKETS_SECONDS, seconds)] += 1
        self.total += seconds

    def buckets(self) -> list[tuple[str, float]]:
        """Return the cumulative count up to each bound."""
        bounds = [*(str(float(bound)) for bound in LATENCY_BUCKETS_SECONDS), "+Inf"]
        found = []
        below = 0
        for bound, count in zip(bounds, self.counts, strict=True):
            below += count
            found.append((bound, below))
        return found


class Metrics:
    """The metrics of one process, created on first use."""

    def __init__(self):
        self._counters: dict[str, dict[Labels, float]] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, dict[Labels, _Histogram]] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        series = self._counters.setdefault(name, {})
        key = tuple(labels.items())
        series[key] = series.get(key, 0) + amount

    def set(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add to a histogram of seconds."""
        series = self._histograms.setdefault(name, {})
        key = tuple(labels.items())
        histogram = series.get(key)
        if histogram is None:
            histogram = series[key] = _Histogram()
        histogram.observe(seconds)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        # Loaded here, and not with the module, since a start must not wait for it.
        import prometheus_client
        from prometheus_client import registry

        collected = registry.CollectorRegistry()
        collected.register(self)
        return prometheus_client.generate_latest(collected)

    def collect(self) -> list:
        """Return all metrics as families of `prometheus_client`."""
        from prometheus_client import core

        families = []
        for name, counters in self._counters.items():
            family = core.CounterMetricFamily(PREFIX + name, name, labels=_names(counters))
            for key, value in counters.items():
                family.add_metric([text for _, text in key], value)
            families.append(family)
        for name, value in self._gauges.items():
            families.append(core.GaugeMetricFamily(PREFIX + name, name, value=value))
        for name, histograms in self._histograms.items():
            family = core.HistogramMetricFamily(PREFIX + name, name, labels=_names(histograms))
            for key, one in histograms.items():
                family.add_metric([text for _, text in key], one.buckets(), one.total)
            families.append(family)
        return families


def _names(series: dict[Labels, object]) -> list[str]:
    return [name for name, _ in next(iter(series))]

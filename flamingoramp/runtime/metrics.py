"""Counters, gauges and histograms of one process."""

from __future__ import annotations

import prometheus_client

LATENCY_BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.74, 1, 2.5, 5, 10, 30, 60, 120)
LENGTH_BOUNDS_TOKENS = (4_000, 16_000, 64_000, 100_000, 250_000, 500_000, 1_000_000)


def length_bucket(tokens: int) -> str:
    """Return the label of a prompt's length, such as ``<=4000``."""
    for bound in LENGTH_BOUNDS_TOKENS:
        if tokens <= bound:
            return f"<={bound}"
    return f">{LENGTH_BOUNDS_TOKENS[-1]}"


class Metrics:
    """The metrics of one process, created on first use."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self._counters: dict[str, prometheus_client.Counter] = {}
        self._gauges: dict[str, prometheus_client.Gauge] = {}
        self._histograms: dict[str, prometheus_client.Histogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = prometheus_client.Counter(
                f"flamingoramp_{name}", name, tuple(labels), registry=self.registry
            )
            self._counters[name] = counter
        (counter.labels(**labels) if labels else counter).inc(amount)

    def set(self, name: str, value: float) -> None:
        """Set a gauge."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = prometheus_client.Gauge(f"flamingoramp_{name}", name, registry=self.registry)
            self._gauges[name] = gauge
        gauge.set(value)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add to a histogram of seconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = prometheus_client.Histogram(
                f"flamingoramp_{name}",
                name,
                tuple(labels),
                buckets=LATENCY_BUCKETS_SECONDS,
                registry=self.registry,
            )
            self._histograms[name] = histogram
        (histogram.labels(**labels) if labels else histogram).observe(seconds)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self.registry)

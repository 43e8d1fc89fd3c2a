"""Metrics over statsd, declared in a catalogue, with latency histograms."""

import enum
import re
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from turmericreach.verdicts import TurmericreachError

__all__ = ["Metric", "MetricType", "Metrics", "MetricsError"]

PREFIX = "turmericreach"
OTHER = "other"
MAX_LABEL_VALUES = 64
MAX_HISTOGRAMS = 128
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_FIGURES = 2
PERCENTILES = (50.0, 99.0, 99.9)


class MetricType(enum.StrEnum):
    """What a metric measures."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMING = "timing"


class MetricsError(TurmericreachError):
    """A metric used with another type or other labels than declared."""


@attrs.frozen
class Metric:
    """A declared metric.

    Attributes
    ----------
    name : str
        Name after the prefix.
    type : MetricType
        Kind of measurement.
    unit : str
        Unit of the value.
    meaning : str
        What is measured.
    labels : tuple of str
        Label names; their values follow the metric name, separated by dots.
    """

    name: str
    type: MetricType
    unit: str
    meaning: str
    labels: tuple[str, ...] = ()


class NullClient:
    """Discards metrics when no statsd address is set."""

    def incr(self, stat, count=1):
        """Discard a counter."""

    def gauge(self, stat, value):
        """Discard a gauge."""

    def timing(self, stat, delta):
        """Discard a timing."""

    def close(self):
        """Close nothing."""


class Metrics:
    """Sends metrics and keeps latency histograms.

    Parameters
    ----------
    address : str
        ``ip:port`` of the statsd server, empty for none.
    daemon : str
        Name that precedes the metric names.
    """

    def __init__(self, address: str, daemon: str):
        self.client = make_client(address, f"{PREFIX}.{sanitize(daemon)}")
        self.histograms: dict[str, HdrHistogram] = {}
        self.label_values: dict[tuple[str, str], set[str]] = {}

    def count(self, metric: Metric, value: int = 1, **labels: Any) -> None:
        """Add to a counter."""
        self.client.incr(self.stat(metric, MetricType.COUNTER, labels), value)

    def gauge(self, metric: Metric, value: float, **labels: Any) -> None:
        """Set a gauge."""
        self.client.gauge(self.stat(metric, MetricType.GAUGE, labels), value)

    def timing(self, metric: Metric, seconds: float, **labels: Any) -> None:
        """Record a duration in seconds; statsd gets milliseconds."""
        stat = self.stat(metric, MetricType.TIMING, labels)
        self.client.timing(stat, seconds * 1000.0)
        histogram = self.histograms.get(stat)
        if histogram is None:
            if len(self.histograms) >= MAX_HISTOGRAMS:
                return
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_FIGURES)
            self.histograms[stat] = histogram
        value_us = int(seconds * 1_000_000)
        histogram.record_value(min(max(value_us, LOWEST_US), HIGHEST_US))

    def percentiles_s(self, metric: Metric, **labels: Any) -> dict[float, float]:
        """Return percentiles of a timing in seconds, empty if nothing was recorded."""
        histogram = self.histograms.get(self.stat(metric, MetricType.TIMING, labels))
        if histogram is None:
            return {}
        return {p: histogram.get_value_at_percentile(p) / 1_000_000 for p in PERCENTILES}

    def stat(self, metric: Metric, expected: MetricType, labels: dict[str, Any]) -> str:
        """Return the statsd name of a metric with its labels."""
        if metric.type is not expected:
            raise MetricsError(f"{metric.name} is a {metric.type}, not a {expected}")
        if set(labels) != set(metric.labels):
            raise MetricsError(f"{metric.name} has the labels {', '.join(metric.labels) or 'none'}")
        values = [self.bound(metric, name, labels[name]) for name in metric.labels]
        return ".".join([metric.name, *values])

    def bound(self, metric: Metric, name: str, value: Any) -> str:
        """Return a label value, or `OTHER` beyond the bound on distinct values."""
        text = sanitize(value)
        known = self.label_values.setdefault((metric.name, name), set())
        if text in known:
            return text
        if len(known) >= MAX_LABEL_VALUES:
            return OTHER
        known.add(text)
        return text

    def close(self) -> None:
        """Close the socket."""
        self.client.close()


def make_client(address: str, prefix: str):
    """Return a statsd client, or one that discards."""
    if not address:
        return NullClient()
    host, _, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    return StatsClient(host, int(port), prefix=prefix, ipv6=":" in host)


def sanitize(value: Any) -> str:
    """Return a text that is safe inside a statsd name."""
    return re.sub(r"[^A-Za-z0-9_-]", "_", str(value))[:64] or "none"

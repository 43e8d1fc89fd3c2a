"""Metrics that are declared in a catalogue and sent to statsd, with latency histograms."""

import enum
import re
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from turmericreach.verdicts import TurmericreachError

__all__ = ["Metric", "MetricType", "Metrics", "MetricsError"]

PREFIX = "turmericreach"
OTHER_VALUE = "other"
MAX_LABEL_VALUES = 64
MAX_HISTOGRAMS = 128
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_FIGURES = 2
PERCENTILES = (50.0, 99.0, 99.9)


class MetricType(enum.StrEnum):
    """Type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMING = "timing"


class MetricsError(TurmericreachError):
    """Raised for a metric used with a type or labels that it does not declare."""


@attrs.frozen
class Metric:
    """A declared metric.

    Attributes
    ----------
    name : str
        Name without the prefix.
    type : MetricType
        Counter, gauge or timing.
    unit : str
        Unit of the value.
    description : str
        Description of what is measured, one sentence.
    labels : tuple of str
        Label names. In the statsd name the label values follow the metric name, separated by dots.
    """

    name: str
    type: MetricType
    unit: str
    description: str
    labels: tuple[str, ...] = ()


class NullClient:
    """A statsd client that discards all metrics, for use without a statsd address."""

    def incr(self, stat, count=1):
        """Discard a counter."""

    def gauge(self, stat, value):
        """Discard a gauge."""

    def timing(self, stat, delta):
        """Discard a timing."""

    def close(self):
        """Close nothing."""


class Metrics:
    """Sends metrics to statsd and keeps latency histograms in memory.

    Parameters
    ----------
    address : str
        ``ip:port`` of the statsd server, empty to discard all metrics.
    daemon : str
        Name of the process, a prefix of the metric names.

    Attributes
    ----------
    client : statsd.StatsClient or NullClient
        Client that sends the metrics.
    histograms : dict of str to HdrHistogram
        Durations in microseconds by the statsd name of the timing, at most `MAX_HISTOGRAMS`.
    label_values : dict of (str, str) to set of str
        Distinct values seen, by metric name and label name.
    """

    def __init__(self, address: str, daemon: str):
        self.client = make_client(address, f"{PREFIX}.{sanitize(daemon)}")
        self.histograms: dict[str, HdrHistogram] = {}
        self.label_values: dict[tuple[str, str], set[str]] = {}

    def count(self, metric: Metric, value: int = 1, **labels: Any) -> None:
        """Add a value to a counter."""
        self.client.incr(self.stat_name(metric, MetricType.COUNTER, labels), value)

    def gauge(self, metric: Metric, value: float, **labels: Any) -> None:
        """Set the value of a gauge."""
        self.client.gauge(self.stat_name(metric, MetricType.GAUGE, labels), value)

    def timing(self, metric: Metric, seconds: float, **labels: Any) -> None:
        """Record a duration in seconds, which is sent to statsd in milliseconds."""
        name = self.stat_name(metric, MetricType.TIMING, labels)
        self.client.timing(name, seconds * 1000.0)
        histogram = self.histograms.get(name)
        if histogram is None:
            if len(self.histograms) >= MAX_HISTOGRAMS:
                return
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_FIGURES)
            self.histograms[name] = histogram
        value_us = int(seconds * 1_000_000)
        histogram.record_value(min(max(value_us, LOWEST_US), HIGHEST_US))

    def percentiles_s(self, metric: Metric, **labels: Any) -> dict[float, float]:
        """Return durations in seconds by percentile, empty if nothing was recorded."""
        histogram = self.histograms.get(self.stat_name(metric, MetricType.TIMING, labels))
        if histogram is None:
            return {}
        return {p: histogram.get_value_at_percentile(p) / 1_000_000 for p in PERCENTILES}

    def stat_name(self, metric: Metric, expected: MetricType, labels: dict[str, Any]) -> str:
        """Return the statsd name of a metric with its label values.

        Raises
        ------
        MetricsError
            If the metric has another type or other labels.
        """
        if metric.type is not expected:
            raise MetricsError(f"{metric.name} is a {metric.type}, not a {expected}")
        if set(labels) != set(metric.labels):
            raise MetricsError(f"{metric.name} has the labels {', '.join(metric.labels) or 'none'}")
        values = [self.bounded_label_value(metric, name, labels[name]) for name in metric.labels]
        return ".".join([metric.name, *values])

    def bounded_label_value(self, metric: Metric, name: str, value: Any) -> str:
        """Return a label value, or `OTHER_VALUE` beyond `MAX_LABEL_VALUES` distinct values."""
        text = sanitize(value)
        known = self.label_values.setdefault((metric.name, name), set())
        if text in known:
            return text
        if len(known) >= MAX_LABEL_VALUES:
            return OTHER_VALUE
        known.add(text)
        return text

    def close(self) -> None:
        """Close the socket."""
        self.client.close()


def make_client(address: str, prefix: str):
    """Return a statsd client, or a `NullClient` without an address."""
    if not address:
        return NullClient()
    host, _, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    return StatsClient(host, int(port), prefix=prefix, ipv6=":" in host)


def sanitize(value: Any) -> str:
    """Return a value as text that is valid as one part of a statsd name."""
    return re.sub(r"[^A-Za-z0-9_-]", "_", str(value))[:64] or "none"

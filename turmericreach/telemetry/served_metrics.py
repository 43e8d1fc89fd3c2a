"""Metrics that are served as text over HTTP, in the format that Prometheus reads."""

from typing import Any

from turmericreach.telemetry.metrics import Metric, Metrics, MetricType

__all__ = ["CONTENT_TYPE", "ServedMetrics"]

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "turmericreach_"
QUANTILES = (0.5, 0.9, 0.99, 0.999)
US_PER_S = 1_000_000


class ServedMetrics(Metrics):
    """Keeps counters, gauges and latency histograms in memory.

    Attributes
    ----------
    values : dict of str to float
        Counters and gauges by metric and label values.
    sums : dict of str to float
        Sum of the durations of a timing, in seconds.
    series : dict of str to tuple
        Metric and label values by their joined name.
    """

    def __init__(self):
        super().__init__("", "node")
        self.values: dict[str, float] = {}
        self.sums: dict[str, float] = {}
        self.series: dict[str, tuple[Metric, tuple[str, ...]]] = {}

    def count(self, metric: Metric, value: int = 1, **labels: Any) -> None:
        """Add to a counter."""
        name = self.named(metric, MetricType.COUNTER, labels)
        self.values[name] = self.values.get(name, 0) + value

    def gauge(self, metric: Metric, value: float, **labels: Any) -> None:
        """Set a gauge."""
        self.values[self.named(metric, MetricType.GAUGE, labels)] = value

    def timing(self, metric: Metric, seconds: float, **labels: Any) -> None:
        """Record a duration in seconds."""
        name = self.named(metric, MetricType.TIMING, labels)
        super().timing(metric, seconds, **labels)
        self.sums[name] = self.sums.get(name, 0.0) + seconds

    def named(self, metric: Metric, expected: MetricType, labels: dict[str, Any]) -> str:
        """Return the joined name of a series and keep its parts."""
        name = self.stat(metric, expected, labels)
        if name not in self.series:
            values = tuple(self.bound(metric, label, labels[label]) for label in metric.labels)
            self.series[name] = (metric, values)
        return name

    def render(self) -> str:
        """Return all series as text."""
        lines: list[str] = []
        described: set[str] = set()
        for name in sorted(self.series):
            metric, values = self.series[name]
            if metric.name not in described:
                described.add(metric.name)
                lines += describe(metric)
            pairs = dict(zip(metric.labels, values, strict=True))
            if metric.type is MetricType.TIMING:
                lines += self.render_timing(name, metric, pairs)
            else:
                lines.append(sample(PREFIX + metric.name, pairs, self.values[name]))
        return "\n".join([*lines, ""])

    def render_timing(self, name: str, metric: Metric, pairs: dict[str, str]) -> list[str]:
        """Return the quantiles, the sum and the number of a timing."""
        histogram = self.histograms.get(name)
        if histogram is None:
            return []
        full = f"{PREFIX}{metric.name}_seconds"
        lines = []
        for quantile in QUANTILES:
            value = histogram.get_value_at_percentile(quantile * 100) / US_PER_S
            lines.append(sample(full, {**pairs, "quantile": str(quantile)}, value))
        lines.append(sample(f"{full}_sum", pairs, self.sums[name]))
        lines.append(sample(f"{full}_count", pairs, histogram.get_total_count()))
        return lines


def describe(metric: Metric) -> list[str]:
    """Return the lines that describe a metric."""
    if metric.type is MetricType.TIMING:
        name, kind = f"{PREFIX}{metric.name}_seconds", "summary"
    else:
        name, kind = PREFIX + metric.name, str(metric.type)
    return [f"# HELP {name} {metric.meaning}", f"# TYPE {name} {kind}"]


def sample(name: str, pairs: dict[str, str], value: float) -> str:
    """Return the line of one value."""
    labels = ",".join(f'{key}="{text}"' for key, text in pairs.items())
    return f"{name}{{{labels}}} {value:g}" if labels else f"{name} {value:g}"

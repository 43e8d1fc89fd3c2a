"""Metrics that are served over HTTP in the Prometheus text format."""

from typing import Any

from turmericreach.telemetry.metrics import Metric, Metrics, MetricType

__all__ = ["CONTENT_TYPE", "ServedMetrics"]

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "turmericreach_"
QUANTILES = (0.5, 0.9, 0.99, 0.999)
US_PER_S = 1_000_000


class ServedMetrics(Metrics):
    """Keeps counters, gauges and latency histograms in memory and renders them as text.

    Attributes
    ----------
    values : dict of str to float
        Values of counters and gauges by the name of the series.
    sums : dict of str to float
        Sum of the durations of a timing, in seconds, by the name of the series.
    series : dict of str to tuple
        Metric and label values by the name of the series, which joins both.
    """

    def __init__(self):
        super().__init__("", "node")
        self.values: dict[str, float] = {}
        self.sums: dict[str, float] = {}
        self.series: dict[str, tuple[Metric, tuple[str, ...]]] = {}

    def count(self, metric: Metric, value: int = 1, **labels: Any) -> None:
        """Add a value to a counter."""
        name = self.register_series(metric, MetricType.COUNTER, labels)
        self.values[name] = self.values.get(name, 0) + value

    def gauge(self, metric: Metric, value: float, **labels: Any) -> None:
        """Set the value of a gauge."""
        self.values[self.register_series(metric, MetricType.GAUGE, labels)] = value

    def timing(self, metric: Metric, seconds: float, **labels: Any) -> None:
        """Record a duration in seconds."""
        name = self.register_series(metric, MetricType.TIMING, labels)
        super().timing(metric, seconds, **labels)
        self.sums[name] = self.sums.get(name, 0.0) + seconds

    def register_series(self, metric: Metric, expected: MetricType, labels: dict[str, Any]) -> str:
        """Return the name of a series; on first use, store its metric and label values."""
        name = self.stat_name(metric, expected, labels)
        if name not in self.series:
            values = tuple(
                self.bounded_label_value(metric, label, labels[label]) for label in metric.labels
            )
            self.series[name] = (metric, values)
        return name

    def render(self) -> str:
        """Return all series in the Prometheus text format."""
        lines: list[str] = []
        described: set[str] = set()
        for name in sorted(self.series):
            metric, values = self.series[name]
            if metric.name not in described:
                described.add(metric.name)
                lines += render_header(metric)
            labels = dict(zip(metric.labels, values, strict=True))
            if metric.type is MetricType.TIMING:
                lines += self.render_timing(name, metric, labels)
            else:
                lines.append(render_value(PREFIX + metric.name, labels, self.values[name]))
        return "\n".join([*lines, ""])

    def render_timing(self, name: str, metric: Metric, labels: dict[str, str]) -> list[str]:
        """Return the lines for the quantiles, the sum and the count of a timing."""
        histogram = self.histograms.get(name)
        if histogram is None:
            return []
        full = f"{PREFIX}{metric.name}_seconds"
        lines = []
        for quantile in QUANTILES:
            value = histogram.get_value_at_percentile(quantile * 100) / US_PER_S
            lines.append(render_value(full, {**labels, "quantile": str(quantile)}, value))
        lines.append(render_value(f"{full}_sum", labels, self.sums[name]))
        lines.append(render_value(f"{full}_count", labels, histogram.get_total_count()))
        return lines


def render_header(metric: Metric) -> list[str]:
    """Return the HELP and TYPE lines of a metric."""
    if metric.type is MetricType.TIMING:
        name, kind = f"{PREFIX}{metric.name}_seconds", "summary"
    else:
        name, kind = PREFIX + metric.name, str(metric.type)
    return [f"# HELP {name} {metric.description}", f"# TYPE {name} {kind}"]


def render_value(name: str, labels: dict[str, str], value: float) -> str:
    """Return the line for one value of a series."""
    label_text = ",".join(f'{label}="{text}"' for label, text in labels.items())
    return f"{name}{{{label_text}}} {value:g}" if label_text else f"{name} {value:g}"

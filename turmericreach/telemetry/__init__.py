"""Log events with stable codes, declared metrics, catalogue pages and decision traces."""

from turmericreach.telemetry import events, node_events
from turmericreach.telemetry.catalogue import render_event_catalogue, render_metric_catalogue
from turmericreach.telemetry.event import Event, EventFieldError, Level
from turmericreach.telemetry.log import configure_logging, log_event
from turmericreach.telemetry.metrics import Metric, Metrics, MetricsError, MetricType
from turmericreach.telemetry.trace import Decision, DecisionTrace

__all__ = [
    "Decision",
    "DecisionTrace",
    "Event",
    "EventFieldError",
    "Level",
    "Metric",
    "MetricType",
    "Metrics",
    "MetricsError",
    "configure_logging",
    "events",
    "log_event",
    "node_events",
    "render_event_catalogue",
    "render_metric_catalogue",
]

"""Metrics of the programs on the platform's hosts.

They are counted from the log events, so that the log and the metrics tell of the same decisions.
"""

from collections.abc import Callable
from typing import Any

from turmericreach.telemetry import node_events as events
from turmericreach.telemetry.event import Event
from turmericreach.telemetry.metrics import Metric, MetricType
from turmericreach.telemetry.served_metrics import ServedMetrics

__all__ = ["NODE_METRICS", "count_event"]

COUNTER, GAUGE, TIMING = MetricType.COUNTER, MetricType.GAUGE, MetricType.TIMING

REQUESTS_ENDED = Metric(
    "node_requests", COUNTER, "requests", "Requests that ended.", ("route", "status")
)
REQUEST_DURATION = Metric(
    "node_request_time", TIMING, "ms", "Time from reading a request to its end.", ("route",)
)
TRIES = Metric("node_tries", COUNTER, "tries", "Tries at targets.", ("outcome",))
TRY_DURATION = Metric("node_try_time", TIMING, "ms", "Time of a try at a target.", ("outcome",))
LOT_SUBMISSIONS = Metric(
    "node_lot_submissions", COUNTER, "lots", "Submissions of lots by status.", ("status",)
)
LOT_ACCEPT_DURATION = Metric(
    "node_lot_accept_time", TIMING, "ms", "Time until an accepted lot is stored."
)
LOT_DURATION = Metric("node_lot_time", TIMING, "ms", "Time until all items of a lot are listed.")
LOTS_MOVED = Metric("node_lots_moved", COUNTER, "lots", "Lots whose owner was replaced.")
ITEM_RUNS = Metric("node_item_runs", COUNTER, "runs", "Runs of items at engines.", ("outcome",))
ITEM_RUN_DURATION = Metric(
    "node_item_run_time", TIMING, "ms", "Time of a run at an engine.", ("outcome",)
)
ITEM_WAIT = Metric("node_item_wait", TIMING, "ms", "Time that an item waited for an engine.")
SCORES = Metric("node_scores", COUNTER, "calls", "Calls of scorers.", ("outcome",))
RESULTS = Metric("node_results", COUNTER, "results", "Results listed.")
RESULT_WRITE = Metric("node_result_write_time", TIMING, "ms", "Time until results are stored.")
ITEMS_ABANDONED = Metric("node_items_abandoned", COUNTER, "items", "Items given up.")
ORDERS = Metric("node_orders", COUNTER, "orders", "Orders to targets.", ("outcome",))
SUSPICIONS = Metric("node_targets_suspected", COUNTER, "targets", "Targets avoided for a while.")
DEPENDENCY_LOSSES = Metric("node_dependency_losses", COUNTER, "losses", "Times the store was lost.")
LOG_EVENTS = Metric("node_log_events", COUNTER, "events", "Log events by level.", ("level",))

STORE_CALLS = Metric("node_store_calls", GAUGE, "calls", "Calls to the store.", ("purpose",))
STORE_AGE = Metric("node_store_age", GAUGE, "s", "Seconds since the store answered.")
CONFIGURATION = Metric("node_configuration", GAUGE, "version", "Configuration in force.")
TARGETS = Metric("node_targets", GAUGE, "targets", "Targets listed.", ("state",))
CONNECTIONS = Metric("node_connections_opened", GAUGE, "connections", "Connections to targets.")
LOTS_RUNNING = Metric("node_lots_running", GAUGE, "lots", "Lots that this process runs.")
ITEMS = Metric("node_items", GAUGE, "items", "Items of the lots run here.", ("phase",))
PEERS = Metric("node_peers", GAUGE, "processes", "Other processes.", ("state",))
COORDINATES = Metric("node_coordinates", GAUGE, "duty", "1 if this process coordinates.")
LOG_DROPPED = Metric("node_log_dropped", GAUGE, "lines", "Log lines dropped.")
LOOP_LAG = Metric("node_loop_lag", GAUGE, "ms", "Longest delay of the event loop of late.")

NODE_METRICS: tuple[Metric, ...] = tuple(
    value for value in list(vars().values()) if isinstance(value, Metric)
)

MS = 1000.0

Rule = Callable[[ServedMetrics, dict[str, Any]], None]


def first_words(text: Any) -> str:
    """Return the part of an outcome that is the same for many: at most two words."""
    return " ".join(str(text).split(":")[0].split()[:2])


def count_request(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count the end of a request."""
    route = fields["route"] or "none"
    metrics.count(REQUESTS_ENDED, route=route, status=fields["status"])
    metrics.timing(REQUEST_DURATION, fields["ms"] / MS, route=route)


def count_try(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a try at a target."""
    outcome = first_words(fields["outcome"])
    metrics.count(TRIES, outcome=outcome)
    metrics.timing(TRY_DURATION, fields["ms"] / MS, outcome=outcome)


def count_accepted(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count an accepted lot."""
    metrics.count(LOT_SUBMISSIONS, status=202)
    metrics.timing(LOT_ACCEPT_DURATION, fields["ms"] / MS)


def count_refused(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a lot that was not accepted."""
    metrics.count(LOT_SUBMISSIONS, status=fields["status"])


def count_finished(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a lot that is listed whole."""
    metrics.timing(LOT_DURATION, fields["seconds"])


def count_moved(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a lot whose owner was replaced."""
    metrics.count(LOTS_MOVED)


def count_started(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count the wait of an item."""
    metrics.timing(ITEM_WAIT, fields["waited_s"])


def count_run(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a run of an item."""
    outcome = first_words(fields["outcome"])
    metrics.count(ITEM_RUNS, outcome=outcome)
    metrics.timing(ITEM_RUN_DURATION, fields["ms"] / MS, outcome=outcome)


def count_score(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a call of a scorer."""
    metrics.count(SCORES, outcome=first_words(fields["outcome"]))


def count_results(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count listed results."""
    metrics.count(RESULTS, fields["added"])
    metrics.timing(RESULT_WRITE, fields["ms"] / MS)


def count_order(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count an order."""
    metrics.count(ORDERS, outcome=first_words(fields["outcome"]))


def count_abandoned(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count an item that was given up."""
    metrics.count(ITEMS_ABANDONED)


def count_suspicion(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a target that is avoided."""
    metrics.count(SUSPICIONS)


def count_loss(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a loss of the store."""
    metrics.count(DEPENDENCY_LOSSES)


RULES: dict[str, Rule] = {
    events.REQUEST_ENDED.code: count_request,
    events.REQUEST_FAILED.code: count_request,
    events.REQUEST_TRIED.code: count_try,
    events.BATCH_ACCEPTED.code: count_accepted,
    events.BATCH_REFUSED.code: count_refused,
    events.BATCH_FINISHED.code: count_finished,
    events.BATCH_REASSIGNED.code: count_moved,
    events.ITEM_STARTED.code: count_started,
    events.ITEM_STOPPED.code: count_run,
    events.ITEM_BROKEN.code: count_run,
    events.ITEM_SCORED.code: count_score,
    events.ITEM_ABANDONED.code: count_abandoned,
    events.RESULTS_LISTED.code: count_results,
    events.ORDER_SENT.code: count_order,
    events.TARGET_SUSPECTED.code: count_suspicion,
    events.DEPENDENCY_LOST.code: count_loss,
}


def count_event(metrics: ServedMetrics, event: Event, fields: dict[str, Any]) -> None:
    """Count a log event."""
    metrics.count(LOG_EVENTS, level=event.level)
    rule = RULES.get(event.code)
    if rule is not None:
        rule(metrics, fields)

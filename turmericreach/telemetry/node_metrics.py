"""Metrics of the programs on the platform's hosts.

Counters and timings are derived from the log events, so that log and metrics always agree.
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
    "node_requests", COUNTER, "requests", "Requests that have ended.", ("route", "status")
)
REQUEST_DURATION = Metric(
    "node_request_time", TIMING, "ms", "Time from reading a request to its end.", ("route",)
)
ATTEMPTS = Metric("node_tries", COUNTER, "tries", "Attempts at targets.", ("outcome",))
ATTEMPT_DURATION = Metric(
    "node_try_time", TIMING, "ms", "Duration of an attempt at a target.", ("outcome",)
)
LIMITED_ATTEMPTS = Metric(
    "node_limited_tries",
    COUNTER,
    "tries",
    "Attempts at targets that had named a limit to this process.",
    ("target",),
)
CONTINUATIONS = Metric(
    "node_continuations",
    COUNTER,
    "runs",
    "Runs that continued a stream or the text of an item, by whether their target has the software "
    "that began it.",
    ("kind", "software"),
)
LEAVING_ATTEMPTS = Metric(
    "node_leaving_tries",
    COUNTER,
    "tries",
    "Requests sent to targets that had said that they leave, by kind.",
    ("kind",),
)
LOT_SUBMISSIONS = Metric(
    "node_lot_submissions", COUNTER, "lots", "Submissions of lots by status.", ("status",)
)
LOT_ACCEPT_DURATION = Metric(
    "node_lot_accept_time",
    TIMING,
    "ms",
    "Time from the submission of an accepted lot until it is stored.",
)
LOT_ADMISSIONS = Metric(
    "node_lot_admissions",
    COUNTER,
    "lots",
    "Decisions at the submission of lots, by model and result.",
    ("model", "decision", "reason"),
)
ITEM_ORDERS = Metric(
    "node_item_orders",
    COUNTER,
    "changes",
    "Changes of the order in which the items of a model start, by the new order.",
    ("model", "order"),
)
REQUESTS_SHED = Metric(
    "node_requests_shed",
    COUNTER,
    "requests",
    "Requests rejected at their arrival, by what there is too little of.",
    ("route", "reason"),
)
LOT_DURATION = Metric("node_lot_time", TIMING, "ms", "Time until all items of a lot are listed.")
LOTS_REASSIGNED = Metric("node_lots_moved", COUNTER, "lots", "Lots reassigned to another owner.")
ITEM_RUNS = Metric("node_item_runs", COUNTER, "runs", "Runs of items at engines.", ("outcome",))
ITEM_RUN_DURATION = Metric(
    "node_item_run_time", TIMING, "ms", "Duration of a run at an engine.", ("outcome",)
)
ITEM_WAIT = Metric("node_item_wait", TIMING, "ms", "Time that an item waited for an engine.")
ITEM_WAITS = Metric(
    "node_item_waits",
    COUNTER,
    "waits",
    "Waits of items for seconds although a target of their route has a free slot, by reason.",
    ("reason",),
)
SCORER_CALLS = Metric("node_scores", COUNTER, "calls", "Calls to scorers.", ("outcome",))
RESULTS = Metric("node_results", COUNTER, "results", "Results listed.")
RESULT_WRITE_DURATION = Metric(
    "node_result_write_time", TIMING, "ms", "Time until results are stored."
)
ITEMS_ABANDONED = Metric("node_items_abandoned", COUNTER, "items", "Items abandoned.")
ORDERS = Metric("node_orders", COUNTER, "orders", "Orders sent to targets.", ("outcome",))
SUSPICIONS = Metric(
    "node_targets_suspected", COUNTER, "targets", "Times that a target was suspected."
)
CRASHES = Metric(
    "node_targets_crashed",
    COUNTER,
    "targets",
    "Times that a target ended while it served a request of this process.",
)
LIMITS_NAMED = Metric(
    "node_target_limits", COUNTER, "limits", "Times that a target named a new limit."
)
DEPENDENCY_LOSSES = Metric(
    "node_dependency_losses", COUNTER, "losses", "Times the store was unavailable."
)
USAGE_CALLS = Metric(
    "node_usage_calls", COUNTER, "calls", "Calls with a usage report.", ("outcome",)
)
USAGE_GIVEN_UP = Metric(
    "node_usage_given_up", COUNTER, "windows", "Windows whose usage could not be reported in time."
)
TEXTS_DISCARDED = Metric(
    "node_item_texts_discarded",
    COUNTER,
    "texts",
    "Texts of items that were discarded since all texts together exceeded their memory.",
)
UNEXPECTED_ERRORS = Metric(
    "node_unexpected_errors",
    COUNTER,
    "errors",
    "Unexpected errors by the part of the process in which they ended one piece of work.",
    ("part",),
)
LOG_EVENTS = Metric("node_log_events", COUNTER, "events", "Log events by level.", ("level",))

STORE_CALLS = Metric(
    "node_store_calls", GAUGE, "calls", "Calls to the store by purpose.", ("purpose",)
)
STORE_AGE = Metric("node_store_age", GAUGE, "s", "Seconds since the store responded.")
CONFIGURATION = Metric("node_configuration", GAUGE, "version", "Configuration version in force.")
TARGETS = Metric("node_targets", GAUGE, "targets", "Targets listed.", ("state",))
CONNECTIONS = Metric(
    "node_connections_opened", GAUGE, "connections", "Connections opened to targets."
)
LOTS_RUNNING = Metric("node_lots_running", GAUGE, "lots", "Lots that this process runs.")
ITEMS = Metric(
    "node_items", GAUGE, "items", "Items of the lots that this process runs.", ("phase",)
)
PEERS = Metric("node_peers", GAUGE, "processes", "Other processes by state.", ("state",))
COORDINATES = Metric(
    "node_coordinates", GAUGE, "duty", "1 if this process is the coordinator, else 0."
)
PERMITS = Metric(
    "node_permits",
    GAUGE,
    "permits",
    "Requests for permits to send to targets with a limit, by result; those decided on the own "
    "share are also counted by their result.",
    ("result",),
)
BARRED_REQUESTS = Metric(
    "node_barred_requests",
    GAUGE,
    "requests",
    "Requests that are rejected since targets have ended under them.",
)
REJECTED_KEYS = Metric(
    "node_rejected_keys",
    GAUGE,
    "requests",
    "Requests that were rejected since they carried no valid API key, by reason.",
    ("reason",),
)
STREAM_ORIGINS = Metric(
    "node_stream_origins",
    GAUGE,
    "streams",
    "Streams of callers whose software this process remembers, its own and copies of others.",
)
SCORING_CALLS = Metric(
    "node_scoring_calls",
    GAUGE,
    "calls",
    "Scorer calls under control of overload: allowed at once, running, and waiting for the limit.",
    ("state",),
)
EXTRA_ATTEMPTS = Metric(
    "node_extra_attempts",
    GAUGE,
    "attempts",
    "Hedges, moves and repeated scorer calls, by whether their budget permitted them.",
    ("kind", "result"),
)
LOG_DROPPED = Metric("node_log_dropped", GAUGE, "lines", "Log lines dropped.")
REJECTED_CLIENTS = Metric(
    "node_rejected_clients",
    GAUGE,
    "clients",
    "Clients rejected or disconnected since the start for exceeding a limit, by reason.",
    ("reason",),
)
ACCEPTED_CONNECTIONS = Metric(
    "node_accepted_connections",
    GAUGE,
    "connections",
    "Open connections that were accepted, by listener.",
    ("listener",),
)
HELD_MEMORY = Metric(
    "node_held_memory",
    GAUGE,
    "bytes",
    "Memory held for the peers of all connections, now and at most since the start.",
    ("period",),
)
LOOP_LAG = Metric("node_loop_lag", GAUGE, "ms", "Longest recent delay of the event loop.")

NODE_METRICS: tuple[Metric, ...] = tuple(
    value for value in list(vars().values()) if isinstance(value, Metric)
)

MS_PER_S = 1000.0

MetricUpdate = Callable[[ServedMetrics, dict[str, Any]], None]


def outcome_label(text: Any) -> str:
    """Return the first two words of an outcome, before any colon, as a label with few values."""
    return " ".join(str(text).split(":")[0].split()[:2])


def count_request(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a request that ended, and record its duration."""
    route = fields["route"] or "none"
    metrics.count(REQUESTS_ENDED, route=route, status=fields["status"])
    metrics.timing(REQUEST_DURATION, fields["ms"] / MS_PER_S, route=route)


def count_attempt(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count an attempt at a target, and record its duration."""
    outcome = outcome_label(fields["outcome"])
    metrics.count(ATTEMPTS, outcome=outcome)
    if fields["limit_per_s"] is not None:
        metrics.count(LIMITED_ATTEMPTS, target=fields["target"])
    metrics.timing(ATTEMPT_DURATION, fields["ms"] / MS_PER_S, outcome=outcome)
    count_continuation(metrics, "stream", fields)
    count_leaving(metrics, "request", fields)


def count_accepted_lot(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count an accepted lot, and record the time until it was stored."""
    metrics.count(LOT_SUBMISSIONS, status=202)
    metrics.timing(LOT_ACCEPT_DURATION, fields["ms"] / MS_PER_S)


def count_rejected_lot(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a rejected lot."""
    metrics.count(LOT_SUBMISSIONS, status=fields["status"])


def count_lot_admission(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a decision on a new lot."""
    labels = {name: fields[name] for name in ("model", "decision", "reason")}
    metrics.count(LOT_ADMISSIONS, **labels)


def count_item_order(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a change of the order in which items start."""
    metrics.count(ITEM_ORDERS, model=fields["model"], order=fields["order"])


def count_shed_request(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a request that was rejected at its arrival."""
    metrics.count(REQUESTS_SHED, route=fields["route"], reason=fields["reason"])


def record_lot_duration(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Record the duration of a lot that has all items listed."""
    metrics.timing(LOT_DURATION, fields["seconds"])


def count_reassigned_lot(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a lot that was reassigned to another owner."""
    metrics.count(LOTS_REASSIGNED)


def record_item_start(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Record how long an item waited for an engine, and whether its text is continued."""
    metrics.timing(ITEM_WAIT, fields["waited_s"])
    count_continuation(metrics, "item", fields)
    count_leaving(metrics, "item", fields)


def count_item_wait(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a wait of an item that could have run, by its reason."""
    metrics.count(ITEM_WAITS, reason=fields["reason"])


def count_leaving(metrics: ServedMetrics, kind: str, fields: dict[str, Any]) -> None:
    """Count a request to a target that had said that it leaves."""
    if fields["leaving_s"] is not None:
        metrics.count(LEAVING_ATTEMPTS, kind=kind)


def count_continuation(metrics: ServedMetrics, kind: str, fields: dict[str, Any]) -> None:
    """Count a run that continues after an event."""
    if fields["resumed_after"] is None:
        return
    begun_with = fields["begun_with"]
    software = "unknown"
    if begun_with:
        software = "same" if begun_with == fields["software"] else "other"
    metrics.count(CONTINUATIONS, kind=kind, software=software)


def count_item_run(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a run of an item, and record its duration."""
    outcome = outcome_label(fields["outcome"])
    metrics.count(ITEM_RUNS, outcome=outcome)
    metrics.timing(ITEM_RUN_DURATION, fields["ms"] / MS_PER_S, outcome=outcome)


def count_scorer_call(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a call to a scorer."""
    metrics.count(SCORER_CALLS, outcome=outcome_label(fields["outcome"]))
    count_leaving(metrics, "score", fields)


def count_results(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count listed results, and record the time until they were stored."""
    metrics.count(RESULTS, fields["added"])
    metrics.timing(RESULT_WRITE_DURATION, fields["ms"] / MS_PER_S)


def count_order(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count an order sent to a target."""
    metrics.count(ORDERS, outcome=outcome_label(fields["outcome"]))


def count_abandoned_item(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count an abandoned item."""
    metrics.count(ITEMS_ABANDONED)


def count_suspicion(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a target that became suspected."""
    metrics.count(SUSPICIONS)


def count_crash(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a target that ended while it served a request."""
    metrics.count(CRASHES)


def count_limit(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a limit that a target has named."""
    metrics.count(LIMITS_NAMED)


def count_dependency_loss(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a dependency that became unavailable."""
    metrics.count(DEPENDENCY_LOSSES)


def count_discarded_text(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count the text of an item that was discarded for its size."""
    metrics.count(TEXTS_DISCARDED)


def count_usage_call(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a call with a usage report."""
    metrics.count(USAGE_CALLS, outcome=outcome_label(fields["outcome"]))


def count_unreported_window(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a window whose report was given up."""
    metrics.count(USAGE_GIVEN_UP)


def count_unexpected_error(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count an unexpected error by the part of the process."""
    metrics.count(UNEXPECTED_ERRORS, part=fields["part"])


def count_failed_task(metrics: ServedMetrics, fields: dict[str, Any]) -> None:
    """Count a background task that an unexpected error has ended."""
    metrics.count(UNEXPECTED_ERRORS, part=fields["task"])


UPDATE_BY_EVENT_CODE: dict[str, MetricUpdate] = {
    events.REQUEST_ENDED.code: count_request,
    events.REQUEST_FAILED.code: count_request,
    events.REQUEST_TRIED.code: count_attempt,
    events.BATCH_ACCEPTED.code: count_accepted_lot,
    events.BATCH_REFUSED.code: count_rejected_lot,
    events.LOT_ADMISSION.code: count_lot_admission,
    events.ITEM_ORDER_CHANGED.code: count_item_order,
    events.REQUEST_SHED.code: count_shed_request,
    events.BATCH_FINISHED.code: record_lot_duration,
    events.BATCH_REASSIGNED.code: count_reassigned_lot,
    events.ITEM_STARTED.code: record_item_start,
    events.ITEM_WAITS.code: count_item_wait,
    events.ITEM_STOPPED.code: count_item_run,
    events.ITEM_BROKEN.code: count_item_run,
    events.ITEM_SCORED.code: count_scorer_call,
    events.ITEM_ABANDONED.code: count_abandoned_item,
    events.RESULTS_LISTED.code: count_results,
    events.ORDER_SENT.code: count_order,
    events.TARGET_SUSPECTED.code: count_suspicion,
    events.TARGET_CRASHED.code: count_crash,
    events.TARGET_LIMIT_NAMED.code: count_limit,
    events.DEPENDENCY_LOST.code: count_dependency_loss,
    events.ITEM_TEXT_DISCARDED.code: count_discarded_text,
    events.USAGE_REPORTED.code: count_usage_call,
    events.USAGE_REPEATED.code: count_usage_call,
    events.USAGE_GIVEN_UP.code: count_unreported_window,
    events.UNEXPECTED_ERROR.code: count_unexpected_error,
    events.TASK_FAILED.code: count_failed_task,
}


def count_event(metrics: ServedMetrics, event: Event, fields: dict[str, Any]) -> None:
    """Count a log event by level, and update the metrics that are derived from it."""
    metrics.count(LOG_EVENTS, level=event.level)
    update = UPDATE_BY_EVENT_CODE.get(event.code)
    if update is not None:
        update(metrics, fields)

"""Log events of the programs that run on the platform's hosts.

Those of requests and lots are declared in modules of their own.

The code of a removed event is never reused.
"""

from turmericreach.telemetry.event import Event, Level
from turmericreach.telemetry.node_lot_events import (
    BATCH_ACCEPTED,
    BATCH_ENDED,
    BATCH_FINISHED,
    BATCH_LEFT,
    BATCH_READ_FAILED,
    BATCH_REASSIGNED,
    BATCH_REFUSED,
    BATCH_TAKEN,
    CHECKPOINT_READ,
    CHECKPOINT_SAVED,
    DIVISION_CHANGED,
    DUTY_LOST,
    DUTY_TAKEN,
    HOST_RETIRED,
    ITEM_ABANDONED,
    ITEM_BROKEN,
    ITEM_ORDER_CHANGED,
    ITEM_SCORED,
    ITEM_STARTED,
    ITEM_STOPPED,
    ITEM_TEXT_DISCARDED,
    ITEM_WAITS,
    LOT_ADMISSION,
    LOT_COLLECTED,
    ORDER_SENT,
    RESULTS_LISTED,
    SCORING_LIMITED,
    USAGE_GIVEN_UP,
    USAGE_HANDED_OVER,
    USAGE_REPEATED,
    USAGE_REPORTED,
    USAGE_STORED,
    VERSION_NAMED,
)
from turmericreach.telemetry.node_request_events import (
    KEY_REJECTED,
    ORIGINS_UNSENT,
    REQUEST_BARRED,
    REQUEST_ENDED,
    REQUEST_FAILED,
    REQUEST_SHED,
    REQUEST_TRIED,
    STREAM_RESUMED,
)

__all__ = [
    "ADDRESS_IN_USE",
    "BATCH_ACCEPTED",
    "BATCH_ENDED",
    "BATCH_FINISHED",
    "BATCH_LEFT",
    "BATCH_READ_FAILED",
    "BATCH_REASSIGNED",
    "BATCH_REFUSED",
    "BATCH_TAKEN",
    "CHECKPOINT_READ",
    "CHECKPOINT_SAVED",
    "CLIENTS_REJECTED",
    "CONFIGURATION_APPLIED",
    "CONFIGURATION_UNREADABLE",
    "DEPENDENCY_LOST",
    "DEPENDENCY_REGAINED",
    "DIVISION_CHANGED",
    "DUTY_LOST",
    "DUTY_TAKEN",
    "FORWARD_FAILED",
    "HANDOVER_INCOMPLETE",
    "HOST_LISTED",
    "HOST_REACHABLE",
    "HOST_RETIRED",
    "HOST_UNREACHABLE",
    "ITEM_ABANDONED",
    "ITEM_BROKEN",
    "ITEM_ORDER_CHANGED",
    "ITEM_SCORED",
    "ITEM_STARTED",
    "ITEM_STOPPED",
    "ITEM_TEXT_DISCARDED",
    "ITEM_WAITS",
    "KEY_REJECTED",
    "LOG_LINES_DROPPED",
    "LOT_ADMISSION",
    "LOT_COLLECTED",
    "METRICS_NOT_SERVED",
    "NODE_EVENTS",
    "NODE_NOT_LISTENING",
    "NODE_NOT_READY",
    "NODE_READY",
    "NODE_RELOADED",
    "NODE_STARTED",
    "NODE_STOPPED",
    "NODE_STOPPING",
    "ORDER_SENT",
    "ORIGINS_UNSENT",
    "PERMITS_UNAVAILABLE",
    "PROCESS_STALLED",
    "REQUEST_BARRED",
    "REQUEST_ENDED",
    "REQUEST_FAILED",
    "REQUEST_SHED",
    "REQUEST_TRIED",
    "RESULTS_LISTED",
    "SCORING_LIMITED",
    "SETTINGS_UNREADABLE",
    "SHARED_STATE_UNREAD",
    "STORE_OBJECT_UNREADABLE",
    "STREAM_RESUMED",
    "TARGET_CRASHED",
    "TARGET_DRAINING",
    "TARGET_KEPT_WHILE_MISSING",
    "TARGET_LEAVING",
    "TARGET_LIMIT_ENDED",
    "TARGET_LIMIT_NAMED",
    "TARGET_LISTED",
    "TARGET_REMOVED",
    "TARGET_RUN_CHANGED",
    "TARGET_SUSPECTED",
    "TARGET_TRUSTED",
    "TASK_FAILED",
    "UNEXPECTED_ERROR",
    "USAGE_GIVEN_UP",
    "USAGE_HANDED_OVER",
    "USAGE_REPEATED",
    "USAGE_REPORTED",
    "USAGE_STORED",
    "VERSION_NAMED",
    "WATCH_DEAF",
]

# Process

NODE_STARTED = Event(
    "TR2101",
    "node_started",
    Level.INFO,
    "{role} on {host} started with incarnation {incarnation}",
    extra=("data_centre", "settings"),
)
NODE_READY = Event(
    "TR2102",
    "node_ready",
    Level.INFO,
    "ready after {seconds:.2f} s with configuration {version}",
)
NODE_NOT_READY = Event(
    "TR2103",
    "node_not_ready",
    Level.WARNING,
    "not ready: {reason}",
    "Resolve the cause that the reason names.",
)
NODE_STOPPING = Event(
    "TR2104",
    "node_stopping",
    Level.INFO,
    "stopping on {signal} with {requests} requests and {lots} lots in progress",
)
NODE_STOPPED = Event(
    "TR2105",
    "node_stopped",
    Level.INFO,
    "stopped after {seconds:.2f} s, {requests} requests abandoned",
    extra=("store_calls",),
)
HANDOVER_INCOMPLETE = Event(
    "TR2116",
    "handover_incomplete",
    Level.WARNING,
    "stopped with {lots} lots that no other process has confirmed after {seconds:.2f} s",
    "None if other processes run; they take the lots over.",
)
NODE_RELOADED = Event(
    "TR2106",
    "node_reloaded",
    Level.INFO,
    "settings reloaded: {outcome}",
    extra=("trigger", "settings"),
)
SETTINGS_UNREADABLE = Event(
    "TR2112",
    "settings_unreadable",
    Level.ERROR,
    "settings not reloaded on {trigger}: {problem}",
    "Correct the file; the previous settings stay in force.",
)
LOG_LINES_DROPPED = Event(
    "TR2107",
    "log_lines_dropped",
    Level.WARNING,
    "{lines} log lines dropped: the reader of the log is too slow",
    "Check the program that reads standard output.",
)
METRICS_NOT_SERVED = Event(
    "TR2109",
    "metrics_not_served",
    Level.WARNING,
    "metrics are not served on port {port}: {error}",
    "Set a free port in the deploy file.",
)
CLIENTS_REJECTED = Event(
    "TR2115",
    "clients_rejected",
    Level.WARNING,
    "{clients} clients rejected or disconnected: {reasons}",
    "Check which clients exceed the limits, and whether the process needs more memory.",
)
ADDRESS_IN_USE = Event(
    "TR2110",
    "address_in_use",
    Level.WARNING,
    "{address} is in use; retrying for up to {seconds:.1f} s",
    "Check which other process on the host listens there.",
)
NODE_NOT_LISTENING = Event(
    "TR2111",
    "node_not_listening",
    Level.ERROR,
    "not started: cannot listen on {address}: {reason}",
    "Free the port or correct the settings; the process has ended.",
)
TASK_FAILED = Event(
    "TR2108",
    "task_failed",
    Level.ERROR,
    "{task} failed and is restarted: {error}",
    "Report the event and its fields as a bug.",
)
PROCESS_STALLED = Event(
    "TR2114",
    "process_stalled",
    Level.WARNING,
    "the process did not run for {seconds:.1f} s",
    "Check the load of the host, and whether the process was stopped.",
)
UNEXPECTED_ERROR = Event(
    "TR2113",
    "unexpected_error",
    Level.ERROR,
    "{part} {subject} ended by an unexpected error: {error}",
    "Report the event and its fields as a bug; what was ended is taken up again.",
    extra=("at",),
)

# Metadata store

DEPENDENCY_LOST = Event(
    "TR2201",
    "dependency_lost",
    Level.WARNING,
    "{dependency} unavailable, last response {age_s:.2f} s ago",
    "Check the dependency; the last known state stays in use.",
    extra=("address",),
)
DEPENDENCY_REGAINED = Event(
    "TR2202", "dependency_regained", Level.INFO, "{dependency} available again", extra=("address",)
)
STORE_OBJECT_UNREADABLE = Event(
    "TR2203",
    "store_object_unreadable",
    Level.WARNING,
    "object or response of kind {kind} ignored: {problem}",
    "Check which program wrote the object.",
)
WATCH_DEAF = Event(
    "TR2206",
    "watch_deaf",
    Level.WARNING,
    "watch of {kind} stalled: it did not report the change at revision {change}; restarting it",
    extra=("revision", "silent_s"),
)
CONFIGURATION_APPLIED = Event(
    "TR2204",
    "configuration_applied",
    Level.INFO,
    "configuration {version} in force with {routes} routes",
    extra=("revision", "former"),
)
CONFIGURATION_UNREADABLE = Event(
    "TR2205",
    "configuration_unreadable",
    Level.ERROR,
    "configuration at revision {revision} ignored: {problem}",
    "Correct the configuration; the previous one stays in force.",
)

# Targets

TARGET_LISTED = Event(
    "TR2301",
    "target_listed",
    Level.INFO,
    "{target} of {service} listed",
    extra=("address", "draining", "software_version", "started_ms"),
)
TARGET_DRAINING = Event(
    "TR2302",
    "target_draining",
    Level.INFO,
    "{target} of {service} is draining and accepts no new requests",
)
TARGET_REMOVED = Event(
    "TR2303", "target_removed", Level.INFO, "{target} of {service} removed: {reason}"
)
TARGET_SUSPECTED = Event(
    "TR2304",
    "target_suspected",
    Level.INFO,
    "{target} suspected and avoided for {seconds:.2f} s: {reason}",
    extra=("failure_share", "silent_s"),
)
TARGET_TRUSTED = Event(
    "TR2306",
    "target_trusted",
    Level.INFO,
    "{target} responds and is no longer suspected",
    extra=("failure_share",),
)
TARGET_KEPT_WHILE_MISSING = Event(
    "TR2305",
    "target_kept_while_missing",
    Level.INFO,
    "{target} is missing now that the store is available again; kept for {seconds:.2f} s",
)
TARGET_LIMIT_NAMED = Event(
    "TR2307",
    "target_limit_named",
    Level.INFO,
    "{target} of {service} accepts {per_s} requests a second from all processes together",
)
TARGET_LIMIT_ENDED = Event(
    "TR2308", "target_limit_ended", Level.INFO, "{target} of {service} names no limit any more"
)
PERMITS_UNAVAILABLE = Event(
    "TR2309",
    "permits_unavailable",
    Level.WARNING,
    "{peer} grants no permits; 1/{processes} of each target's limit is used: {reason}",
    "Check the host if it does not respond again.",
)
SHARED_STATE_UNREAD = Event(
    "TR2310",
    "shared_state_unread",
    Level.INFO,
    "what {peer} knows of targets was not read, the next ping tries again: {reason}",
)
TARGET_CRASHED = Event(
    "TR2311",
    "target_crashed",
    Level.WARNING,
    "{target} of {service} ended while it served request {request}",
    "Check the target's log, and the request if it ends several targets.",
    extra=("fingerprint",),
)

TARGET_LEAVING = Event(
    "TR2313",
    "target_announced_leaving",
    Level.INFO,
    "{target} of {service} says in its responses that it leaves",
    extra=("draining",),
)
TARGET_RUN_CHANGED = Event(
    "TR2312",
    "target_run_changed",
    Level.INFO,
    "{target} of {service} has started again, which its entry does not show yet",
    extra=("started_ms", "listed_ms"),
)

# Hosts

HOST_LISTED = Event(
    "TR2701", "host_listed", Level.INFO, "{peer} listed at {address}", extra=("incarnation",)
)
HOST_UNREACHABLE = Event(
    "TR2702",
    "host_unreachable",
    Level.WARNING,
    "{peer} does not respond: {reason}",
    "Check the host if it does not respond again.",
)
HOST_REACHABLE = Event(
    "TR2703", "host_reachable", Level.INFO, "{peer} responds", extra=("store_age_s",)
)
FORWARD_FAILED = Event(
    "TR2704",
    "forward_failed",
    Level.WARNING,
    "{method} {path} was not served by {peer}, outcome {outcome}: {reason}",
    "Check the host if it does not respond again.",
)

NODE_EVENTS = tuple(value for value in list(vars().values()) if isinstance(value, Event))

"""Log events of the programs that run on the platform's hosts.

A code is never used again after its event is removed.
"""

from turmericreach.telemetry.event import Event, Level

__all__ = ["NODE_EVENTS"]

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
    "TR2103", "node_not_ready", Level.WARNING, "not ready: {reason}", "See the reason."
)
NODE_STOPPING = Event(
    "TR2104",
    "node_stopping",
    Level.INFO,
    "stopping on {signal}: {requests} requests and {lots} lots in progress",
)
NODE_STOPPED = Event(
    "TR2105",
    "node_stopped",
    Level.INFO,
    "stopped after {seconds:.2f} s, {requests} abandoned",
    extra=("store_calls",),
)
NODE_RELOADED = Event(
    "TR2106",
    "node_reloaded",
    Level.INFO,
    "settings read again: {outcome}",
    extra=("trigger", "settings"),
)
SETTINGS_UNREADABLE = Event(
    "TR2112",
    "settings_unreadable",
    Level.ERROR,
    "settings not read again on {trigger}: {problem}",
    "Correct the file; the former settings stay in force.",
)
LOG_LINES_DROPPED = Event(
    "TR2107",
    "log_lines_dropped",
    Level.WARNING,
    "{lines} log lines dropped: the reader of the log is too slow",
    "Check what reads standard output.",
)
METRICS_NOT_SERVED = Event(
    "TR2109",
    "metrics_not_served",
    Level.WARNING,
    "metrics are not served at port {port}: {error}",
    "Name a free port in the deploy file.",
)
ADDRESS_IN_USE = Event(
    "TR2110",
    "address_in_use",
    Level.WARNING,
    "{address} is in use; tried again for {seconds:.1f} s",
    "Check what else runs on the host.",
)
NODE_NOT_LISTENING = Event(
    "TR2111",
    "node_not_listening",
    Level.ERROR,
    "not started, {address} cannot be listened at: {reason}",
    "Free the port or correct the settings; the process has ended.",
)
TASK_FAILED = Event(
    "TR2108",
    "task_failed",
    Level.ERROR,
    "{task} failed and is started again: {error}",
    "Report the event with its fields.",
)

# Metadata store

DEPENDENCY_LOST = Event(
    "TR2201",
    "dependency_lost",
    Level.WARNING,
    "{dependency} does not answer, last answer {age_s:.2f} s ago",
    "Check the dependency; what is known stays in use.",
    extra=("address",),
)
DEPENDENCY_REGAINED = Event(
    "TR2202", "dependency_regained", Level.INFO, "{dependency} answers again", extra=("address",)
)
STORE_OBJECT_UNREADABLE = Event(
    "TR2203",
    "store_object_unreadable",
    Level.WARNING,
    "object or answer of kind {kind} left out: {problem}",
    "Check who wrote the object.",
)
WATCH_DEAF = Event(
    "TR2206",
    "watch_deaf",
    Level.WARNING,
    "watch of {kind} did not tell the change at revision {change} and is asked anew",
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
    "configuration at revision {revision} left out: {problem}",
    "Correct the configuration; the former one stays in force.",
)

# Targets

TARGET_LISTED = Event(
    "TR2301",
    "target_listed",
    Level.INFO,
    "{target} of {service} listed",
    extra=("address", "draining"),
)
TARGET_DRAINING = Event(
    "TR2302", "target_draining", Level.INFO, "{target} of {service} takes no new requests"
)
TARGET_REMOVED = Event(
    "TR2303", "target_removed", Level.INFO, "{target} of {service} is gone: {reason}"
)
TARGET_SUSPECTED = Event(
    "TR2304",
    "target_suspected",
    Level.INFO,
    "{target} is avoided for {seconds:.2f} s: {reason}",
    extra=("failure_share", "silent_s"),
)
TARGET_TRUSTED = Event(
    "TR2306",
    "target_trusted",
    Level.INFO,
    "{target} answers and is no longer avoided",
    extra=("failure_share",),
)
TARGET_KEPT_WHILE_MISSING = Event(
    "TR2305",
    "target_kept_while_missing",
    Level.INFO,
    "{target} is missing after the store's return and is kept for {seconds:.2f} s",
)

# Requests

REQUEST_TRIED = Event(
    "TR2401",
    "request_tried",
    Level.INFO,
    "request {request} at {target}: {outcome} after {ms:.1f} ms",
    extra=("attempt", "in_flight", "load_age_s", "configuration"),
)
REQUEST_ENDED = Event(
    "TR2402",
    "request_ended",
    Level.INFO,
    "request {request} ended with {status} after {ms:.1f} ms: {reason}",
    extra=("route", "attempts", "time_left_ms", "configuration", "configuration_age_s"),
)

REQUEST_FAILED = Event(
    "TR2403",
    "request_failed",
    Level.WARNING,
    "request {request} ended with {status} after {ms:.1f} ms: {reason}",
    "Look at the tries of the request.",
    extra=("route", "attempts", "time_left_ms", "configuration", "configuration_age_s"),
)

# Lots

BATCH_ACCEPTED = Event(
    "TR2501",
    "batch_accepted",
    Level.INFO,
    "lot {lot} with {items} items accepted",
    extra=("step", "model", "min_version", "owner", "revision", "ms"),
)
BATCH_REFUSED = Event(
    "TR2502",
    "batch_refused",
    Level.WARNING,
    "lot {lot} answered with {status}: {reason}",
    "Check the store if the reason is its silence.",
    extra=("retry_after_s", "store_age_s"),
)
BATCH_TAKEN = Event(
    "TR2503",
    "batch_taken",
    Level.INFO,
    "lot {lot} is run here, {listed} of {items} items are listed",
    extra=("reason", "first_owner", "revision"),
)
BATCH_LEFT = Event("TR2504", "batch_left", Level.INFO, "lot {lot} is no longer run here: {reason}")
BATCH_ENDED = Event(
    "TR2505", "batch_ended", Level.INFO, "lot {lot} ended by its caller", extra=("revision",)
)
BATCH_FINISHED = Event(
    "TR2506",
    "batch_finished",
    Level.INFO,
    "lot {lot} has all {items} items listed after {seconds:.2f} s",
)
ITEM_STARTED = Event(
    "TR2507",
    "item_started",
    Level.INFO,
    "item {item} of lot {lot} started at {target}",
    extra=("resumed_after", "version", "in_flight", "waited_s"),
)
ITEM_STOPPED = Event(
    "TR2508",
    "item_stopped",
    Level.INFO,
    "item {item} of lot {lot} at {target}: {outcome} after {ms:.0f} ms",
    extra=("events", "versions", "first_event_ms"),
)
ITEM_BROKEN = Event(
    "TR2514",
    "item_broken",
    Level.WARNING,
    "item {item} of lot {lot} at {target}: {outcome} after {ms:.0f} ms",
    "Check the target if it is frequent.",
    extra=("events", "versions", "first_event_ms"),
)
ITEM_SCORED = Event(
    "TR2509",
    "item_scored",
    Level.INFO,
    "item {item} of lot {lot} scored at {target}: {outcome} after {ms:.0f} ms",
    extra=("attempt",),
)
RESULTS_LISTED = Event(
    "TR2510",
    "results_listed",
    Level.INFO,
    "lot {lot} lists {total} of {items} items",
    extra=("added", "segment", "ms"),
)
ITEM_ABANDONED = Event(
    "TR2511",
    "item_abandoned",
    Level.WARNING,
    "item {item} of lot {lot} is given up: {reason}",
    "Check the item if the reason is a target's answer.",
)
BATCH_READ_FAILED = Event(
    "TR2512",
    "batch_read_failed",
    Level.INFO,
    "read of lot {lot} answered with {status}: {reason}",
)

BATCH_REASSIGNED = Event(
    "TR2513",
    "batch_reassigned",
    Level.INFO,
    "lot {lot} is given to {owner}, its owner {former} is gone",
    extra=("revision",),
)

# Versions

DUTY_TAKEN = Event(
    "TR2601",
    "duty_taken",
    Level.INFO,
    "this host coordinates with fencing number {fencing}",
    extra=("former", "reason", "first_order_in_s"),
)
DUTY_LOST = Event("TR2602", "duty_lost", Level.INFO, "this host no longer coordinates: {reason}")
VERSION_NAMED = Event(
    "TR2603", "version_named", Level.INFO, "version {version} of {model} named", extra=("revision",)
)
ORDER_SENT = Event(
    "TR2604",
    "order_sent",
    Level.INFO,
    "{target} ordered to load version {version} of {model}: {outcome}",
    extra=("fencing", "expected_orders", "ms"),
)
DIVISION_CHANGED = Event(
    "TR2607",
    "division_changed",
    Level.INFO,
    "engines are divided anew: {division}",
    extra=("demand",),
)
HOST_RETIRED = Event(
    "TR2605", "host_retired", Level.INFO, "{retired} holds nothing and may be removed"
)
LOT_COLLECTED = Event("TR2606", "lot_collected", Level.INFO, "lot {lot} removed after its lifetime")

# Hosts

HOST_LISTED = Event(
    "TR2701", "host_listed", Level.INFO, "{peer} listed at {address}", extra=("incarnation",)
)
HOST_UNREACHABLE = Event(
    "TR2702",
    "host_unreachable",
    Level.WARNING,
    "{peer} does not answer: {reason}",
    "Check the host if it does not return.",
)
HOST_REACHABLE = Event(
    "TR2703", "host_reachable", Level.INFO, "{peer} answers", extra=("store_age_s",)
)

NODE_EVENTS = tuple(value for value in list(vars().values()) if isinstance(value, Event))

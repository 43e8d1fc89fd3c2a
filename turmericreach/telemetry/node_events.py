"""Declarations of the log events of the programs that run on the platform's hosts.

The code of a removed event is never reused.
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

# Requests

REQUEST_TRIED = Event(
    "TR2401",
    "request_tried",
    Level.INFO,
    "attempt of request {request} at {target}: {outcome} after {ms:.1f} ms",
    extra=(
        "attempt",
        "in_flight",
        "load_age_s",
        "limit_per_s",
        "configuration",
        "fingerprint",
        "software",
        "begun_with",
        "resumed_after",
        "resumes",
        "leaving_s",
    ),
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
    "Check the attempts of the request.",
    extra=("route", "attempts", "time_left_ms", "configuration", "configuration_age_s"),
)
REQUEST_SHED = Event(
    "TR2408",
    "request_shed",
    Level.INFO,
    "request {request} rejected at its arrival: {reason}",
    extra=(
        "route",
        "priority",
        "pressure",
        "rank",
        "value",
        "wait_s",
        "time_left_s",
        "in_progress",
        "rate_per_s",
        "lag_s",
        "descriptors",
        "memory_bytes",
        "load_age_s",
        "service_age_s",
    ),
)
REQUEST_BARRED = Event(
    "TR2404",
    "request_barred",
    Level.WARNING,
    "requests with digest {fingerprint} are rejected: targets ended under them",
    "Check the request with its caller, and the logs of the targets.",
    extra=("targets",),
)

STREAM_RESUMED = Event(
    "TR2405",
    "stream_resumed",
    Level.INFO,
    "request {request} resumes the stream of {resumes} after event {resumed_after}: {source}",
    extra=("software", "ms"),
)
ORIGINS_UNSENT = Event(
    "TR2406",
    "origins_unsent",
    Level.INFO,
    "{peer} did not accept which software began {streams} streams: {reason}",
)
KEY_REJECTED = Event(
    "TR2407",
    "key_rejected",
    Level.WARNING,
    "request {request} rejected with {status}: {reason}; {unlogged} others since the last line",
    "Check the keys of the tenants in the configuration, and the store if the status is 503.",
    extra=("configuration", "contact_age_s"),
)

# Lots

BATCH_ACCEPTED = Event(
    "TR2501",
    "batch_accepted",
    Level.INFO,
    "lot {lot} with {items} items accepted",
    extra=("target_groups", "step", "model", "min_version", "owner", "revision", "ms"),
)
BATCH_REFUSED = Event(
    "TR2502",
    "batch_refused",
    Level.WARNING,
    "submission of lot {lot} rejected with {status}: {reason}",
    "Check the store if the reason says that it is unavailable.",
    extra=("retry_after_s", "store_age_s"),
)
ITEM_ORDER_CHANGED = Event(
    "TR2517",
    "item_order_changed",
    Level.INFO,
    "items of {model} start by {order}, expected use of its engines {use}",
    extra=("lots", "items", "waiting_events", "due_in_s", "slots"),
)
LOT_ADMISSION = Event(
    "TR2516",
    "lot_admission",
    Level.INFO,
    "submission of lot {lot} {decision}: {reason}",
    extra=(
        "model",
        "owner",
        "items",
        "expected_events",
        "group_longest_events",
        "slots",
        "event_s",
        "running_s",
        "waiting_events",
        "start_s",
        "group_s",
        "retry_after_s",
        "backlog_age_s",
    ),
)
BATCH_TAKEN = Event(
    "TR2503",
    "batch_taken",
    Level.INFO,
    "this process runs lot {lot}, {listed} of {items} items are listed",
    extra=("reason", "first_owner", "revision"),
)
BATCH_LEFT = Event(
    "TR2504", "batch_left", Level.INFO, "this process no longer runs lot {lot}: {reason}"
)
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
    extra=(
        "resumed_after",
        "version",
        "in_flight",
        "waited_s",
        "software",
        "begun_with",
        "leaving_s",
    ),
)
ITEM_STOPPED = Event(
    "TR2508",
    "item_stopped",
    Level.INFO,
    "item {item} of lot {lot} at {target}: {outcome} after {ms:.0f} ms",
    extra=("events", "versions", "first_event_ms", "software"),
)
ITEM_BROKEN = Event(
    "TR2514",
    "item_broken",
    Level.WARNING,
    "item {item} of lot {lot} at {target}: {outcome} after {ms:.0f} ms",
    "Check the target if this is frequent.",
    extra=("events", "versions", "first_event_ms", "software"),
)
ITEM_TEXT_DISCARDED = Event(
    "TR2515",
    "item_text_discarded",
    Level.WARNING,
    "the text of item {item}, {size} bytes from {target}, is discarded: all texts exceed {limit}",
    "Check the target: its streams are longer than those of its peers.",
)
CHECKPOINT_SAVED = Event(
    "TR2541",
    "checkpoint_saved",
    Level.INFO,
    "texts of {items} items of lot {lot} saved, {events} events",
)
CHECKPOINT_READ = Event(
    "TR2542",
    "checkpoint_read",
    Level.INFO,
    "texts of {items} items of lot {lot} read, {events} events",
)
ITEM_SCORED = Event(
    "TR2509",
    "item_scored",
    Level.INFO,
    "item {item} of lot {lot} scored at {target}: {outcome} after {ms:.0f} ms",
    extra=("attempt", "leaving_s"),
)
SCORING_LIMITED = Event(
    "TR2520",
    "scoring_limited",
    Level.INFO,
    "{waiting} scorer calls wait for {service}: {allowed} are allowed, {slots} slots",
    extra=("others", "reserve", "backlog_s", "unpaid_retries"),
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
    "item {item} of lot {lot} abandoned: {reason}",
    "Check the item if the reason is the response of a target.",
)
BATCH_READ_FAILED = Event(
    "TR2512",
    "batch_read_failed",
    Level.INFO,
    "read of lot {lot} failed with {status}: {reason}",
)

BATCH_REASSIGNED = Event(
    "TR2513",
    "batch_reassigned",
    Level.INFO,
    "lot {lot} reassigned to {owner}; its previous owner {former} is no longer available",
    extra=("revision",),
)

# Versions

DUTY_TAKEN = Event(
    "TR2601",
    "duty_taken",
    Level.INFO,
    "this host is the coordinator with fencing token {fencing}",
    extra=("former", "reason", "first_order_in_s"),
)
DUTY_LOST = Event(
    "TR2602", "duty_lost", Level.INFO, "this host is no longer the coordinator: {reason}"
)
VERSION_NAMED = Event(
    "TR2603",
    "version_named",
    Level.INFO,
    "version {version} of {model} announced",
    extra=("revision",),
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
    "division of the engines changed: {division}",
    extra=("demand",),
)
HOST_RETIRED = Event(
    "TR2605", "host_retired", Level.INFO, "{retired} has no work left and may be removed"
)
LOT_COLLECTED = Event(
    "TR2606", "lot_collected", Level.INFO, "lot {lot} removed at the end of its lifetime"
)
USAGE_STORED = Event(
    "TR2608",
    "usage_stored",
    Level.INFO,
    "usage of window {window} stored: {requests} requests of {tenants} tenants",
    extra=("after_s", "missing", "revision"),
)
USAGE_REPORTED = Event(
    "TR2609",
    "usage_reported",
    Level.INFO,
    "usage of window {window} reported: {outcome}",
    extra=("fencing", "after_s", "ms"),
)
USAGE_REPEATED = Event(
    "TR2610",
    "usage_repeated",
    Level.INFO,
    "report of window {window} repeated, call {call}: {outcome}",
    extra=("fencing", "after_s", "ms"),
)
USAGE_GIVEN_UP = Event(
    "TR2611",
    "usage_given_up",
    Level.ERROR,
    "report of window {window} given up: {reason}",
    "Check the receiver of the reports and the metadata store.",
)
USAGE_HANDED_OVER = Event(
    "TR2612",
    "usage_handed_over",
    Level.INFO,
    "counts of requests handed over to {accepted} of the hosts {hosts}",
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

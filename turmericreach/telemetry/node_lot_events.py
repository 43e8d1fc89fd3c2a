"""Log events of the programs on the platform's hosts that concern lots and versions of weights.

The code of a removed event is never reused.
"""

from turmericreach.telemetry.event import Event, Level

__all__ = [
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
    "DIVISION_CHANGED",
    "DUTY_LOST",
    "DUTY_TAKEN",
    "HOST_RETIRED",
    "ITEM_ABANDONED",
    "ITEM_BROKEN",
    "ITEM_ORDER_CHANGED",
    "ITEM_SCORED",
    "ITEM_STARTED",
    "ITEM_STOPPED",
    "ITEM_TEXT_DISCARDED",
    "ITEM_WAITS",
    "LOT_ADMISSION",
    "LOT_COLLECTED",
    "ORDER_SENT",
    "RESULTS_LISTED",
    "SCORING_LIMITED",
    "USAGE_GIVEN_UP",
    "USAGE_HANDED_OVER",
    "USAGE_REPEATED",
    "USAGE_REPORTED",
    "USAGE_STORED",
    "VERSION_NAMED",
]

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
ITEM_WAITS = Event(
    "TR2518",
    "item_waits",
    Level.WARNING,
    "item {item} of lot {lot} waits for {waited_s} s although it could run: {reason}",
    "The page on operation says what to do for each reason.",
    extra=("model", "min_version", "free_slots", "engines"),
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
    extra=("demand", "working", "reserved"),
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

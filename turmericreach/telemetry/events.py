"""Declarations of the log events of the daemons, and all events by section of the catalogue.

The code of a removed event is never reused.
"""

from turmericreach.telemetry.event import Event, Level, group_events
from turmericreach.telemetry.node_events import NODE_EVENTS

__all__ = ["CONCERNS"]

# Daemon

DAEMON_STARTED = Event(
    "TR1001",
    "daemon_started",
    Level.INFO,
    "{role} started with incarnation {incarnation}",
    extra=("version",),
)
DAEMON_READY = Event(
    "TR1002", "daemon_ready", Level.INFO, "ready after {seconds:.1f} s in generation {generation}"
)
DAEMON_STOPPING = Event(
    "TR1003",
    "daemon_stopping",
    Level.INFO,
    "stopping gracefully: {reason}, {in_flight} requests in flight",
)
DAEMON_STOPPED = Event(
    "TR1004",
    "daemon_stopped",
    Level.INFO,
    "stopped after {seconds:.1f} s, {abandoned} requests abandoned",
    "If requests were abandoned, raise stop_timeout_s.",
)
INTERNAL_ERROR = Event(
    "TR1006",
    "internal_error",
    Level.ERROR,
    "unexpected error {error} in {where}",
    "Report the event and its fields as a bug.",
)

# Configuration

GENERATION_IN_FORCE = Event(
    "TR1101",
    "generation_in_force",
    Level.INFO,
    "generation {generation} in force",
    extra=("change_id",),
)
CONFIGURATION_REFUSED = Event(
    "TR1102",
    "configuration_refused",
    Level.ERROR,
    "generation {generation} rejected: {problem}",
    "Correct the manifest and apply it; the previous generation stays in force.",
)
GENERATION_IGNORED = Event(
    "TR1103",
    "generation_ignored",
    Level.DEBUG,
    "generation {generation} from {source} ignored: not newer than {current}",
)
HISTORY_NOT_KEPT = Event(
    "TR1105",
    "history_not_kept",
    Level.WARNING,
    "revision {generation} was not added to the history: {error}",
    "None; the process that holds the audit duty retries.",
)

# Membership

PEER_JOINED = Event("TR1201", "peer_joined", Level.INFO, "{peer} joined from {data_centre}")
PEER_SUSPECT = Event(
    "TR1202",
    "peer_suspect",
    Level.WARNING,
    "{peer} suspected: no contact for {seconds:.1f} s",
    "Check the host if the daemon stays suspected.",
)
PEER_LOST = Event(
    "TR1203",
    "peer_lost",
    Level.WARNING,
    "{peer} lost after {seconds:.1f} s without contact",
    "Check the host; other daemons take over its work.",
)
PEER_RETURNED = Event(
    "TR1204", "peer_returned", Level.INFO, "{peer} returned after {seconds:.1f} s without contact"
)
RELAY_DUTY = Event("TR1205", "relay_duty", Level.INFO, "relay duty {change} in {data_centre}")
DATA_CENTRE_UNREACHABLE = Event(
    "TR1206",
    "data_centre_unreachable",
    Level.WARNING,
    "no contact with {data_centre} for {seconds:.1f} s",
    "Check the link between the data centres.",
)

DUTY_CHANGED = Event("TR1207", "duty_changed", Level.INFO, "duty {duty} {change}")
PROTOCOL_REFUSED = Event(
    "TR1208",
    "protocol_refused",
    Level.ERROR,
    "{peer} rejected: {reason}",
    "Upgrade the daemons one protocol version at a time.",
)

# Targets

TARGET_LEAVING = Event("TR1301", "target_leaving", Level.INFO, "{target} is leaving: {reason}")
TARGET_DRAINED = Event(
    "TR1302",
    "target_drained",
    Level.INFO,
    "{target} drained: no work in flight after {seconds:.1f} s",
    "None; the target may be stopped.",
)
BREAKER_OPENED = Event(
    "TR1303",
    "breaker_opened",
    Level.WARNING,
    "circuit breaker of {target} opened after {failures} failures",
    "Check the target.",
)
BREAKER_CLOSED = Event("TR1304", "breaker_closed", Level.INFO, "circuit breaker of {target} closed")
TARGET_UNREACHABLE = Event(
    "TR1305",
    "target_unreachable",
    Level.WARNING,
    "{target} refuses connections: {error}",
    "Check that the process of the target is running.",
)

# Attempts

ATTEMPT_NOT_RUN = Event(
    "TR1401",
    "attempt_not_run",
    Level.INFO,
    "attempt {attempt_id} at {target} did not run: {evidence}",
    extra=("request_id",),
)
ATTEMPT_MAY_HAVE_RUN = Event(
    "TR1402",
    "attempt_may_have_run",
    Level.WARNING,
    "attempt {attempt_id} at {target} may have run: {evidence}",
    "For an order, check at the target whether it took effect.",
    extra=("request_id",),
)
ATTEMPT_REVOKED = Event(
    "TR1403", "attempt_revoked", Level.INFO, "attempt {attempt_id} revoked before it started"
)
RETRY_BUDGET_EMPTY = Event(
    "TR1404",
    "retry_budget_empty",
    Level.WARNING,
    "retry budget for {cause} exhausted",
    "Check the targets; failed requests are not retried meanwhile.",
)
CLAIM_SETTLED = Event(
    "TR1405",
    "claim_settled",
    Level.INFO,
    "claim of {service} settled as {verdict}",
    extra=("request_id",),
)
CLAIM_UNAVAILABLE = Event(
    "TR1406",
    "claim_unavailable",
    Level.WARNING,
    "claim of {service} cannot be made: {error}",
    "Check the platform; keyed orders are rejected until it is available again.",
    extra=("request_id",),
)

# Weights

VERSION_ANNOUNCED = Event(
    "TR1501", "version_announced", Level.INFO, "version {version} of {model} announced by {trainer}"
)
VERSION_ACTIVATED = Event(
    "TR1502",
    "version_activated",
    Level.INFO,
    "version {version} of {model} activated with {prepared} of {targets} targets prepared",
    "If many targets were not prepared, check the weight store.",
)
SWAP_STARTED = Event(
    "TR1503",
    "swap_started",
    Level.INFO,
    "{target} starts to swap weights from version {from_version} to {to_version}",
)
SWAP_DONE = Event(
    "TR1504",
    "swap_done",
    Level.INFO,
    "{target} serves version {version}; the swap took {seconds:.1f} s",
)
SWAP_FAILED = Event(
    "TR1505",
    "swap_failed",
    Level.WARNING,
    "{target} failed to swap to version {version}: {error}",
    "None; the agent retries. Check the engine if it repeats.",
)
MISMATCH_REPAIRED = Event(
    "TR1506",
    "mismatch_repaired",
    Level.WARNING,
    "{target} served version {real} instead of {wanted} and was repaired",
    "Check which other program sends orders to the target.",
)
MISMATCH_FOUND = Event(
    "TR1507",
    "mismatch_found",
    Level.WARNING,
    "{target} serves version {real} instead of {wanted}",
    "None; the agent repairs it. Check the engine if it repeats.",
)
WEIGHT_STORE_LIMITED = Event(
    "TR1508",
    "weight_store_limited",
    Level.INFO,
    "weight store limits the rate; next request in {seconds:.1f} s",
    "Lower prepare_concurrency if it repeats.",
)
VERSION_LEARNED = Event(
    "TR1509",
    "version_learned",
    Level.INFO,
    "version {version} of {model} is wanted in phase {phase}",
    extra=("source",),
)

# Lots

LOT_DECLARED = Event(
    "TR1601",
    "lot_declared",
    Level.INFO,
    "{trainer} declared lot {lot} with {samples} samples",
    extra=("durable",),
)
LOT_COMPLETE = Event(
    "TR1602", "lot_complete", Level.INFO, "lot {lot} complete after {seconds:.1f} s"
)
LOT_CANCELLED = Event("TR1603", "lot_cancelled", Level.INFO, "lot {lot} cancelled by {actor}")
LOT_TAKEN_OVER = Event(
    "TR1604",
    "lot_taken_over",
    Level.INFO,
    "lot {lot} taken over with {consumed} of {samples} samples consumed",
)
SAMPLE_DISCARDED = Event(
    "TR1605",
    "sample_discarded",
    Level.INFO,
    "sample {sample} discarded: {reason}",
    "None; check the staleness bound if it is frequent.",
)
STRAGGLER_COPIED = Event(
    "TR1606", "straggler_copied", Level.INFO, "straggler {sample} also started at {target}"
)
LOT_NOT_DURABLE = Event(
    "TR1607",
    "lot_not_durable",
    Level.WARNING,
    "lot {lot} is not stored durably: {error}",
    "None; it is written when the platform is available again.",
)

# Platform

PLATFORM_DOWN = Event(
    "TR1701",
    "platform_down",
    Level.WARNING,
    "object API unavailable: {error}",
    "Check the platform; the daemons continue with the state that they hold in memory.",
)
PLATFORM_UP = Event(
    "TR1702", "platform_up", Level.INFO, "object API available again after {seconds:.1f} s"
)
PLATFORM_RATE_LIMITED = Event(
    "TR1703",
    "platform_rate_limited",
    Level.WARNING,
    "object API limits the request rate for {seconds:.1f} s",
    "Check the load of the object API.",
)
WRITE_UNKNOWN = Event(
    "TR1704",
    "write_unknown",
    Level.WARNING,
    "result of the write of {kind}/{name} is unknown: {error}",
    "Read the object before making the change again.",
)
WATCH_EXPIRED = Event(
    "TR1705",
    "watch_expired",
    Level.INFO,
    "watch of {kind} expired at revision {revision}; listing again",
)

# Audit

AUDIT_GAP = Event(
    "TR1801",
    "audit_gap",
    Level.ERROR,
    "{lost} audit records lost: {reason}",
    "Take the gap into account when reading the audit trail.",
)
AUDIT_DELAYED = Event(
    "TR1802",
    "audit_delayed",
    Level.WARNING,
    "{pending} audit records are waiting to be written to the object API",
    "Check the platform.",
)

# Admission

ADMISSION_REFUSED = Event(
    "TR1901",
    "admission_refused",
    Level.INFO,
    "request rejected at {target}: {reason}, retry after {retry_after_s:.2f} s",
    "Add targets if this is frequent.",
    extra=("request_id", "priority"),
)
TARGET_LIMIT_CHANGED = Event(
    "TR1904",
    "target_limit_changed",
    Level.INFO,
    "{target} accepts {limit} requests a second (None: without a limit)",
)
TARGET_ENDED = Event(
    "TR1905",
    "target_ended",
    Level.WARNING,
    "{target} ended while it served a request",
    "Check the target's log, and the request if it ends several targets.",
    extra=("request_id", "fingerprint"),
)
ROLLOUTS_REDUCED = Event(
    "TR1902",
    "rollouts_reduced",
    Level.INFO,
    "rollouts at {target} reduced to {slots} slots: {reason}",
)
BODY_REFUSED = Event(
    "TR1903", "body_refused", Level.INFO, "request body rejected: {reason}", "Check the caller."
)

# Security

TLS_RELOADED = Event("TR2001", "tls_reloaded", Level.INFO, "TLS files reloaded")
TLS_REFUSED = Event(
    "TR2002",
    "tls_refused",
    Level.ERROR,
    "TLS files rejected, the previous ones stay in use: {error}",
    "Correct the TLS files.",
)
TOKEN_REFUSED = Event(
    "TR2003",
    "token_refused",
    Level.WARNING,
    "caller rejected: {reason}",
    "Check the caller's token and role.",
)

CONCERNS = group_events(
    [*(value for value in list(vars().values()) if isinstance(value, Event)), *NODE_EVENTS]
)

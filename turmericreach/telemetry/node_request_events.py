"""Log events of the programs on the platform's hosts that concern requests of callers.

The code of a removed event is never reused.
"""

from turmericreach.telemetry.event import Event, Level

__all__ = [
    "KEY_REJECTED",
    "ORIGINS_UNSENT",
    "REQUEST_BARRED",
    "REQUEST_ENDED",
    "REQUEST_FAILED",
    "REQUEST_SHED",
    "REQUEST_TRIED",
    "STREAM_RESUMED",
]

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

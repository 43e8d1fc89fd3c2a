"""Declarations of the metrics that the daemons send to statsd."""

from turmericreach.telemetry.metrics import Metric, MetricType

__all__ = ["METRICS"]

COUNTER, GAUGE, TIMING = MetricType.COUNTER, MetricType.GAUGE, MetricType.TIMING

REQUESTS = Metric(
    "requests", COUNTER, "requests", "Requests of callers that have ended.", ("service", "status")
)
REQUEST_TIME = Metric("request_time", TIMING, "ms", "Duration of a request.", ("service",))
ATTEMPTS = Metric(
    "attempts", COUNTER, "attempts", "Attempts that have ended.", ("target", "verdict")
)
ATTEMPT_TIME = Metric("attempt_time", TIMING, "ms", "Duration of an attempt.", ("target",))
RETRIES = Metric(
    "retries", COUNTER, "attempts", "Attempts after the first of a request, by cause.", ("cause",)
)
REFUSALS = Metric(
    "refusals", COUNTER, "requests", "Requests rejected by admission control.", ("reason",)
)
IN_FLIGHT = Metric("in_flight", GAUGE, "requests", "Requests in flight at a target.", ("target",))
QUEUED = Metric("queued", GAUGE, "requests", "Requests queued at a target.", ("target",))
SAMPLES = Metric("samples", COUNTER, "samples", "Samples delivered to trainers.", ("trainer",))
SAMPLES_DISCARDED = Metric(
    "samples_discarded", COUNTER, "samples", "Samples discarded.", ("reason",)
)
TOKENS = Metric("tokens", COUNTER, "tokens", "Generated tokens.", ("target",))
TOKENS_DISCARDED = Metric(
    "tokens_discarded", COUNTER, "tokens", "Generated tokens discarded.", ("trainer",)
)
STALENESS = Metric(
    "staleness", GAUGE, "versions", "Staleness of the last sample delivered.", ("trainer",)
)
TRAINER_IDLE = Metric(
    "trainer_idle",
    TIMING,
    "ms",
    "Time that a pull of the trainer waited for samples.",
    ("trainer",),
)
SWAP_TIME = Metric("swap_time", TIMING, "ms", "Duration of a weight swap.", ("target",))
WANTED_VERSION = Metric(
    "wanted_version", GAUGE, "version", "Newest wanted version of the weights.", ("model",)
)
REAL_VERSION = Metric(
    "real_version", GAUGE, "version", "Version of the weights that a target serves.", ("target",)
)
GENERATION = Metric("generation", GAUGE, "generation", "Configuration generation in force.")
MEMBERS = Metric("members", GAUGE, "daemons", "Members of the deployment by state.", ("state",))
PLATFORM_CALLS = Metric(
    "platform_calls", COUNTER, "calls", "Calls to the object API.", ("kind", "result")
)
PLATFORM_TIME = Metric(
    "platform_time", TIMING, "ms", "Duration of a call to the object API.", ("kind",)
)
AUDIT_PENDING = Metric("audit_pending", GAUGE, "records", "Audit records not yet written.")
AUDIT_LOST = Metric("audit_lost", COUNTER, "records", "Audit records lost.")
LOOP_DELAY = Metric("loop_delay", TIMING, "ms", "Delay of the event loop.")

METRICS: tuple[Metric, ...] = tuple(
    value for value in list(vars().values()) if isinstance(value, Metric)
)

"""All metrics of the daemons."""

from turmericreach.telemetry.metrics import Metric, MetricType

__all__ = ["METRICS"]

COUNTER, GAUGE, TIMING = MetricType.COUNTER, MetricType.GAUGE, MetricType.TIMING

REQUESTS = Metric(
    "requests", COUNTER, "requests", "Requests from callers that ended.", ("service", "status")
)
REQUEST_TIME = Metric("request_time", TIMING, "ms", "Time of a request.", ("service",))
ATTEMPTS = Metric("attempts", COUNTER, "attempts", "Attempts that ended.", ("target", "verdict"))
ATTEMPT_TIME = Metric("attempt_time", TIMING, "ms", "Time of an attempt.", ("target",))
RETRIES = Metric("retries", COUNTER, "attempts", "Attempts after the first, by cause.", ("cause",))
REFUSALS = Metric("refusals", COUNTER, "requests", "Requests refused at admission.", ("reason",))
IN_FLIGHT = Metric("in_flight", GAUGE, "requests", "Requests in flight at a target.", ("target",))
QUEUED = Metric("queued", GAUGE, "requests", "Requests that wait at a target.", ("target",))
SAMPLES = Metric("samples", COUNTER, "samples", "Samples handed to trainers.", ("trainer",))
SAMPLES_DISCARDED = Metric(
    "samples_discarded", COUNTER, "samples", "Samples thrown away.", ("reason",)
)
TOKENS = Metric("tokens", COUNTER, "tokens", "Generated tokens.", ("target",))
TOKENS_DISCARDED = Metric(
    "tokens_discarded", COUNTER, "tokens", "Generated tokens thrown away.", ("trainer",)
)
STALENESS = Metric(
    "staleness", GAUGE, "versions", "Staleness of the last sample handed over.", ("trainer",)
)
TRAINER_IDLE = Metric(
    "trainer_idle", TIMING, "ms", "Time that a pull waited for samples.", ("trainer",)
)
SWAP_TIME = Metric("swap_time", TIMING, "ms", "Time of a weight swap.", ("target",))
WANTED_VERSION = Metric("wanted_version", GAUGE, "version", "Wanted version.", ("model",))
REAL_VERSION = Metric("real_version", GAUGE, "version", "Version that a target has.", ("target",))
GENERATION = Metric("generation", GAUGE, "generation", "Generation in force.")
MEMBERS = Metric("members", GAUGE, "daemons", "Members by state.", ("state",))
PLATFORM_CALLS = Metric(
    "platform_calls", COUNTER, "calls", "Calls to the object API.", ("kind", "result")
)
PLATFORM_TIME = Metric("platform_time", TIMING, "ms", "Time of an object API call.", ("kind",))
AUDIT_PENDING = Metric("audit_pending", GAUGE, "records", "Audit records not yet written.")
AUDIT_LOST = Metric("audit_lost", COUNTER, "records", "Audit records lost.")
LOOP_DELAY = Metric("loop_delay", TIMING, "ms", "Delay of the event loop.")

METRICS: tuple[Metric, ...] = tuple(
    value for value in list(vars().values()) if isinstance(value, Metric)
)

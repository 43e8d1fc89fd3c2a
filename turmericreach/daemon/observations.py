"""Events and metrics of a gateway's requests, retries and circuit breakers."""

import asyncio

from turmericreach.attempts import CallerRequest, RequestRunner
from turmericreach.routing import CircuitBreaker, RetryBudget
from turmericreach.telemetry import Metrics, events, log_event
from turmericreach.telemetry import metric_catalogue as metrics
from turmericreach.verdicts import ErrorCode, Outcome

__all__ = ["BreakerWatch", "ObservedBudget", "ObservedRunner", "log_claim"]

# Shortest time between two log lines about an empty budget, which refuses every retry.
BUDGET_LOG_INTERVAL_S = 10.0


class ObservedBudget(RetryBudget):
    """A retry budget that counts the retries it allows and logs when it is empty.

    Parameters
    ----------
    sink : Metrics
        Receives the number of retries by cause.
    now : float
        Loop time in seconds.
    """

    def __init__(self, sink: Metrics, now: float):
        super().__init__(now=now)
        self.sink = sink
        self.logged_at: dict[str, float] = {}

    def try_acquire(self, cause, counts, now):
        """Acquire one retry and return whether the budget allowed it."""
        allowed = super().try_acquire(cause, counts, now)
        if allowed:
            self.sink.count(metrics.RETRIES, cause=cause)
            return True
        last = self.logged_at.get(cause, float("-inf"))
        if self.buckets[cause].tokens < 1.0 and now - last >= BUDGET_LOG_INTERVAL_S:
            self.logged_at[cause] = now
            log_event(events.RETRY_BUDGET_EMPTY, cause=cause)
        return False


class BreakerWatch:
    """Logs when the circuit breaker of a target opens or closes.

    Parameters
    ----------
    breaker : CircuitBreaker
        Circuit breakers of all targets.
    """

    def __init__(self, breaker: CircuitBreaker):
        self.breaker = breaker
        self.open: set[str] = set()

    def check(self, target: str) -> None:
        """Compare a target's breakers with the last check and log a change."""
        circuits = self.breaker.circuits.get(target, {}).values()
        opened = [circuit for circuit in circuits if circuit.open_s]
        if opened and target not in self.open:
            self.open.add(target)
            failures = max(circuit.consecutive_failures for circuit in opened)
            log_event(events.BREAKER_OPENED, target=target, failures=failures)
        if not opened and target in self.open:
            self.open.discard(target)
            log_event(events.BREAKER_CLOSED, target=target)


class ObservedRunner:
    """Runs requests of callers, counts them and measures their duration.

    Parameters
    ----------
    runner : RequestRunner
        Runs the requests.
    sink : Metrics
        Receives number and duration of the requests.
    """

    def __init__(self, runner: RequestRunner, sink: Metrics):
        self.runner = runner
        self.sink = sink

    async def run(self, request: CallerRequest, *args, **kwargs) -> Outcome:
        """Run a request; one whose caller disconnected is counted as cancelled."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        status = str(ErrorCode.CANCELLED)
        try:
            outcome = await self.runner.run(request, *args, **kwargs)
            status = str(outcome.status or outcome.code)
            return outcome
        finally:
            self.sink.count(metrics.REQUESTS, service=request.service, status=status)
            self.sink.timing(metrics.REQUEST_TIME, loop.time() - started, service=request.service)


def log_claim(request: CallerRequest, outcome: Outcome | None) -> None:
    """Log a claim that could not be acquired or that an earlier submission holds."""
    if outcome is None:
        return
    fields = {"service": request.service, "request_id": request.request_id}
    if outcome.code == ErrorCode.CLAIM_UNAVAILABLE:
        log_event(events.CLAIM_UNAVAILABLE, error=outcome.evidence, **fields)
        return
    log_event(events.CLAIM_SETTLED, verdict=outcome.verdict, **fields)

"""Shedding of callers' requests at their arrival."""

import asyncio
import contextlib
import os
import resource
from collections.abc import Iterator
from statistics import median_low

import attrs

from turmericreach.admission import (
    ProcessLimits,
    ProcessLoad,
    RequestShedder,
    RequestWork,
    ShedDecision,
    TenantFairness,
)
from turmericreach.node.exchange import Exchange
from turmericreach.node.target_attempts import TargetAttempts
from turmericreach.placement import service_rate_per_s
from turmericreach.placement.target_choice import DEFAULT_LATENCY_S
from turmericreach.services import RouteKind
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["RequestGate"]

MEASURE_INTERVAL_S = 0.1
# The delay of the event loop counts only if it has lasted for so many measurements. A single one
# is a burst that is over when the next request arrives.
LAG_MEASUREMENTS = 3
# Measurements in between the counts of descriptors and memory, which cost system calls.
MEASUREMENTS_PER_COUNT = 5
# What the targets of a service complete is computed again after this time, since it takes a look at
# each of them.
SERVICE_VIEW_S = 0.1
# Usual duration of a stream, of which targets report the time of single events only.
STREAM_S = 2.0


@attrs.define
class ServiceView:
    """What this process knows of a service.

    Attributes
    ----------
    at : float
        Loop time in seconds at which the other values were computed.
    rate_per_s : float
        Requests a second that its targets complete for this process.
    usual_s : float
        Usual response time in seconds.
    in_progress : float
        Requests of callers in progress here; one of a split route counts by its shares.
    """

    at: float = float("-inf")
    rate_per_s: float = 0.0
    usual_s: float = DEFAULT_LATENCY_S
    in_progress: float = 0.0


class RequestGate:
    """Admits callers' requests, or rejects them before anything is done for them.

    Parameters
    ----------
    attempts : TargetAttempts
        Knows the targets of the services.
    memory_bytes : int
        Memory that this process may use, in bytes.
    fairness : TenantFairness, optional
        Compares the tenants.
    """

    def __init__(
        self,
        attempts: TargetAttempts,
        memory_bytes: int,
        fairness: TenantFairness | None = None,
    ):
        self.attempts = attempts
        self.shedder = RequestShedder(fairness)
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        descriptors = float("inf") if soft == resource.RLIM_INFINITY else float(soft)
        self.limits = ProcessLimits(descriptors, float(memory_bytes))
        self.load = ProcessLoad()
        self.lags: list[float] = []
        self.services: dict[str, ServiceView] = {}

    async def measure(self) -> None:
        """Measure the load of this process periodically, until cancelled."""
        loop = asyncio.get_running_loop()
        number = 0
        while True:
            due = loop.time() + MEASURE_INTERVAL_S
            await asyncio.sleep(MEASURE_INTERVAL_S)
            now = loop.time()
            self.lags = [*self.lags, now - due][-LAG_MEASUREMENTS:]
            lag_s = min(self.lags) if len(self.lags) >= LAG_MEASUREMENTS else 0.0
            self.load = attrs.evolve(self.load, lag_s=max(lag_s, 0.0), at=now)
            if number % MEASUREMENTS_PER_COUNT == 0:
                self.load = attrs.evolve(
                    self.load, descriptors=count_descriptors(), memory_bytes=used_memory_bytes()
                )
            number += 1

    def decide(self, exchange: Exchange) -> ShedDecision:
        """Return whether a request is admitted, and log a rejection with its inputs."""
        now = asyncio.get_running_loop().time()
        view = self.route_view(exchange, now)
        is_stream = exchange.route.kind is RouteKind.STREAMING
        work = RequestWork(
            priority=exchange.priority,
            remaining_s=exchange.remaining_s(),
            usual_s=STREAM_S if is_stream else view.usual_s,
            in_progress=view.in_progress,
            rate_per_s=0.0 if is_stream else view.rate_per_s,
            tenant=exchange.tenant,
        )
        pressure, reason = self.load.pressure(self.limits)
        decision = self.shedder.decide(work, pressure, reason, now)
        if decision.admitted or exchange.resumes_stream():
            # Targets have already worked for a stream that is resumed.
            return attrs.evolve(decision, admitted=True)
        log_event(
            events.REQUEST_SHED,
            request=exchange.attempt.id,
            reason=decision.reason,
            route=exchange.route.name,
            priority=work.priority,
            pressure=round(min(decision.pressure, 1e9), 3),
            rank=round(decision.rank, 3),
            value=round(decision.value, 3),
            wait_s=round(decision.wait_s, 3),
            time_left_s=round(work.remaining_s, 3),
            in_progress=round(work.in_progress, 2),
            rate_per_s=round(work.rate_per_s, 2),
            lag_s=round(self.load.lag_s, 3),
            descriptors=self.load.descriptors,
            memory_bytes=self.load.memory_bytes,
            load_age_s=round(min(now - self.load.at, 1e9), 3),
            service_age_s=round(now - view.at, 3),
        )
        return decision

    @contextlib.contextmanager
    def track(self, exchange: Exchange) -> Iterator[None]:
        """Count a request as in progress while the context lasts.

        On a split route each service counts its share of the request.
        """
        shares = exchange.route.shares()
        for service, share in shares.items():
            self.services.setdefault(service, ServiceView()).in_progress += share
        try:
            yield
        finally:
            for service, share in shares.items():
                self.services[service].in_progress -= share

    def route_view(self, exchange: Exchange, now: float) -> ServiceView:
        """Return what is known of all services of a request's route together."""
        shares = exchange.route.shares()
        views = {service: self.service_view(service, now) for service in shares}
        if len(views) == 1:
            return next(iter(views.values()))
        return ServiceView(
            at=min(view.at for view in views.values()),
            rate_per_s=sum(view.rate_per_s for view in views.values()),
            usual_s=sum(share * views[service].usual_s for service, share in shares.items()),
            in_progress=sum(view.in_progress for view in views.values()),
        )

    def service_view(self, service: str, now: float) -> ServiceView:
        """Return what is known of a service."""
        view = self.services.setdefault(service, ServiceView())
        if now - view.at < SERVICE_VIEW_S:
            return view
        attempts = self.attempts
        targets = attempts.directory.accepting_targets(service)
        view.at = now
        view.rate_per_s = service_rate_per_s(
            targets, now, attempts.directory.limits.per_s, attempts.permits.processes()
        )
        known = [target.latency_s for target in targets if target.latency_s]
        view.usual_s = median_low(known) if known else DEFAULT_LATENCY_S
        return view


def count_descriptors() -> int:
    """Return the number of open file descriptors of this process, 0 if it is unknown."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return 0


def used_memory_bytes() -> int:
    """Return the resident memory of this process in bytes, 0 if it is unknown."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return 0

"""Scorer calls as a stage: those that wait for their service, and the order in which they go on."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import attrs

from turmericreach.placement.budgets import Budget
from turmericreach.placement.concurrency import CallResult, ConcurrencyLimit, start_allowance
from turmericreach.services import Target, TargetDirectory
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["Place", "ScoringStage", "ServiceStage", "Urgency"]

# Repeated calls for each first call, and the number that may be saved up. 8% of the calls were
# repeated without overload.
RETRY_SHARE = 0.2
RETRY_BURST = 10.0
# Pause before a repeated call that the budget does not permit yet, doubled with each attempt.
UNPAID_PAUSE_S = 0.2
MAX_UNPAID_PAUSE_S = 1.0
# Interval of looking up the targets of a service, which takes 0.1 ms with a thousand targets.
LOOKUP_INTERVAL_S = 0.1
# Calls that wait are logged once in this time at most.
LOG_INTERVAL_S = 1.0

# Returns a sort key of waiting calls, the most urgent first.
Urgency = Callable[[], tuple]


@attrs.define
class Place:
    """The place of one call in its stage.

    Attributes
    ----------
    result : CallResult or None
        What the call says about its service, None if nothing was sent.
    """

    result: CallResult | None = None


@attrs.define(eq=False)
class ServiceStage:
    """The scorer calls of one service.

    Attributes
    ----------
    limit : ConcurrencyLimit
        Limit on the calls in progress.
    in_flight : int
        Calls in progress.
    waiting : list of tuple
        Urgency and future of each call that waits.
    logged_at : float
        Loop time at which waiting calls were logged last.
    targets : list of Target
        Targets of the service.
    looked_up_at : float
        Loop time at which they were looked up.
    """

    limit: ConcurrencyLimit = attrs.field(factory=ConcurrencyLimit)
    in_flight: int = 0
    waiting: list[tuple[Urgency, asyncio.Future]] = attrs.field(factory=list)
    logged_at: float = float("-inf")
    targets: list[Target] = attrs.field(factory=list)
    looked_up_at: float = float("-inf")

    def admit_waiting(self, now: float) -> None:
        """Let the most urgent calls go on while the limit allows it."""
        while self.waiting and self.in_flight < self.limit.allowed(now):
            entry = min(self.waiting, key=lambda entry: entry[0]())
            self.waiting.remove(entry)
            granted = entry[1]
            # A call that has just been cancelled is still listed.
            if not granted.done():
                self.in_flight += 1
                granted.set_result(None)


class ScoringStage:
    """Limits the scorer calls of this process to each service.

    Attributes
    ----------
    directory : TargetDirectory
        Known targets, with the loads that they report.
    services : dict of str to ServiceStage
        Calls by service.
    retries : Budget
        Repeated calls that the first calls permit.
    """

    def __init__(self, directory: TargetDirectory):
        self.directory = directory
        self.services: dict[str, ServiceStage] = {}
        self.retries = Budget(RETRY_SHARE, RETRY_BURST)

    def stage(self, service: str) -> ServiceStage:
        """Return the stage of a service, with its present capacity."""
        stage = self.services.setdefault(service, ServiceStage())
        now = asyncio.get_running_loop().time()
        if now - stage.looked_up_at >= LOOKUP_INTERVAL_S:
            stage.looked_up_at = now
            stage.targets = self.directory.accepting_targets(service)
        found = stage.targets
        targets = [target for target in found if not target.is_suspected(now)] or found
        slots = sum(target.record.slots for target in targets)
        stage.limit.set_capacity(slots, sum(target.usual_others for target in targets))
        return stage

    def full_targets(self, service: str) -> set[str]:
        """Return the targets of which the requests of this process occupy all slots."""
        targets = self.stage(service).targets
        return {target.id for target in targets if target.in_flight >= target.record.slots}

    def record_caller(self, service: str) -> None:
        """Record a caller's request to a service; services without scorer calls are left out."""
        stage = self.services.get(service)
        if stage is not None:
            stage.limit.callers.record(asyncio.get_running_loop().time())

    @contextlib.asynccontextmanager
    async def place(self, service: str, urgency: Urgency) -> AsyncIterator[Place]:
        """Wait until a call to a service may begin, and count it while the context lasts."""
        await self.enter(service, urgency)
        place = Place()
        try:
            yield place
        finally:
            self.leave(service, place.result)

    async def enter(self, service: str, urgency: Urgency) -> None:
        """Wait until a call to a service may begin; `leave` must follow."""
        loop = asyncio.get_running_loop()
        stage = self.stage(service)
        granted = loop.create_future()
        stage.waiting.append((urgency, granted))
        stage.admit_waiting(loop.time())
        if granted.done():
            return
        self.log_waiting(service, stage, loop.time())
        try:
            await granted
        except asyncio.CancelledError:
            if granted.cancelled():
                stage.waiting = [entry for entry in stage.waiting if entry[1] is not granted]
            else:
                stage.in_flight -= 1
                stage.admit_waiting(loop.time())
            raise

    def leave(self, service: str, result: CallResult | None) -> None:
        """End a call, adapt the limit to its result if there is one, and let the next begin."""
        now = asyncio.get_running_loop().time()
        stage = self.stage(service)
        if result is not None:
            stage.limit.record(result, stage.in_flight, now)
        stage.in_flight -= 1
        stage.admit_waiting(now)

    def retry_pause_s(self, usual_s: float, attempt: int) -> float:
        """Return the seconds before a call is repeated, longer if the budget is used up."""
        if self.retries.take():
            return usual_s
        return min(UNPAID_PAUSE_S * 2 ** min(attempt, 8), MAX_UNPAID_PAUSE_S)

    def start_allowance(self, running: int) -> int | None:
        """Return how many items that need a score may start, None without a bound.

        Parameters
        ----------
        running : int
            Items that run and need a score.
        """
        now = asyncio.get_running_loop().time()
        found = None
        for stage in self.services.values():
            allowance = start_allowance(stage.limit, len(stage.waiting), running, now)
            if allowance is not None:
                found = allowance if found is None else min(found, allowance)
        return found

    def calls(self, now: float) -> dict[str, int]:
        """Return the numbers of calls of all services: allowed, running and waiting."""
        found = {"allowed": 0, "running": 0, "waiting": 0}
        for stage in self.services.values():
            found["allowed"] += stage.limit.allowed(now)
            found["running"] += stage.in_flight
            found["waiting"] += len(stage.waiting)
        return found

    def log_waiting(self, service: str, stage: ServiceStage, now: float) -> None:
        """Log that calls wait, at intervals."""
        if now - stage.logged_at < LOG_INTERVAL_S:
            return
        stage.logged_at = now
        log_event(
            events.SCORING_LIMITED,
            service=service,
            waiting=len(stage.waiting),
            allowed=stage.limit.allowed(now),
            slots=stage.limit.slots,
            others=round(stage.limit.others, 1),
            reserve=round(stage.limit.reserve(now), 1),
            backlog_s=round(stage.limit.backlog_s(len(stage.waiting), now), 3),
            unpaid_retries=self.retries.denied,
        )

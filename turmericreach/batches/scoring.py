"""Requests that score the text of items."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import attrs

from turmericreach.batches.model import Scorer
from turmericreach.batches.scoring_stage import Place, ScoringStage, Urgency
from turmericreach.http1 import ConnectFailed, ConnectionPool, ResponseIncomplete
from turmericreach.placement import ExpectedEnd, PlacementPolicy
from turmericreach.placement.concurrency import CallResult, is_congested
from turmericreach.platform import targets as wire
from turmericreach.services import Configuration, Route, Target, TargetDirectory
from turmericreach.sharing import Denial, PermitSource
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["ScoreResult", "ScorerCalls"]

# After this time the request is sent to another target, so it may run more than once.
ATTEMPT_TIMEOUT_S = 1.0
# Time limit that is sent to the target with the request.
TARGET_TIMEOUT_S = 1.5
RETRY_PAUSE_S = 0.05
SUSPECT_S = 2.0
# Longest wait for a permit that has been granted.
MAX_PERMIT_DELAY_S = 0.08


@attrs.frozen
class ScoreResult:
    """Outcome of a scoring request.

    Attributes
    ----------
    stamp : str
        Stamp of the scorer's response, empty if all attempts failed.
    """

    stamp: str


class ScorerCalls:
    """Sends scoring requests and retries them until a scorer responds.

    Parameters
    ----------
    configuration : callable
        Returns the configuration in force, None before the first one.
    directory : TargetDirectory
        Known targets.
    pool : ConnectionPool
        Connections to targets.
    data_centre : str
        Data centre of this process, used by the placement policy.
    policy : PlacementPolicy or None
        Selects a target.
    permits : PermitSource
        Permits for targets that have named a limit.
    stage : ScoringStage, optional
        Limits the calls to each service; without it they are not limited.

    Attributes
    ----------
    permit_turn : asyncio.Lock
        Held while a permit is requested, so that the calls of this process do not compete with
        each other and outnumber the requests of callers at the arbiter.
    """

    def __init__(
        self,
        configuration: Callable[[], Configuration | None],
        directory: TargetDirectory,
        pool: ConnectionPool,
        data_centre: str,
        policy: PlacementPolicy | None,
        permits: PermitSource,
        stage: ScoringStage | None = None,
    ):
        self.configuration = configuration
        self.stage = stage
        self.permits = permits
        self.permit_turn = asyncio.Lock()
        self.policy = policy or ExpectedEnd()
        self.directory = directory
        self.pool = pool
        self.data_centre = data_centre
        self.random = random.Random()

    async def score(
        self,
        lot: str,
        item: str,
        scorer: Scorer,
        urgency: Urgency = tuple,
        remaining_s: Callable[[], float] = lambda: float("inf"),
    ) -> ScoreResult:
        """Request the score of an item whose text is complete.

        Retries without limit, except for responses with status 500, which are limited by the
        ``max_attempts`` of the route.

        Parameters
        ----------
        urgency : callable
            Returns a sort key of the calls that wait for their service, the most urgent first.
        remaining_s : callable
            Returns the seconds until an item for which there is no target is given up.
        """
        loop = asyncio.get_running_loop()
        failures = 0
        attempt = 0
        avoided: set[str] = set()
        while True:
            route, target = self.select(scorer, loop.time(), avoided)
            if target is None:
                if remaining_s() <= 0:
                    return ScoreResult("")
                avoided.clear()
                await asyncio.sleep(2 * RETRY_PAUSE_S)
                continue
            async with self.place(target, urgency) as place:
                target = await self.ready_target(route, target, avoided, scorer)
                if target is not None:
                    attempt += 1
                    if attempt == 1 and self.stage is not None:
                        self.stage.retries.earn()
                    status, stamp, detail = await self.attempt(
                        lot, item, scorer, target, attempt, place
                    )
            if target is None:
                if self.stage is not None:
                    await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if stamp:
                self.directory.record_success(target, loop.time())
                return ScoreResult(stamp)
            avoided.add(target.id)
            if status == 500:
                failures += 1
                if failures >= route.max_attempts:
                    return ScoreResult("")
            elif status is None:
                self.directory.record_failure(target, detail, SUSPECT_S, loop.time())
            pause_s = RETRY_PAUSE_S * (0.5 + self.random.random())
            if self.stage is not None:
                pause_s = self.stage.retry_pause_s(pause_s, attempt)
            await asyncio.sleep(pause_s)

    def place(self, target: Target, urgency: Urgency):
        """Return a context that lasts for one attempt, entered once the stage allows it."""
        if self.stage is None:
            return contextlib.nullcontext(Place())
        return self.stage.place(target.record.service, urgency)

    async def ready_target(
        self, route: Route, target: Target, avoided: set[str], scorer: Scorer
    ) -> Target | None:
        """Return the target for an attempt that may begin now, None if there is none.

        After the wait for the stage another target may be better, or the route may have moved to
        another service. A target whose slots are all occupied by requests of this process is not
        used.
        """
        if self.stage is not None:
            service, now = target.record.service, asyncio.get_running_loop().time()
            if not self.reaches(scorer, service):
                return None
            full = self.stage.full_targets(service)
            target = self.best_target(service, now, avoided | full)
            if target is None:
                avoided.clear()
                return None
        if self.directory.limits.per_s(target.id) is not None:
            return await self.admit(route, target)
        return target

    async def attempt(
        self, lot: str, item: str, scorer: Scorer, target: Target, number: int, place: Place
    ) -> tuple[int | None, str, str]:
        """Make one attempt as `send`, log it, and record its result for the stage."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        leaving_s = self.directory.leaving_s(target, started_at)
        usual_s = target.usual_latency_s or target.latency_s
        status, stamp, detail = await self.send(scorer, target)
        seconds = loop.time() - started_at
        rejected = status in (429, 503)
        congested = is_congested(rejected, seconds, usual_s, target.load, started_at)
        lost = status is None
        place.result = CallResult(seconds, lost, congested and not lost)
        log_event(
            events.ITEM_SCORED,
            item=item,
            lot=lot,
            target=target.id,
            outcome=detail,
            ms=seconds * 1000,
            attempt=number,
            leaving_s=leaving_s,
        )
        return status, stamp, detail

    async def admit(self, route: Route, preferred: Target) -> Target | None:
        """Obtain a permit for one of the targets with a limit; None if another should be selected.

        Returns
        -------
        Target or None
            None after a denial, or if the target has left meanwhile.
        """
        async with self.permit_turn:
            now = asyncio.get_running_loop().time()
            if preferred.id in self.permits.denied_targets(MAX_PERMIT_DELAY_S, now):
                return None
            targets = [preferred.id]
            for target in self.directory.accepting_targets(preferred.record.service):
                if target is not preferred and self.directory.limits.per_s(target.id) is not None:
                    targets.append(target.id)
            permit = await self.permits.acquire(targets, route.priority, MAX_PERMIT_DELAY_S)
        if isinstance(permit, Denial):
            return None
        if permit.delay_s > 0:
            await asyncio.sleep(permit.delay_s)
        admitted = self.directory.targets.get(permit.target)
        return admitted if admitted is not None and self.directory.accepts(admitted) else None

    def reaches(self, scorer: Scorer, service: str) -> bool:
        """Return whether the present route of a scorer leads to a service."""
        configuration = self.configuration()
        route = configuration.find_route(scorer.host, scorer.path)
        return route is not None and any(part.service == service for part in route.services)

    def select(self, scorer: Scorer, now: float, avoided: set[str]):
        """Return the route of a scorer and the selected target, each None if there is none."""
        configuration = self.configuration()
        if configuration is None:
            return None, None
        route = configuration.find_route(scorer.host, scorer.path)
        if route is None:
            return None, None
        for service in route.service_order(self.random):
            target = self.best_target(service, now, avoided)
            if target is not None:
                return route, target
        return route, None

    def best_target(self, service: str, now: float, avoided: set[str]) -> Target | None:
        """Return the target of a service for the next attempt, None if there is none."""
        excluded = avoided | self.permits.denied_targets(MAX_PERMIT_DELAY_S, now)
        return self.policy.choose(
            self.directory.accepting_targets(service), now, self.data_centre, excluded
        )

    async def send(self, scorer: Scorer, target: Target) -> tuple[int | None, str, str]:
        """Make one attempt and return its status, its stamp (empty on failure), and a description.

        The status is None if there was no response.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        target.in_flight += 1
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                head, _ = await self.pool.fetch(
                    target.record.address,
                    "POST",
                    scorer.path,
                    wire.scorer_fields(scorer.host, scorer.id, target.id, TARGET_TIMEOUT_S),
                    scorer.body,
                    wire.echo_field(scorer.id),
                )
        except (ConnectFailed, ResponseIncomplete, TimeoutError) as error:
            return None, "", f"{type(error).__name__}: {error}"
        finally:
            target.in_flight -= 1
        response = wire.read_response_head(head.status, head.headers)
        self.directory.record_state(target, response, started_at, loop.time())
        if 200 <= response.status < 300 and response.stamp:
            target.record_latency(loop.time() - started_at, response.slowdown)
            return response.status, response.stamp, "scored"
        status = 503 if response.not_run else response.status
        return status, "", f"status {response.status}"

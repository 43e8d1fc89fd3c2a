"""The call that scores an item's text."""

import asyncio
import random
from collections.abc import Callable

import attrs

from turmericreach.batches.model import Scorer
from turmericreach.http1 import ConnectFailed, ConnectionPool, ResponseIncomplete
from turmericreach.placement import ExpectedEnd, PlacementPolicy
from turmericreach.platform import targets as wire
from turmericreach.services import Configuration, LoadReport, Target, TargetDirectory
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["ScoreResult", "ScorerCalls"]

# A call that takes longer is sent to another target; it may run more than once.
TRY_TIMEOUT_S = 1.0
# What a target is told to spend on a call.
CALL_LIMIT_S = 1.5
RETRY_PAUSE_S = 0.05
SUSPECT_S = 2.0


@attrs.frozen
class ScoreResult:
    """The stamp of a scorer's answer; empty if it failed for good."""

    stamp: str


class ScorerCalls:
    """Calls scorers until they answer.

    Parameters
    ----------
    configuration : callable
        Returns the configuration in force.
    """

    def __init__(
        self,
        configuration: Callable[[], Configuration | None],
        directory: TargetDirectory,
        pool: ConnectionPool,
        data_centre: str,
        policy: PlacementPolicy | None = None,
    ):
        self.configuration = configuration
        self.policy = policy or ExpectedEnd()
        self.directory = directory
        self.pool = pool
        self.data_centre = data_centre
        self.random = random.Random()

    async def score(self, lot: str, item: str, scorer: Scorer) -> ScoreResult:
        """Return the score of an item whose text is complete."""
        loop = asyncio.get_running_loop()
        failures = 0
        attempt = 0
        avoided: set[str] = set()
        while True:
            route, target = self.choose(scorer, loop.time(), avoided)
            if target is None:
                avoided.clear()
                await asyncio.sleep(2 * RETRY_PAUSE_S)
                continue
            attempt += 1
            began = loop.time()
            status, stamp, detail = await self.call(scorer, target)
            log_event(
                events.ITEM_SCORED,
                item=item,
                lot=lot,
                target=target.id,
                outcome=detail,
                ms=(loop.time() - began) * 1000,
                attempt=attempt,
            )
            if stamp:
                self.directory.note_success(target, loop.time())
                return ScoreResult(stamp)
            avoided.add(target.id)
            if status == 500:
                failures += 1
                if failures >= route.max_attempts:
                    return ScoreResult("")
            elif status is None:
                self.directory.note_failure(target, detail, SUSPECT_S, loop.time())
            await asyncio.sleep(RETRY_PAUSE_S * (0.5 + self.random.random()))

    def choose(self, scorer: Scorer, now: float, avoided: set[str]):
        """Return the route of a scorer and a target, each None if there is none."""
        configuration = self.configuration()
        if configuration is None:
            return None, None
        route = configuration.find_route(scorer.host, scorer.path)
        if route is None:
            return None, None
        service = route.choose_service(self.random)
        target = self.policy.choose(
            self.directory.of_service(service), now, self.data_centre, avoided
        )
        return route, target

    async def call(self, scorer: Scorer, target: Target) -> tuple[int | None, str, str]:
        """Make one call and return its status, the stamp of a success, and what happened."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        target.in_flight += 1
        try:
            async with asyncio.timeout(TRY_TIMEOUT_S):
                head, _ = await self.pool.fetch(
                    target.record.address,
                    "POST",
                    scorer.path,
                    wire.scorer_fields(scorer.host, scorer.id, target.id, CALL_LIMIT_S),
                    scorer.body,
                    wire.echo_field(scorer.id),
                )
        except (ConnectFailed, ResponseIncomplete, TimeoutError) as error:
            return None, "", f"{type(error).__name__}: {error}"
        finally:
            target.in_flight -= 1
        answer = wire.read_response_head(head.status, head.headers)
        if answer.load is not None:
            target.load = LoadReport(*answer.load, loop.time())
        if 200 <= answer.status < 300 and answer.stamp:
            target.note_latency(loop.time() - began)
            return answer.status, answer.stamp, "scored"
        status = 503 if answer.not_run else answer.status
        return status, "", f"status {answer.status}"
